"""Which connections to an address are known to lead to one and the same process."""

__all__ = ["ProcessBond"]


class ProcessBond:
    """Follow one process of a backend server through the connections to it.

    An address says nothing of who listens there. A server that crashes and begins
    again within a heartbeat takes the renewals that were meant for its earlier life,
    and holds keys under a fence that both lives had. One would see a key go from a
    server to the next one under an equal fence.

    A connection ends with the process that accepted it. The first connection is
    bound to whoever accepted it, and so is every later one that is older than a
    question which the same process answered: it was accepted while that process
    listened, and one process at a time does so at an address until it ends. When the
    last of them has ended, whoever is at the address may be another process, and
    gets another number.

    >>> bond = ProcessBond()
    >>> bond.opened("first")
    >>> bond.opened("second")
    >>> bond.process, bond.knows("first"), bond.knows("second")
    (1, True, False)
    >>> bond.answered("first", bond.asked())
    >>> bond.knows("second")
    True
    >>> bond.closed("first")
    >>> bond.process
    1
    >>> bond.closed("second")
    >>> bond.process
    0

    Connections are any hashable values. No time is needed: what counts is the order
    in which connections were opened and questions were sent.
    """

    def __init__(self):
        self._moment = 0
        self._number = 0
        self._opened = {}
        self._known = set()

    @property
    def process(self):
        """Return the number of the process; zero while none is known."""
        return self._number if self._known else 0

    @property
    def known_count(self):
        """Return how many connections lead to the process."""
        return len(self._known)

    @property
    def waits(self):
        """Return whether a connection waits to be vouched for."""
        return len(self._opened) > len(self._known)

    def opened(self, connection):
        """Take note of a connection that was accepted."""
        if not self._known:
            # Older ones belong to an earlier process, which has most likely ended.
            self._opened.clear()
            self._known.add(connection)
            self._number += 1
        self._opened[connection] = self._next_moment()

    def asked(self):
        """Return the moment at which a question is sent, for `answered`."""
        return self._next_moment()

    def answered(self, connection, asked):
        """Take note of an answer on a connection, to what was asked at a moment."""
        if connection not in self._known:
            return
        self._known.update(
            other for other, opened in self._opened.items() if opened < asked
        )

    def closed(self, connection):
        """Take note that a connection has ended, or is used no more."""
        self._opened.pop(connection, None)
        self._known.discard(connection)

    def knows(self, connection):
        """Return whether a connection leads to the process."""
        return connection in self._known

    def _next_moment(self):
        self._moment += 1
        return self._moment
