"""The time axis of the picture, on which stretches without events are shortened."""

from bisect import bisect_right

import attrs

__all__ = ["QuietStretch", "TimeScale"]

QUIET_SHARE = 0.1
"""A stretch without events is shortened if it is a larger share of the time."""

SHORTENED_SHARE = 0.04
"""The width of a shortened stretch, as a share of that of all busy stretches."""

EDGE_SHARE = 0.25
"""The time next to an event that isn't shortened, as a share of `QUIET_SHARE`."""


@attrs.frozen(kw_only=True)
class QuietStretch:
    """A stretch of time without events, which is shortened in the picture."""

    start_ms: int
    end_ms: int


class TimeScale:
    """Map times to positions between ``left_px`` and ``right_px``.

    An incident usually is a few busy seconds with quiet minutes between them. On
    a linear scale, the busy seconds would shrink to a single column of markers.
    Quiet stretches are therefore shortened, and marked as such.
    """

    def __init__(self, times_ms, left_px, right_px):
        times = sorted(times_ms)
        margin_ms = max(10, (times[-1] - times[0]) // 100)
        self.start_ms = times[0] - margin_ms
        self.end_ms = times[-1] + margin_ms
        self.quiet_stretches = tuple(_find_quiet_stretches(times))
        self._anchors_ms, weights = self._segments()
        total = sum(weights)
        self._anchors_px = [float(left_px)]
        for weight in weights:
            step_px = (right_px - left_px) * weight / total
            self._anchors_px.append(self._anchors_px[-1] + step_px)

    def _segments(self):
        """Return the bounds of all segments, and each segment's weight in width.

        Busy and quiet segments alternate; the first and the last one are busy.
        """
        ends = [
            t for quiet in self.quiet_stretches for t in (quiet.start_ms, quiet.end_ms)
        ]
        anchors = [self.start_ms, *ends, self.end_ms]
        lengths = [b - a for a, b in zip(anchors, anchors[1:], strict=False)]
        busy = sum(lengths[::2])
        return anchors, [
            length if index % 2 == 0 else max(1.0, busy * SHORTENED_SHARE)
            for index, length in enumerate(lengths)
        ]

    def x(self, at_ms):
        """Return the position of a time, in px."""
        index = bisect_right(self._anchors_ms, at_ms) - 1
        index = min(max(index, 0), len(self._anchors_ms) - 2)
        start_ms, end_ms = self._anchors_ms[index : index + 2]
        start_px, end_px = self._anchors_px[index : index + 2]
        share = (at_ms - start_ms) / max(1, end_ms - start_ms)
        share = min(max(share, 0.0), 1.0)
        return round(start_px + share * (end_px - start_px), 1)

    @property
    def shown_ms(self):
        """Return the time outside of the shortened stretches, in ms."""
        quiet_ms = sum(quiet.end_ms - quiet.start_ms for quiet in self.quiet_stretches)
        return self.end_ms - self.start_ms - quiet_ms

    def is_quiet(self, at_ms):
        """Return whether a time is in a shortened stretch."""
        return any(q.start_ms <= at_ms <= q.end_ms for q in self.quiet_stretches)


def _find_quiet_stretches(times):
    length_ms = times[-1] - times[0]
    for earlier, later in zip(times, times[1:], strict=False):
        if later - earlier > length_ms * QUIET_SHARE:
            edge_ms = int(length_ms * QUIET_SHARE * EDGE_SHARE)
            yield QuietStretch(start_ms=earlier + edge_ms, end_ms=later - edge_ms)
