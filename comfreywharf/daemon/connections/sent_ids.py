"""Which requests each connection to a backend server has carried lately."""

from weakref import WeakKeyDictionary

__all__ = ["MIN_KEPT_S", "SentIds"]

MIN_KEPT_S = 10.0
"""How long an id is kept at least. A caller that chooses the ids may send one again
after the time that its request had."""


class SentIds:
    """The ids of the requests that were sent on each connection.

    An answer names its request by the id only. A server may repeat an answer late, in
    place of the next one on the connection. A request that is sent again has to use a
    connection that hasn't carried its id, or the repeated answer to its first send
    would be taken for the answer to the second.

    All times are in seconds, by one clock. Ids are kept as hash values: a collision
    only keeps a request from a connection.

    >>> class Connection:
    ...     pass
    >>> first, second = Connection(), Connection()
    >>> sent = SentIds()
    >>> sent.add(first, "booking-7", until_s=30.0, now_s=1.0)
    >>> [sent.was_sent(one, "booking-7", now_s=29.0) for one in (first, second)]
    [True, False]
    >>> sent.was_sent(first, "booking-7", now_s=30.0)
    False
    """

    def __init__(self):
        self._until_s = WeakKeyDictionary()

    def add(self, connection, request_id, until_s, now_s):
        """Register that a request is sent; it may be sent again before ``until_s``."""
        kept = self._until_s.setdefault(connection, {})
        while kept:
            oldest = next(iter(kept))
            if kept[oldest] > now_s:
                break
            del kept[oldest]
        number = hash(request_id)
        kept.pop(number, None)
        kept[number] = max(until_s, now_s + MIN_KEPT_S)

    def was_sent(self, connection, request_id, now_s):
        """Return whether a connection may have carried a request with this id."""
        kept = self._until_s.get(connection, {})
        return kept.get(hash(request_id), now_s) > now_s
