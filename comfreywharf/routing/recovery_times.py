"""When refused callers may return whose refusal names no time itself.

The present time isn't needed: each cause lasts for a known time from now at most.
"""

import attrs

from comfreywharf.routing.outcomes import Reason

__all__ = ["RecoveryTimes"]

_SERVER_ABSENT = frozenset(
    {Reason.NO_BACKEND, Reason.DRAINING, Reason.PEER_UNREACHABLE}
)
"""Refusals that end once the other nodes have noticed, if another member may serve."""

_SERVER_BUSY = frozenset(
    {
        Reason.REFUSED_BY_BACKEND,
        Reason.OVERLOADED,
        Reason.BACKEND_COLD,
        Reason.BACKEND_LIMITED,
    }
)
"""Refusals by a server that is there, and whose pace its node doesn't know yet."""


@attrs.frozen(kw_only=True)
class RecoveryTimes:
    """How long the causes of refusals last, by what a node is configured with.

    A lost owner's keys have another owner once its lease has ended, after ``lease_s``
    at most. ``notice_s`` is the time in which nodes notice the state of a backend
    server.

    >>> times = RecoveryTimes(lease_s=1.2, notice_s=0.4)
    >>> times.retry_after_s(Reason.NO_OWNER, keyed=True, held_s=0.2)
    1.0
    >>> times.retry_after_s(Reason.PEER_UNREACHABLE, keyed=False)
    0.4
    >>> times.retry_after_s(Reason.DEADLINE_BEFORE_START, keyed=True)
    0.0
    """

    lease_s: float
    notice_s: float

    def retry_after_s(self, reason, keyed, held_s=0.0):
        """Return after what time a refused caller may be served, in seconds.

        ``keyed`` is whether only the key's owner may serve. The request was held for
        ``held_s`` while the key had no owner. One that came with too little time, and
        wasn't held, isn't refused for a state that ends; its caller may return at once.
        """
        if reason is Reason.DEADLINE_BEFORE_START and not held_s:
            return 0.0
        if reason in _SERVER_BUSY or not keyed and reason in _SERVER_ABSENT:
            return self.notice_s
        return max(self.lease_s - held_s, self.notice_s)
