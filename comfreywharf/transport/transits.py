"""How long a message of a peer was on its way, though two machines share no clock.

The difference between the receiver's clock and the time that the sender put into the
message has two parts: how far the clocks are apart, which stays, and how long the way
was. The least difference seen lately stands for a way without a queue; what a message
has above it, it spent in queues. Source: RFC 6817 (LEDBAT), section 3.
"""

import attrs

__all__ = ["TransitTimes"]

WINDOW_S = 10.0
"""How long a least difference counts at least. Clocks that drift apart by 5 in 1,000
are 50 ms off by then."""

LONGEST_S = 8.0
"""A longer way means another clock: a machine that was replaced under its name."""


@attrs.define
class TransitTimes:
    """The ways of one peer's messages.

    >>> times = TransitTimes()
    >>> times.queued_s(sent_s=100.0, now_s=5.0)
    0.0
    >>> times.queued_s(sent_s=101.0, now_s=7.5)
    1.5
    """

    _least_s: float = float("inf")
    _least_before_s: float = float("inf")
    _began_s: float = float("-inf")

    def queued_s(self, sent_s, now_s):
        """Return how much longer a message took than the fastest one lately."""
        difference_s = now_s - sent_s
        if now_s - self._began_s > WINDOW_S:
            self._begin(now_s, self._least_s)
        self._least_s = min(self._least_s, difference_s)
        queued_s = difference_s - min(self._least_s, self._least_before_s)
        if queued_s > LONGEST_S:
            self._begin(now_s, float("inf"))
            self._least_s = difference_s
            return 0.0
        return queued_s

    def _begin(self, now_s, least_before_s):
        self._began_s = now_s
        self._least_before_s = least_before_s
        self._least_s = float("inf")
