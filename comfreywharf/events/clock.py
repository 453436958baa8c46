"""A hybrid logical clock, which orders events of machines whose clocks differ.

Source: S. Kulkarni et al., "Logical Physical Clocks" (2014).
"""

__all__ = ["COUNTER_BITS", "MAX_AHEAD_MS", "EventClock"]

COUNTER_BITS = 16

MAX_AHEAD_MS = 5_000
"""How far a received time may be ahead of this machine's wall clock, in ms."""


class EventClock:
    """Issue and merge event times, packed as milliseconds << 16 | counter.

    >>> clock = EventClock()
    >>> first = clock.tick(now_ms=1000)
    >>> clock.tick(now_ms=990) > first
    True
    """

    def __init__(self):
        self._last = 0

    def tick(self, now_ms):
        """Return the time of a local event or of a message to be sent.

        Times increase strictly, with one exception: if the wall clock was far
        ahead and was corrected, time restarts from the wall clock. Otherwise this
        node would stay ahead, and all others would reject its times until they
        caught up. The order of this node's own events remains known from their
        sequence numbers.
        """
        now = now_ms << COUNTER_BITS
        if self._last - now > (2 * MAX_AHEAD_MS) << COUNTER_BITS:
            self._last = now
            return now
        self._last = max(self._last + 1, now)
        return self._last

    def merge(self, received, now_ms):
        """Merge a received time; return how far ahead it is if it is rejected.

        The result is in ms, and 0 if the time was merged. A time that is more
        than `MAX_AHEAD_MS` ahead of the wall clock is rejected. Otherwise the
        messages of one machine whose clock is in the future would advance the
        clocks of all nodes to that time, and the time line of the whole
        deployment would be wrong until then.
        """
        ahead_ms = self.milliseconds(received) - now_ms
        if ahead_ms > MAX_AHEAD_MS:
            return ahead_ms
        self._last = max(self._last, received)
        return 0

    @staticmethod
    def milliseconds(value):
        """Return the wall clock part of a time, in ms."""
        return value >> COUNTER_BITS
