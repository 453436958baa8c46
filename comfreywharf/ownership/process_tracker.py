"""Track which connections to an address lead to one and the same process."""

__all__ = ["ProcessTracker"]


class ProcessTracker:
    """Identify a process of a backend server by the connections to it.

    An address doesn't identify the process that listens there. A server that
    crashes and restarts within one heartbeat interval receives renewals that were
    meant for its earlier incarnation, and holds keys under a fence that both
    incarnations had: a key would pass from one process to the next under the same
    fence.

    A connection ends with the process that accepted it. The first connection
    defines the process. A later connection leads to the same process if it was
    accepted before the sending of a request that the process answered: only one
    process at a time listens at an address, and it does so until it ends. When
    the last of these connections has ended, another process may be at the
    address, and the next connection gets a new process number.

    >>> tracker = ProcessTracker()
    >>> tracker.opened("first")
    >>> tracker.opened("second")
    >>> tracker.process
    1
    >>> tracker.leads_to_process("first"), tracker.leads_to_process("second")
    (True, False)
    >>> tracker.answered("first", tracker.request_sent())
    >>> tracker.leads_to_process("second")
    True
    >>> tracker.closed("first")
    >>> tracker.process
    1
    >>> tracker.closed("second")
    >>> tracker.process
    0

    Connections are any hashable values. No clock is needed: only the order
    matters in which connections were opened and requests were sent.
    """

    def __init__(self):
        self._last_event = 0
        self._number = 0
        self._opened = {}
        self._confirmed = set()

    @property
    def process(self):
        """Return the number of the process; zero without a confirmed connection."""
        return self._number if self._confirmed else 0

    @property
    def confirmed_count(self):
        """Return how many connections are confirmed to lead to the process."""
        return len(self._confirmed)

    @property
    def has_unconfirmed(self):
        """Return whether any connection isn't confirmed to lead to the process."""
        return len(self._opened) > len(self._confirmed)

    def opened(self, connection):
        """Register a connection that was accepted."""
        if not self._confirmed:
            # Older connections belong to an earlier process, which has most
            # likely ended.
            self._opened.clear()
            self._confirmed.add(connection)
            self._number += 1
        self._opened[connection] = self._next_event()

    def request_sent(self):
        """Register that a request is sent; return its number, for `answered`."""
        return self._next_event()

    def answered(self, connection, request_number):
        """Register an answer on a connection; `request_sent` numbered its request."""
        if connection not in self._confirmed:
            return
        self._confirmed.update(
            other for other, opened in self._opened.items() if opened < request_number
        )

    def closed(self, connection):
        """Register that a connection has ended or is no longer used."""
        self._opened.pop(connection, None)
        self._confirmed.discard(connection)

    def leads_to_process(self, connection):
        """Return whether a connection is confirmed to lead to the process."""
        return connection in self._confirmed

    def _next_event(self):
        self._last_event += 1
        return self._last_event
