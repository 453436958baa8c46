"""Estimates of service time and drain rate, from a node's own measurements."""

import attrs

__all__ = ["ServiceTimes", "work_kind"]

QUANTILE_STEP = 0.05
"""How far, relative to its value, a tracked quantile moves with one sample."""

MEAN_WEIGHT = 0.03
"""The weight of the newest sample in the mean: that of some 30 requests."""

GAP_WEIGHT = 0.1
"""The weight of the newest gap between two completions."""

HALF_LIFE_S = 1.0
"""How long an estimate without a new sample takes to lose half of its value."""

FRESH_S = 1.0
"""How old the last gap may be for the drain rate to rest on it."""


def work_kind(request):
    """Return what requests have in common that take about the same time.

    ``request`` is a `ForwardRequest`: its rank, and whether it may be repeated.
    """
    return request.priority, request.repeatable


@attrs.define
class ServiceTimes:
    """How long requests take, and how fast a backlog drains.

    The median is followed rather than the mean: one upload of a minute among
    thousands of lookups would otherwise make every lookup look hopeless. Each
    sample moves the median by a fixed fraction of itself (a relative form of the
    stochastic approximation of Robbins and Monro, 1951), which needs no memory.

    >>> times = ServiceTimes()
    >>> times.add(0.010, now_s=1.0)
    >>> times.typical_s(now_s=1.0)
    0.01
    """

    mean_s: float = 0.0
    _median_s: float = 0.0
    _sampled_s: float = 0.0
    _gap_s: float = 0.0
    _gap_sampled_s: float = float("-inf")

    def add(self, elapsed_s, now_s):
        """Take the time that one request took at the backend server."""
        if self.mean_s <= 0:
            self.mean_s = elapsed_s
        else:
            self.mean_s += MEAN_WEIGHT * (elapsed_s - self.mean_s)
        if self._median_s <= 0:
            self._median_s = max(elapsed_s, 1e-6)
        else:
            current_s = self.typical_s(now_s)
            step = QUANTILE_STEP if elapsed_s > current_s else -QUANTILE_STEP
            self._median_s = max(current_s * (1 + step), 1e-6)
        self._sampled_s = now_s

    def add_gap(self, gap_s, now_s):
        """Take the time between two completions while requests waited."""
        if now_s - self._gap_sampled_s > FRESH_S:
            self._gap_s = gap_s
        else:
            self._gap_s += GAP_WEIGHT * (gap_s - self._gap_s)
        self._gap_sampled_s = now_s

    def typical_s(self, now_s):
        """Return the time that a request needs once it was begun; 0 if unknown.

        An estimate that is too high keeps all work from being begun, so that no
        sample ever corrects it: one would see a healthy server with no request
        in flight and every caller refused. The estimate therefore decays while
        no sample comes.
        """
        idle_s = now_s - self._sampled_s
        if idle_s <= HALF_LIFE_S:
            return self._median_s
        return self._median_s * 0.5 ** (idle_s / HALF_LIFE_S - 1)

    def wait_s(self, ahead, slots, now_s):
        """Return how long a request waits behind ``ahead`` others."""
        if now_s - self._gap_sampled_s <= FRESH_S:
            return ahead * self._gap_s
        return ahead * self.typical_s(now_s) / max(slots, 1)
