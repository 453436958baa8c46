"""How many requests a backend server gets while it names a limit.

A server in need names the requests per second that it takes from all nodes together.
Only the node beside it reaches it, so that this node alone can keep the limit.
"""

import math

import attrs

from comfreywharf.load.bounds import ArrivalBound
from comfreywharf.routing import Reason

__all__ = ["MAX_LIMIT_PER_S", "LimitChange", "ServerRateLimit"]

BURST_S = 0.25
"""The time whose requests may be sent together after a pause in the arrivals."""

MIN_BURST_REQUESTS = 2.0
"""The least that the bucket holds. One that holds a single request loses the time by
which the next one is admitted late."""

LIFTED_AFTER_S = 0.2
"""For how long answers have to name no limit until it is lifted. Answers on several
connections are read in any order, so that the first without it may be an old one."""

PROBE_AFTER_S = 2.0
"""Time without an answer after which a limited server is probed. One that takes nothing
gets no requests, and no answer of it could lift its limit."""

MAX_RETRY_AFTER_S = 10.0
"""The longest delay before refused callers retry. The limit may be lifted any time."""

MAX_LIMIT_PER_S = 1e9
"""A higher limit is damaged."""

_ROUNDING = 1e-9


@attrs.frozen
class LimitChange:
    """A limit that changed, in requests per second; ``None`` where there is none."""

    before_per_s: float | None
    after_per_s: float | None


@attrs.define
class ServerRateLimit(ArrivalBound):
    """A token bucket that is refilled at the rate that the server names.

    The bucket is empty when a limit is named first, as the server has just got more
    requests than it takes. It holds the requests of `BURST_S`, or `MIN_BURST_REQUESTS`
    if those are more.

    >>> limit = ServerRateLimit()
    >>> limit.is_open(0.0)
    True
    >>> limit.record_named(10.0, 0.0)
    LimitChange(before_per_s=None, after_per_s=10.0)
    >>> limit.is_open(0.0), limit.is_open(0.1), limit.wait_s(3, 0.1)
    (False, True, 0.2)
    """

    reason = Reason.BACKEND_LIMITED

    limit_per_s: float | None = None
    limited_since_s: float | None = None
    _tokens: float = 0.0
    _filled_s: float = float("-inf")
    _unnamed_since_s: float | None = None
    _answered_s: float = float("-inf")
    _permits: set = attrs.Factory(set)

    def record_named(self, limit_per_s, now_s):
        """Apply the limit in an answer; return the `LimitChange`, or ``None``."""
        self._answered_s = now_s
        self._unnamed_since_s = None
        before_per_s = self.limit_per_s
        if limit_per_s == before_per_s:
            return None
        if before_per_s is None:
            self.limited_since_s = now_s
            self._tokens = 0.0
            self._filled_s = now_s
        else:
            self._fill(now_s)
        self.limit_per_s = limit_per_s
        self._tokens = min(self._tokens, self._max_tokens)
        return LimitChange(before_per_s, limit_per_s)

    def record_unnamed(self, now_s):
        """Record an answer without a limit; return the `LimitChange`, or ``None``."""
        self._answered_s = now_s
        if self.limit_per_s is None:
            return None
        if self._unnamed_since_s is None:
            self._unnamed_since_s = now_s
        if now_s - self._unnamed_since_s < LIFTED_AFTER_S:
            return None
        return self.lift()

    def lift(self):
        """End the limit; return the `LimitChange`, or ``None`` if there was none."""
        before_per_s = self.limit_per_s
        self.limit_per_s = self.limited_since_s = self._unnamed_since_s = None
        return None if before_per_s is None else LimitChange(before_per_s, None)

    def take_probe(self, now_s):
        """Return whether a probe is due, and count it as sent if so."""
        if self.limit_per_s is None or now_s - self._answered_s < PROBE_AFTER_S:
            return False
        self._answered_s = now_s
        return True

    def is_active(self, now_s):
        """Return whether the server names a limit."""
        return self.limit_per_s is not None

    def is_open(self, now_s):
        """Return whether another request may be admitted."""
        return self.wait_s(1, now_s) == 0

    def take(self, permit, now_s):
        """Take a permit for a request that is admitted."""
        self._permits.add(permit)

    def record_sent(self, permit, now_s):
        """Count a request that is sent now."""
        self._permits.discard(permit)
        if self.limit_per_s is not None:
            self._fill(now_s)
            self._tokens -= 1

    def end(self, permit):
        """Return the permit of a request that ended; it may not have been sent."""
        self._permits.discard(permit)

    def wait_s(self, ahead, now_s):
        """Return how long the request at place ``ahead`` of a queue waits at least."""
        if self.limit_per_s is None:
            return 0.0
        self._fill(now_s)
        missing = ahead + len(self._permits) - self._tokens
        if missing <= _ROUNDING:
            return 0.0
        return missing / self.limit_per_s if self.limit_per_s else math.inf

    def retry_after_s(self, ahead, now_s):
        """Return when a caller may be admitted at the earliest, within a bound."""
        return min(self.wait_s(ahead, now_s), MAX_RETRY_AFTER_S)

    @property
    def _max_tokens(self):
        return max(MIN_BURST_REQUESTS, BURST_S * self.limit_per_s)

    def _fill(self, now_s):
        earned = max(0.0, now_s - self._filled_s) * self.limit_per_s
        # Requests that are admitted and not sent yet hold tokens. If these filled the
        # bucket, nothing would be earned until they are sent.
        held = min(len(self._permits), self._max_tokens)
        self._tokens = min(self._tokens + earned, self._max_tokens + held)
        self._filled_s = max(self._filled_s, now_s)
