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

MIN_REPORTED_CHANGE_PER_S = 1.0
"""Absolute change, in requests per second, up to which a rate isn't reported."""


@attrs.define
class _Rate:
    """Requests to a slice; a negative rate hasn't been measured or reported yet."""

    service: str
    end: int
    count: int = 0
    average_per_s: float = -1.0
    reported_per_s: float = -1.0


@attrs.define
class SliceMeter:
    """Requests per second for each slice that a node owns.

    Rates are smoothed, since a planner that acted on single windows would move
    slices because of random variation. Only changed rates are reported: at 640
    nodes, full reports would exceed the planner's budget for control traffic.
    """

    smoothing_s: float = SMOOTHING_S
    _rates: dict[tuple[str, int], _Rate] = attrs.Factory(dict)
    _window_start_s: float | None = None

    def count(self, service, start, requests=1):
        """Count requests for a slice that the node owns."""
        rate = self._rates.get((service, start))
        if rate is not None:
            rate.count += requests

    def set_owned(self, owned):
        """Set the slices that the node owns, given as ``(service, Slice)`` pairs.

        The measurement of a slice whose bounds changed starts over.
        """
        kept = {}
        for service, slice_ in owned:
            slice_key = (service, slice_.start)
            rate = self._rates.get(slice_key)
            if rate is None or rate.end != slice_.end:
                rate = _Rate(service, slice_.end)
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
        weight = 1 - math.exp(-window_s / self.smoothing_s)
        for rate in self._rates.values():
            measured = rate.count / window_s
            if rate.average_per_s < 0:
                rate.average_per_s = measured
            elif _is_noise(rate, window_s):
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
                    service=service, start=start, requests_per_s=rate.average_per_s
                )
            )
        return tuple(entries)


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
