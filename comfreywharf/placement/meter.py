"""Measure a node's request rates by slice, and select the rates to report."""

import math

import attrs

from comfreywharf.placement.loads import SliceRate

__all__ = ["SliceMeter"]

SMOOTHING_S = 15.0
"""Time constant of the moving average."""

MAX_DEVIATIONS = 4.0
"""Standard deviations beyond which a count is taken as a change of the rate."""

RATE_CHANGE_WEIGHT = 0.6
"""Weight of such a count in the average, regardless of the window's length."""

REPORTED_CHANGE = 0.05
"""Relative change of a rate from which on it is reported again."""

REQUESTS_OF_MEAN = 20
"""Requests that the mean slot time of a slice's requests covers."""

MIN_FIRST_REQUESTS = 4
MIN_FIRST_WINDOW_S = 0.25
MAX_FIRST_WINDOW_S = 2.0
"""A slice that a node has gained is reported after this many requests and this time, or
after the longer time in any case."""

MIN_REPORTED_CHANGE_PER_S = 1.0
"""Absolute change, in requests per second, up to which a rate isn't reported."""


@attrs.define
class _Rate:
    """Requests to a slice; a negative rate hasn't been measured or reported yet."""

    service: str
    end: int
    epoch: int = -1
    count: int = 0
    average_per_s: float = -1.0
    reported_per_s: float = -1.0
    since_s: float | None = None
    work_requests: int = 0
    work_s: float = 0.0
    request_s: float = 0.0

    def slots_needed(self):
        """Return the slots that the requests need; ``None`` if unknown."""
        return self.average_per_s * self.request_s if self.request_s else None


@attrs.define
class SliceMeter:
    """Requests per second for each slice that a node owns.

    Rates are smoothed, since a planner that acted on single windows would move
    slices because of random variation. Only changed rates are reported: at 640
    nodes, full reports would exceed the planner's budget for control traffic.

    With ``by_work``, a slice is measured from when the node gained it. Otherwise a
    slice that was moved or split for its load would be reported as idle at first.
    """

    smoothing_s: float = SMOOTHING_S
    by_work: bool = False
    _rates: dict[tuple[str, int], _Rate] = attrs.Factory(dict)
    _window_start_s: float | None = None

    def count(self, service, start, requests=1):
        """Count requests for a slice that the node owns."""
        rate = self._rates.get((service, start))
        if rate is not None:
            rate.count += requests

    def count_work(self, service, start, work_s):
        """Count the slot time that one request for a slice needs, in seconds."""
        rate = self._rates.get((service, start))
        if rate is not None and work_s > 0:
            rate.work_requests += 1
            rate.work_s += work_s

    def set_owned(self, owned, now_s=None):
        """Set the slices that the node owns, given as ``(service, Slice)`` pairs.

        The measurement of a slice whose bounds changed starts over, at ``now_s`` if
        the meter measures work.
        """
        kept = {}
        for service, slice_ in owned:
            slice_key = (service, slice_.start)
            rate = self._rates.get(slice_key)
            if rate is None or rate.end != slice_.end:
                rate = _Rate(service, slice_.end, since_s=now_s)
            rate.epoch = slice_.epoch
            kept[slice_key] = rate
        self._rates = kept

    def close_window(self, now_s):
        """Close the counting window at ``now_s`` and update the smoothed rates."""
        window_s = (
            now_s - self._window_start_s if self._window_start_s is not None else 0.0
        )
        self._window_start_s = now_s
        if window_s <= 0:
            return
        usual_weight = 1 - math.exp(-window_s / self.smoothing_s)
        for rate in self._rates.values():
            if self.by_work:
                _close_work(rate)
                if _is_unmeasured(rate, now_s):
                    continue
            measured = rate.count / window_s
            if rate.average_per_s < 0 and self.by_work and rate.since_s is not None:
                rate.average_per_s = rate.count / (now_s - rate.since_s)
            elif rate.average_per_s < 0:
                rate.average_per_s = measured
            elif _is_noise(rate, window_s):
                weight = max(usual_weight, _young_weight(rate, window_s, now_s))
                rate.average_per_s += weight * (measured - rate.average_per_s)
            else:
                rate.average_per_s += RATE_CHANGE_WEIGHT * (
                    measured - rate.average_per_s
                )
            rate.count = 0

    def all_rates(self):
        """Return every rate as a `SliceRate`, for a planner without earlier reports."""
        return self._entries(
            slice_key
            for slice_key, rate in self._rates.items()
            if rate.average_per_s >= 0
        )

    def changed_rates(self, limit):
        """Return at most ``limit`` changed rates, the largest changes first.

        The returned rates count as reported.
        """
        slice_keys = [
            slice_key for slice_key, rate in self._rates.items() if _needs_report(rate)
        ]
        if len(slice_keys) > limit:
            slice_keys.sort(
                key=lambda slice_key: (-_difference(self._rates[slice_key]), slice_key)
            )
        return self._entries(slice_keys[:limit])

    def _entries(self, slice_keys):
        entries = []
        for service, start in slice_keys:
            rate = self._rates[service, start]
            rate.reported_per_s = rate.average_per_s
            entries.append(
                SliceRate(
                    service=service,
                    start=start,
                    requests_per_s=rate.average_per_s,
                    epoch=rate.epoch if self.by_work else -1,
                    slots_needed=rate.slots_needed(),
                )
            )
        return tuple(entries)


def _is_unmeasured(rate, now_s):
    """Return whether too little was counted of a slice that the node has gained.

    Until then the planner's estimate, from the former owner, is the better one.
    """
    if rate.average_per_s >= 0 or rate.since_s is None:
        return False
    measured_s = now_s - rate.since_s
    if rate.count >= MIN_FIRST_REQUESTS:
        return measured_s < MIN_FIRST_WINDOW_S
    return measured_s < MAX_FIRST_WINDOW_S


def _young_weight(rate, window_s, now_s):
    """Return the weight with which all windows since the start count equally."""
    if rate.since_s is None:
        return 0.0
    return min(1.0, window_s / max(now_s - rate.since_s, window_s))


def _close_work(rate):
    """Add the requests of a window to the mean slot time of the slice's requests."""
    if rate.work_requests:
        window_request_s = rate.work_s / rate.work_requests
        weight = rate.work_requests / (rate.work_requests + REQUESTS_OF_MEAN)
        if not rate.request_s:
            weight = 1.0
        rate.request_s += weight * (window_request_s - rate.request_s)
    rate.work_requests = 0
    rate.work_s = 0.0


def _is_noise(rate, window_s):
    """Return whether a window's count is within the expected random variation.

    The standard deviation of a Poisson count is the square root of its mean.
    """
    expected = rate.average_per_s * window_s
    return abs(rate.count - expected) <= MAX_DEVIATIONS * math.sqrt(expected + 1)


def _needs_report(rate):
    if rate.average_per_s < 0:
        return False
    if rate.reported_per_s < 0:
        return True
    difference = _difference(rate)
    return (
        difference > MIN_REPORTED_CHANGE_PER_S
        and difference > REPORTED_CHANGE * rate.reported_per_s
    )


def _difference(rate):
    return abs(rate.average_per_s - max(0.0, rate.reported_per_s))
