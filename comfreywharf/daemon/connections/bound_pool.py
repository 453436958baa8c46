"""A client whose pooled connections all lead to one process of a backend server."""

from collections import deque

import gevent
from gevent.event import AsyncResult, Event
from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.http import NodelayPool, SingleSendClient
from comfreywharf.ownership.process_tracker import ProcessTracker
from comfreywharf.transport.sockets import not_open_and_idle

__all__ = ["BoundClient"]

REFILL_PAUSE_S = 0.2
"""Pause between refills. A server at its connection limit accepts connections and
resets them. Without a pause, filling a pool of eight took 3,300 attempts within 0.4 s
on one machine, all of them at the overloaded server."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of the probe request. It waits for one of the server's slots, usually for
0.1 s."""


class BoundClient(SingleSendClient):
    """An HTTP client whose requests never reach a later process at the same address.

    Its requests are orders, which grant ranges of keys to the server. A process must
    not execute an order that was meant for an earlier one.

    `connect_to_process` returns the number of the process; `borrow` returns a
    connection to it, and `exchange` sends a request on that connection. Each answer
    confirms that other connections lead to the same process.

    The process can no longer be identified once its last confirmed connection is
    closed. Orders may use up one connection after the other, since at times half of
    them get no answer. The last confirmed connection is therefore reserved for a probe
    request that any process answers, and whose answer confirms new connections;
    ``probe_target()`` returns the request target of this probe, and
    ``probe_answered(response)`` is called with its answer. The last connection
    carries orders only after a refill has shown that the server accepts no other.
    """

    def __init__(self, host, port, *, probe_target, probe_answered, **settings):
        super().__init__(host, port, **settings)
        self._probe_target = probe_target
        self._probe_answered = probe_answered
        self._refilling = None
        self._refill_not_before_s = float("-inf")

    @property
    def pool_type(self):
        """Return the class of the pool, which tracks the process."""
        return _BoundPool

    def connect_to_process(self):
        """Return the number of the process that listens at the address.

        Opens a connection if no process is known. Raises `ConnectionRefusedError` if
        nothing listens, and `OSError` if the connection fails for another reason.
        """
        process = self._pool.connect_to_process()
        if self._wants_refill():
            # The refill is scheduled now even if it is due later: the order that
            # this call serves may wait for it, and no further call may follow.
            wait_s = max(0.0, self._refill_not_before_s - boottime_s())
            self._refilling = gevent.spawn_later(wait_s, self._refill)
        return process

    def borrow(self, process):
        """Return an idle connection to a process, and wait for one if necessary.

        Return ``None`` once the process is no longer known.
        """
        return self._pool.borrow(process)

    def exchange(self, sock, method, target, header_lines, body):
        """Send on a connection and return the answer, which confirms others."""
        request_number = self._pool.tracker.request_sent()

        def confirm_connections():
            self._pool.record_answer(sock, request_number)

        request = (method, target, header_lines, body)
        return super().exchange(sock, *request, answered=confirm_connections)

    @property
    def awaits_answer(self):
        """Return whether an answer is pending on an open connection."""
        return self._pool.in_use > 0

    def _wants_refill(self):
        if self._refilling is not None and not self._refilling.ready():
            return False
        return self._pool.missing or self._pool.tracker.has_unconfirmed

    def _refill(self):
        self._refill_not_before_s = boottime_s() + REFILL_PAUSE_S
        self._pool.refill(self._send_probe)

    def _send_probe(self):
        try:
            with gevent.Timeout(PROBE_TIMEOUT_S):
                sock = self._pool.borrow(self._pool.tracker.process, for_probe=True)
                if sock is not None:
                    answer = self.exchange(sock, "GET", self._probe_target(), "", b"")
                    self._probe_answered(answer)
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            # The next refill sends another probe, or finds that the process is gone.
            return


