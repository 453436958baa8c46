"""Estimate the offsets of machines' clocks from the times of a query and its answer."""

from statistics import median

import attrs

__all__ = ["ClockReading", "OffsetEstimate", "clock_offsets"]


@attrs.frozen(kw_only=True)
class ClockReading:
    """The time of a node's wall clock between a query and its answer, in ms."""

    node_id: str
    sent_ms: float
    received_ms: float
    clock_ms: float


@attrs.frozen(kw_only=True)
class OffsetEstimate:
    """How far a clock is ahead of the nodes' median clock, in ms."""

    node_id: str
    offset_ms: float
    uncertainty_ms: float


def clock_offsets(readings):
    """Return an `OffsetEstimate` for each reading, against the median clock.

    A clock was read at some time between the query and its answer, so half of the
    time between them bounds the error. Source: F. Cristian, "Probabilistic clock
    synchronization" (1989).

    >>> one = ClockReading(node_id="a", sent_ms=0, received_ms=2, clock_ms=501)
    >>> clock_offsets([one])[0].uncertainty_ms
    1.0
    """
    if not readings:
        return []
    ahead = [r.clock_ms - (r.sent_ms + r.received_ms) / 2 for r in readings]
    median_ms = median(ahead)
    return [
        OffsetEstimate(
            node_id=reading.node_id,
            offset_ms=offset - median_ms,
            uncertainty_ms=(reading.received_ms - reading.sent_ms) / 2,
        )
        for reading, offset in zip(readings, ahead, strict=True)
    ]
