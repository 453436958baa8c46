"""Slots of a backend server that late requests leave free.

A late request that takes each slot which is free for a moment makes the requests that
arrive just after it wait until they are late as well. The present time is an argument.
"""

import attrs

__all__ = ["LateReserve"]

MIN_SLOTS = 4
"""Slots of a server from which on some are reserved. Of three, one is too large a part
of what the server can do."""

KEPT_S = 0.5
"""How long after a request that may be in time slots are kept free for the next one."""


@attrs.define
class LateReserve:
    """Tell whether the free slots are kept for requests that may be in time.

    ``slots`` are kept while such requests arrive; with 0, none are. ``held`` counts the
    late requests that found a free slot reserved when they arrived.

    >>> reserve = LateReserve(slots=1)
    >>> reserve.record_in_time(now_s=5.0)
    >>> reserve.is_kept(in_flight=6, allowed=7, now_s=5.1)
    True
    >>> reserve.is_kept(in_flight=6, allowed=7, now_s=5.6)
    False
    """

    slots: int = 0
    held: int = 0
    _in_time_s: float = float("-inf")

    def record_in_time(self, now_s):
        """Record the arrival of a request that may be in time."""
        self._in_time_s = now_s

    def is_kept(self, in_flight, allowed, now_s):
        """Return whether a late request has to leave the next free slot.

        ``allowed`` requests may be in flight at the server.
        """
        if not self.slots or allowed < MIN_SLOTS:
            return False
        if now_s - self._in_time_s > KEPT_S:
            return False
        return in_flight >= allowed - self.slots
