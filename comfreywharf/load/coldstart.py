"""How many requests a backend server may get while it is cold.

A server that has just started is slow, and crashes if it gets many more requests than
it bears. It comes back cold, so that it crashes again for as long as its share of the
load is sent to it.
"""

import math
from collections import deque

import attrs

from comfreywharf.load.bounds import ArrivalBound
from comfreywharf.routing import Reason

__all__ = ["ColdLimit", "ColdTerms"]

WINDOW_S = 1.0
"""The span in which the requests to a cold server are bounded."""

WINDOW_MARGIN_S = 0.04
"""How much closer together requests may arrive than they were sent."""


@attrs.frozen(kw_only=True)
class ColdTerms:
    """What a backend server bears while it is cold.

    It tolerates ``requests_per_s`` for any time. In no window of a second it gets more
    than ``overage`` times that and ``extra_requests``.

    >>> ColdTerms(requests_per_s=4.0, overage=1.5, extra_requests=8).max_requests
    14
    """

    requests_per_s: float
    overage: float = 1.0
    extra_requests: float = 0.0

    @property
    def max_requests(self):
        """Return how many requests one window may have; at least one."""
        allowed = self.requests_per_s * self.overage + self.extra_requests
        return max(1, math.floor(allowed))

    @property
    def sustained_per_s(self):
        """Return the requests per second that a cold server may get for long."""
        return self.requests_per_s * self.overage


@attrs.define
class ColdLimit(ArrivalBound):
    """Bound the requests to one backend server for as long as it is cold.

    Requests to a warm server are counted too: a server may turn cold at any moment,
    and reports it late.

    ``terms`` is ``None`` if the service states no bound. An earlier process of the node
    may have used up the window that ends after ``began_s``.

    >>> limit = ColdLimit(began_s=0.0)
    >>> limit.terms = ColdTerms(requests_per_s=2.0)
    >>> limit.set_cold(3.0, now_s=5.0)
    >>> limit.take("a", 5.0), limit.take("b", 5.0), limit.is_open(5.0)
    (None, None, False)
    >>> limit.record_sent("a", 5.0)
    >>> limit.end("b")
    >>> limit.is_open(5.0)
    True
    """

    reason = Reason.BACKEND_COLD

    began_s: float
    terms: ColdTerms | None = None
    _cold_until_s: float = float("-inf")
    _sent_s: deque = attrs.Factory(deque)
    _permits: set = attrs.Factory(set)

    def set_cold(self, remaining_s, now_s):
        """Record how long the server reports that it stays cold; 0 if it is warm."""
        self._cold_until_s = now_s + remaining_s

    def is_cold(self, now_s):
        """Return whether the server is cold and its service states a bound."""
        return self.terms is not None and now_s < self._cold_until_s

    def is_active(self, now_s):
        """Return whether the server is cold and its service states a bound."""
        return self.is_cold(now_s)

    def cold_left_s(self, now_s):
        """Return for how long the server's requests are bounded; 0 if it is warm."""
        return self._cold_until_s - now_s if self.is_cold(now_s) else 0.0

    def is_open(self, now_s):
        """Return whether another request may be admitted."""
        return not self.is_cold(now_s) or self._opens_s(1, now_s) <= now_s

    def take(self, permit, now_s):
        """Take a permit for a request that is admitted."""
        if self.terms is not None:
            self._permits.add(permit)

    def record_sent(self, permit, now_s):
        """Count a request that is sent now."""
        if self.terms is None:
            return
        self._permits.discard(permit)
        self._sent_s.append(now_s)
        while len(self._sent_s) > self.terms.max_requests:
            self._sent_s.popleft()

    def end(self, permit):
        """Return the permit of a request that ended; it may not have been sent."""
        self._permits.discard(permit)

    def wait_s(self, ahead, now_s):
        """Return how long the request at place ``ahead`` of a queue waits at least."""
        if not self.is_cold(now_s):
            return 0.0
        opens_s = min(self._opens_s(ahead, now_s), self._cold_until_s)
        return max(0.0, opens_s - now_s)

    def _opens_s(self, number, now_s):
        """Return when the ``number``-th further request may be admitted."""
        allowed = self.terms.max_requests
        span_s = WINDOW_S + WINDOW_MARGIN_S
        rounds, place = divmod(number - 1 + len(self._permits), allowed)
        first_s = max(self.began_s + span_s, now_s)
        recent = [sent_s + span_s for sent_s in self._sent_s if sent_s + span_s > now_s]
        free = allowed - len(recent)
        if place >= free:
            first_s = max(first_s, recent[place - free])
        return first_s + rounds * span_s
