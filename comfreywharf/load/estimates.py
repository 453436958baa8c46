"""Estimates of service time and drain rate from a node's own measurements."""

import attrs

__all__ = ["ServiceTimes", "work_kind"]

QUANTILE_STEP = 0.05
"""Relative step of a tracked quantile for each sample."""

MEAN_WEIGHT = 0.03
"""Weight of the newest sample in the mean, which covers about 30 requests."""

GAP_WEIGHT = 0.1
"""Least weight of the newest gap between two completions in the mean gap. The first
gaps of a backlog weigh alike: requests that began together also end together, and the
gaps between them say nothing of the server's pace."""

HALF_LIFE_S = 1.0
"""Half-life of an estimate without new samples."""

MAX_GAP_AGE_S = 1.0
GAP_ROUNDS = 2
"""Maximum age of the last gap for the drain rate to be based on it: this time, or as
many rounds of work at that rate if they take longer."""


def work_kind(request):
    """Return the kind of a request; requests of one kind take about the same time.

    ``request`` is a `ForwardRequest`. The kind is its priority, and whether it may
    be repeated.
    """
    return request.priority, request.repeatable


@attrs.define
class ServiceTimes:
    """Track how long requests take and how fast a backlog drains.

    The typical time is the median rather than the mean: because of one upload of a
    minute among thousands of lookups, every lookup would otherwise seem unable to
    meet its deadline. Each sample moves the median by a fixed fraction of its
    value (a relative form of the stochastic approximation of Robbins and Monro,
    1951), which needs no stored samples.

    >>> times = ServiceTimes()
    >>> times.add(0.010, now_s=1.0)
    >>> times.typical_s(now_s=1.0)
    0.01
    """

    mean_s: float = 0.0
    _median_s: float = 0.0
    _sampled_s: float = 0.0
    _gap_s: float = 0.0
    _gaps: int = 0
    _gap_sampled_s: float = float("-inf")

    def add(self, elapsed_s, now_s):
        """Add the time that one request took at the backend server, in seconds."""
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

    def add_gap(self, gap_s, slots, now_s):
        """Add the time between two completions while requests waited, in seconds."""
        if not self.has_pace(slots, now_s):
            self._gaps, self._gap_s = 0, 0.0
        self._gaps += 1
        self._gap_s += max(GAP_WEIGHT, 1 / self._gaps) * (gap_s - self._gap_s)
        self._gap_sampled_s = now_s

    def has_pace(self, slots, now_s):
        """Return whether recent completions tell how fast the backlog drains."""
        longest_s = max(MAX_GAP_AGE_S, GAP_ROUNDS * slots * self._gap_s)
        return now_s - self._gap_sampled_s <= longest_s

    def typical_s(self, now_s):
        """Return the typical service time of a request, in seconds; 0 if unknown.

        If the estimate is too high, no request is started, and no sample can
        correct it: a healthy server would have no request in flight while every
        caller is refused. The estimate therefore decays without new samples.
        """
        idle_s = now_s - self._sampled_s
        if idle_s <= HALF_LIFE_S:
            return self._median_s
        return self._median_s * 0.5 ** (idle_s / HALF_LIFE_S - 1)

    def wait_s(self, ahead, slots, now_s):
        """Return how long a request waits behind ``ahead`` others, in seconds."""
        if self.has_pace(slots, now_s):
            return ahead * self._gap_s
        return ahead * self.typical_s(now_s) / max(slots, 1)
