"""Take the figures from metric pages by which nodes of a fleet are compared."""

from abc import ABC, abstractmethod

import attrs

__all__ = ["MEASURES", "Measure"]

FEWEST_REQUESTS = 20
"""The number of requests from which on a share of them is compared."""


@attrs.frozen(kw_only=True)
class Measure(ABC):
    """A figure that is compared between nodes; high is bad.

    ``noticeable`` is the smallest difference from the fleet's median that an operator
    would look at, in the unit of the figure.
    """

    name: str
    unit: str
    noticeable: float

    @abstractmethod
    def figures(self, pages):
        """Return the figure of each `MetricPage`, ``None`` where a page has none."""


@attrs.frozen(kw_only=True)
class GaugeMeasure(Measure):
    """The value of a gauge."""

    gauge: str

    def figures(self, pages):
        """Return the gauge's values."""
        return [page.value(self.gauge) for page in pages]


@attrs.frozen(kw_only=True)
class LagMeasure(Measure):
    """How far a gauge is behind the highest one of the fleet."""

    gauge: str

    def figures(self, pages):
        """Return the distances to the highest value."""
        values = [page.value(self.gauge) for page in pages]
        highest = max((value for value in values if value is not None), default=0)
        return [None if value is None else highest - value for value in values]


@attrs.frozen(kw_only=True)
class TotalMeasure(Measure):
    """The sum of a counter's samples that have some labels."""

    counter: str
    labels: dict = attrs.field(factory=dict)

    def figures(self, pages):
        """Return the sums."""
        return [page.total(self.counter, **self.labels) for page in pages]


@attrs.frozen(kw_only=True)
class ShareMeasure(Measure):
    """The share of a counter's samples that have some labels, of all of them."""

    counter: str
    labels: dict

    def figures(self, pages):
        """Return the shares, ``None`` for pages that count few."""
        return [self._share(page) for page in pages]

    def _share(self, page):
        total = page.total(self.counter)
        if total < FEWEST_REQUESTS:
            return None
        return page.total(self.counter, **self.labels) / total


@attrs.frozen(kw_only=True)
class QuantileMeasure(Measure):
    """A quantile of a histogram."""

    histogram: str
    quantile: float

    def figures(self, pages):
        """Return the quantiles, each the upper bound of the bucket that has it."""
        return [self._quantile(page) for page in pages]

    def _quantile(self, page):
        buckets = [
            (float(labels["le"]), count)
            for labels, count in page.samples.get(f"{self.histogram}_bucket", ())
        ]
        wanted = self.quantile * max((count for _, count in buckets), default=0)
        if not wanted:
            return None
        finite = [bound for bound, _ in buckets if bound < float("inf")]
        reached = min(bound for bound, count in buckets if count >= wanted)
        return min(reached, max(finite, default=reached))


MEASURES = (
    GaugeMeasure(
        name="age of the routes",
        unit="s",
        noticeable=1.0,
        gauge="routes_age_seconds",
    ),
    GaugeMeasure(
        name="age of the folded log",
        unit="s",
        noticeable=1.0,
        gauge="fold_age_seconds",
    ),
    LagMeasure(
        name="versions of the routes behind",
        unit="",
        noticeable=1.0,
        gauge="routes_version",
    ),
    LagMeasure(
        name="versions of the configuration behind",
        unit="",
        noticeable=1.0,
        gauge="config_version",
    ),
    QuantileMeasure(
        name="lateness of the event loop, p99",
        unit="s",
        noticeable=0.02,
        histogram="loop_late_seconds",
        quantile=0.99,
    ),
    ShareMeasure(
        name="requests refused",
        unit="of 1",
        noticeable=0.05,
        counter="requests_total",
        labels={"outcome": "not_run"},
    ),
    ShareMeasure(
        name="requests with an unknown outcome",
        unit="of 1",
        noticeable=0.02,
        counter="requests_total",
        labels={"outcome": "unknown"},
    ),
    TotalMeasure(
        name="failures to reach the log",
        unit="events",
        noticeable=2.0,
        counter="events_total",
        labels={"event": "log_unreachable"},
    ),
    TotalMeasure(
        name="slices owned without a lease",
        unit="slice seconds",
        noticeable=1.0,
        counter="owner_unavailable_seconds_total",
    ),
    TotalMeasure(
        name="unreadable routes",
        unit="messages",
        noticeable=1.0,
        counter="unreadable_routes_total",
    ),
)
"""The measures of `comfreywharf outliers`, in the order of its output."""
