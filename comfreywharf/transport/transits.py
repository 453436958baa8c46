"""Estimate the queueing delay of a peer's messages without synchronised clocks.

The difference between the receiver's clock and the sender's time in the message is the
sum of the offset between the two clocks, which is constant, and the transit time. The
smallest difference of the last seconds stands for a message that waited in no queue;
the excess of another message over it is that message's queueing delay. Source: RFC 6817
(LEDBAT), section 3.
"""

import attrs

__all__ = ["TransitTimes"]

WINDOW_S = 10.0
"""For how long a smallest difference is used, at least. Clocks that drift by 5 in
1,000 are off by 50 ms after this time."""

MAX_QUEUED_S = 8.0
"""A longer delay means that the sender's clock is another one: its machine was replaced
by one of the same name."""


@attrs.define
class TransitTimes:
    """Estimate the queueing delay of each message of one peer.

    >>> times = TransitTimes()
    >>> times.queued_s(sent_s=100.0, now_s=5.0)
    0.0
    >>> times.queued_s(sent_s=101.0, now_s=7.5)
    1.5
    """

    _min_difference_s: float = float("inf")
    _previous_min_difference_s: float = float("inf")
    _window_start_s: float = float("-inf")

    def queued_s(self, sent_s, now_s):
        """Return how much longer a message took than the fastest recent one, in s."""
        difference_s = now_s - sent_s
        if now_s - self._window_start_s > WINDOW_S:
            self._start_window(now_s, self._min_difference_s)
        self._min_difference_s = min(self._min_difference_s, difference_s)
        queued_s = difference_s - min(
            self._min_difference_s, self._previous_min_difference_s
        )
        if queued_s > MAX_QUEUED_S:
            self._start_window(now_s, float("inf"))
            self._min_difference_s = difference_s
            return 0.0
        return queued_s

    def _start_window(self, now_s, previous_min_difference_s):
        self._window_start_s = now_s
        self._previous_min_difference_s = previous_min_difference_s
        self._min_difference_s = float("inf")
