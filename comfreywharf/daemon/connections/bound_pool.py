"""Connections to a backend server that are known to lead to one process of it."""

from collections import deque

import gevent
from gevent.event import AsyncResult, Event
from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.http import NodelayPool, SingleSendClient
from comfreywharf.ownership.process_tracker import ProcessTracker

__all__ = ["BoundClient"]

REFILL_PAUSE_S = 0.2
"""A server that is full accepts connections and resets them. Without a pause, eight
that are wanted were 3,300 attempts within 0.4 s on one machine, at the very server
that has no room."""

VOUCH_TIMEOUT_S = 1.0
"""A question waits for one of the server's slots, most often for 0.1 s."""


class BoundClient(SingleSendClient):
    """An HTTP client whose requests reach one process, and never the next at its place.

    `reach` says which process that is; `borrow` gives a connection to it, on which
    `exchange` sends, so that the answer can vouch for others.

    The process is lost from sight with the last known connection, and orders may use
    up one connection after the other: half of them get no answer at times. So the last
    one carries none, but a question that any process answers, with which it vouches
    for new ones; ``question()`` returns its target. Only where a refill has shown that
    the server has room for no other does it carry orders as well.
    """

    def __init__(self, host, port, *, question, **settings):
        super().__init__(host, port, **settings)
        self._question = question
        self._refilling = None
        self._refill_not_before_s = float("-inf")

    @property
    def pool_type(self):
        """Return the pool that follows the process."""
        return _BoundPool

    def reach(self):
        """Return the number of the process at the address, whoever that is.

        Connects where no process is known. Raises `ConnectionRefusedError` where
        nothing listens, `OSError` where no connection comes about.
        """
        process = self._pool.reach()
        if self._wants_refill():
            # Due later, it still has to come without another call: the order that
            # this one is for may wait for it.
            wait_s = max(0.0, self._refill_not_before_s - boottime_s())
            self._refilling = gevent.spawn_later(wait_s, self._refill)
        return process

    def borrow(self, process):
        """Return a connection to a process; ``None`` once that isn't known any more.

        Waits for one that is idle.
        """
        return self._pool.borrow(process)

    def exchange(self, sock, method, target, header_lines, body):
        """Send on a connection and return the answer, which vouches for others."""
        asked = self._pool.bond.asked()

        def vouch():
            self._pool.answered(sock, asked)

        request = (method, target, header_lines, body)
        return super().exchange(sock, *request, answered=vouch)

    @property
    def awaits(self):
        """Return whether an answer is awaited on a connection that is open."""
        return self._pool.in_use > 0

    def _wants_refill(self):
        if self._refilling is not None and not self._refilling.ready():
            return False
        return self._pool.missing or self._pool.bond.has_unconfirmed

    def _refill(self):
        self._refill_not_before_s = boottime_s() + REFILL_PAUSE_S
        self._pool.refill(self._vouch)

    def _vouch(self):
        try:
            with gevent.Timeout(VOUCH_TIMEOUT_S):
                sock = self._pool.borrow(self._pool.bond.process, to_vouch=True)
                if sock is not None:
                    self.exchange(sock, "GET", self._question(), "", b"")
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            # The next refill asks again, or finds that the process is gone.
            return


class _BoundPool(NodelayPool):
    """The connections of a `BoundClient`."""

    def __init__(self, *address, **settings):
        super().__init__(*address, **settings)
        self.bond = ProcessTracker()
        self._idle = deque()
        self._open = set()
        self._opening = 0
        self._first = None
        self._changed = Event()
        self._room = self.size

    @property
    def in_use(self):
        """Return how many connections are lent."""
        return len(self._open) - len(self._idle)

    @property
    def missing(self):
        """Return how many connections are still to be opened."""
        if self._closed:
            return 0
        return max(0, self.size - len(self._open) - self._opening)

    def reach(self):
        """Return the number of the process at the address; see `BoundClient`."""
        self._drop_ended()
        if not self.bond.process and not self._closed:
            self._open_first()
        return self.bond.process

    def _open_first(self):
        """Open a connection to whoever is there; who comes meanwhile waits for it.

        Each request that lacks a grant comes here. With a connection of its own for
        each, 40 of them had 47 open at a server that was to have 8.
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
            if not self.bond.process:
                raise
        finally:
            self._first = None

    def borrow(self, process, *, to_vouch=False):
        """Return an idle connection to a process; see `BoundClient`."""
        while self._leads_to(process):
            sock = self._take_idle(to_vouch)
            if sock is not None:
                return sock
            self._changed.wait()
        return None

    def _leads_to(self, process):
        # What has ended is noticed first: noticed between this look and the wait, it
        # would wake nobody.
        self._drop_ended()
        return bool(process) and self.bond.process == process and not self._closed

    def answered(self, sock, asked):
        """Take note of an answer; who waits may have a connection now."""
        self.bond.answered(sock, asked)
        self.tell()

    def refill(self, vouch):
        """Open what is missing, and call `vouch` if something waits for that.

        This also finds out how many connections the server has room for. Those that
        it resets are open for a moment; those that orders lose meanwhile had room.
        """
        before = len(self._open)
        self._room = self.size
        self._open_missing()
        if self.bond.has_unconfirmed:
            vouch()
        self._drop_ended()
        self._room = max(before, len(self._open))
        self.tell()

    def _open_missing(self):
        opening = [gevent.spawn(self._open_another) for _ in range(self.missing)]
        gevent.joinall(opening)

    def return_socket(self, sock):
        """Take back a connection that may be used again."""
        if self._closed or sock not in self._open:
            self.release_socket(sock)
            return
        self._idle.append(sock)
        self.tell()

    def release_socket(self, sock):
        """Close a connection."""
        self._open.discard(sock)
        self.bond.closed(sock)
        sock.close()
        self.tell()

    def close(self):
        """Close what is idle, now, and what is in use once it is given back."""
        super().close()
        self._drop(list(self._idle))
        self.tell()

    def tell(self):
        """Have those who wait for a connection look again."""
        self._changed.set()
        self._changed.clear()

    def _take_idle(self, to_vouch):
        """Return the known connection that was idle for longest, or ``None``.

        Taken in turn, none of them is closed by the server for being idle.
        """
        known = [sock for sock in self._idle if self.bond.leads_to_process(sock)]
        # An order that waits while others get no answer would take the last one when
        # those are closed, get no answer itself, and put the process out of sight. It
        # goes out on the last one only once a refill has shown that the server has
        # room for no other; until then that one is kept to vouch for new ones.
        last_is_kept = self._room > 1 and not to_vouch
        if not known or (len(known) == 1 and last_is_kept):
            return None
        self._idle.remove(known[0])
        return known[0]

    def _drop_ended(self):
        self._drop([sock for sock in self._idle if not self._is_socket_alive(sock)])

    def _drop(self, socks):
        for sock in socks:
            self._idle.remove(sock)
            self.release_socket(sock)

    def _open_another(self):
        try:
            self._open_one()
        except OSError:
            # The next refill tries again, and `reach` says why it is in vain.
            return

    def _open_one(self):
        self._opening += 1
        try:
            sock = self._create_socket()
        finally:
            self._opening -= 1
        if not self.bond.process:
            # Nothing can vouch for older connections any more. How much room there is
            # for new ones hasn't been seen yet.
            self._drop(list(self._idle))
            self._room = self.size
        self._open.add(sock)
        self.bond.opened(sock)
        self.return_socket(sock)
