"""Limits on a node's appends, so that all nodes together don't overload the log."""

from enum import IntEnum

import attrs

from comfreywharf.records import messages

__all__ = ["AppendBudget", "Backoff", "Priority", "priority_of"]

FLEET_APPENDS_PER_S = 200.0
"""The append rate of all nodes together: half of what the log accepts."""

PLANNER_APPENDS_PER_S = 40.0
"""The part of `FLEET_APPENDS_PER_S` that is reserved for the planner."""

BURST = 16.0
"""How many appends a node may make at once after a period without any."""

BUSY_FACTOR = 2.0
"""How long records that aren't urgent wait after a refusal, as a multiple of
Retry-After."""

MAX_DELAY_S = 5.0
"""The longest delay between two attempts, before jitter."""


class Priority(IntEnum):
    """How urgent a record is; lower values go first.

    Requests wait for ``URGENT`` records; ``NORMAL`` are plans and operators'
    patches, ``LOW`` are announcements and snapshots.
    """

    URGENT = 0
    NORMAL = 1
    LOW = 2


_PRIORITIES = {
    messages.SlicesTaken: Priority.URGENT,
    messages.LeaseStarted: Priority.URGENT,
    messages.MoveCompleted: Priority.URGENT,
    messages.NodeAnnounced: Priority.LOW,
    messages.NodeRemoved: Priority.LOW,
    messages.SnapshotWritten: Priority.LOW,
}

_RESERVES = {Priority.URGENT: 0.0, Priority.NORMAL: 4.0, Priority.LOW: 8.0}
"""Tokens that are left in the bucket for more urgent records."""

_BASE_DELAYS_S = {Priority.URGENT: 0.1, Priority.NORMAL: 0.25, Priority.LOW: 1.0}


def priority_of(record):
    """Return the `Priority` of a record."""
    return _PRIORITIES.get(type(record), Priority.NORMAL)


@attrs.define
class AppendBudget:
    """A token bucket whose rate is the node's share of the fleet's budget.

    >>> budget = AppendBudget(now_s=0.0)
    >>> budget.take(Priority.LOW, members=640, planner=False, now_s=0.0)
    0.0
    """

    now_s: float
    tokens: float = BURST
    _busy_until_s: float = float("-inf")

    def mark_log_busy(self, now_s, retry_after_s):
        """Record that the log is busy; delay all records that aren't urgent.

        After an outage each node has several records to append. If each of them
        were tried at the busy log, announcements would use up the capacity that
        takeovers need.
        """
        until_s = now_s + BUSY_FACTOR * retry_after_s
        self._busy_until_s = max(self._busy_until_s, until_s)

    def take(self, priority, members, planner, now_s):
        """Take a token and return 0, or return the seconds to wait before a retry."""
        rate = self._rate(members, planner)
        earned = max(now_s - self.now_s, 0.0) * rate
        self.tokens = min(BURST, self.tokens + earned)
        self.now_s = now_s
        if priority is not Priority.URGENT and now_s < self._busy_until_s:
            return self._busy_until_s - now_s
        missing = 1.0 + _RESERVES[priority] - self.tokens
        # The tokens are sums of floats: without a tolerance, a rounding error
        # may leave them just short of one after each wait, again and again.
        if missing <= 1e-9:
            self.tokens -= 1.0
            return 0.0
        return missing / rate

    @staticmethod
    def _rate(members, planner):
        shared = FLEET_APPENDS_PER_S - PLANNER_APPENDS_PER_S
        rate = shared / max(members, 1)
        return rate + PLANNER_APPENDS_PER_S if planner else rate


class Backoff:
    """Exponential delays with full jitter, never shorter than Retry-After.

    It is kept across records: a caller that gives up on one record and continues
    with the next doesn't start from the short delays again.
    """

    def __init__(self, rng):
        self._rng = rng
        self._failures = dict.fromkeys(Priority, 0)

    def failed(self, priority, retry_after_s=0.0):
        """Count a failure; return the delay before the next attempt in seconds."""
        scale_s = _BASE_DELAYS_S[priority] * 2 ** min(self._failures[priority], 16)
        self._failures[priority] += 1
        return retry_after_s + self._rng.uniform(0.0, min(scale_s, MAX_DELAY_S))

    def succeeded(self, priority):
        """Reset the delays after a success."""
        self._failures[priority] = 0