class _BoundPool(NodelayPool):
    """The connection pool of a `BoundClient`."""

    def __init__(self, *address, **settings):
        super().__init__(*address, **settings)
        self.tracker = ProcessTracker()
        self._idle = deque()
        self._open = set()
        self._opening = 0
        self._first = None
        self._changed = Event()
        self._max_open = self.size

    @property
    def in_use(self):
        """Return how many connections are in use."""
        return len(self._open) - len(self._idle)

    @property
    def missing(self):
        """Return how many connections the pool lacks, without those being opened."""
        if self._closed:
            return 0
        return max(0, self.size - len(self._open) - self._opening)

    def connect_to_process(self):
        """Return the number of the process at the address; see `BoundClient`."""
        self._drop_closed()
        if not self.tracker.process and not self._closed:
            self._open_first()
        return self.tracker.process

    def _open_first(self):
        """Open the first connection; concurrent callers wait for the same one.

        Each request that lacks a grant calls this. When each opened a connection of
        its own, 40 requests had 47 connections open to a server that was to have 8.
        """
        if self._first is not None:
            self._first.get()
            return
        first = self._first = AsyncResult()
        try:
            self._open_one()
            first.set()
        except OSError as error:
            first.set_exception(error)
            if not self.tracker.process:
                raise
        finally:
            self._first = None

    def borrow(self, process, *, for_probe=False):
        """Return an idle connection to a process; see `BoundClient`."""
        while self._leads_to(process):
            sock = self._take_idle(for_probe)
            if sock is not None:
                return sock
            self._changed.wait()
        return None

    def _leads_to(self, process):
        # Closed connections are dropped before the check. Dropped between the check
        # and the wait, they would wake no waiter.
        self._drop_closed()
        return bool(process) and self.tracker.process == process and not self._closed

    def record_answer(self, sock, request_number):
        """Record an answer, and notify waiters that connections may be available.

        ``request_number`` is the tracker's number of the answered request.
        """
        self.tracker.answered(sock, request_number)
        self.notify_waiters()

    def refill(self, send_probe):
        """Open missing connections, and call ``send_probe()`` if any is unconfirmed.

        This also determines how many connections the server accepts. Those that it
        resets are open briefly and don't count; those that were open before and that
        orders lose in the meantime do count.
        """
        before = len(self._open)
        self._max_open = self.size
        self._open_missing()
        if self.tracker.has_unconfirmed:
            send_probe()
        self._drop_closed()
        self._max_open = max(before, len(self._open))
        self.notify_waiters()

    def _open_missing(self):
        opening = [gevent.spawn(self._open_another) for _ in range(self.missing)]
        gevent.joinall(opening)

    def return_socket(self, sock):
        """Return a reusable connection to the pool."""
        if self._closed or sock not in self._open:
            self.release_socket(sock)
            return
        self._idle.append(sock)
        self.notify_waiters()

    def release_socket(self, sock):
        """Close a connection."""
        self._open.discard(sock)
        self.tracker.closed(sock)
        sock.close()
        self.notify_waiters()

    def close(self):
        """Close idle connections now, and those in use once they are returned."""
        super().close()
        self._drop(list(self._idle))
        self.notify_waiters()

    def notify_waiters(self):
        """Wake the greenlets that wait for a connection, so that they check again."""
        self._changed.set()
        self._changed.clear()

    def _take_idle(self, for_probe):
        """Return the confirmed connection that was idle for longest, or ``None``.

        Using them in turn keeps the server from closing any of them for being idle.
        """
        known = [sock for sock in self._idle if self.tracker.leads_to_process(sock)]
        # Orders that get no answer have their connections closed. A waiting order
        # that then took the last confirmed one, and got no answer either, would make
        # the process impossible to identify. The last one is therefore kept to confirm
        # new ones, until a refill has shown that the server accepts no other.
        last_is_kept = self._max_open > 1 and not for_probe
        if not known or (len(known) == 1 and last_is_kept):
            return None
        self._idle.remove(known[0])
        return known[0]

    def _drop_closed(self):
        self._drop(not_open_and_idle(list(self._idle)))

    def _drop(self, socks):
        for sock in socks:
            self._idle.remove(sock)
            self.release_socket(sock)

    def _open_another(self):
        try:
            self._open_one()
        except OSError:
            # The next refill tries again, and `connect_to_process` raises the error to
            # its caller.
            return

    def _open_one(self):
        self._opening += 1
        try:
            sock = self._create_socket()
        finally:
            self._opening -= 1
        if not self.tracker.process:
            # No confirmed connection is left that could confirm older ones. How many
            # connections the new process accepts isn't known yet.
            self._drop(list(self._idle))
            self._max_open = self.size
        self._open.add(sock)
        self.tracker.opened(sock)
        self.return_socket(sock)
