"""Fenced grants: tell a backend server that checks them what it may serve."""

import attrs
import orjson
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.owning.key_grants import KeyGrants

__all__ = ["Grants"]

SPARE_S = 0.05
"""A grant that ends sooner is renewed before a request relies on it."""


@attrs.frozen
class _Pushed:
    fence: int
    until_s: float


class Grants(KeyGrants):
    """Keep the grants of the backend server beside this node up to date.

    Each message carries all grants and replaces those before it, so that a lost
    or repeated one does no harm. A grant ends with the lease that it rests on:
    a server that froze and thaws finds it over, whatever lies in its sockets.
    """

    def __init__(self, node):
        self._node = node
        self._pushed = {}
        self._running = None

    def look(self):
        """Renew all grants."""
        if self._wanted():
            self.push()

    def ensure(self, right, now_s):
        """Have the backend server hold the grant of a `Right` before it is used.

        ``True`` also where it didn't answer: it then says by itself whether it has
        the grant.
        """
        if not right.key_hash or not self._wanted():
            return True
        pushed = self._pushed.get((right.service, right.slice_start))
        if pushed and pushed.fence == right.fence and pushed.until_s > now_s + SPARE_S:
            return True
        self.push()
        return True

    def release(self, service, start, timeout_s):
        """Return the handover of a slice that is given away; none is needed here.

        A grant that isn't in the next message is over.
        """
        return ""

    def take_handover(self, key, handover):
        """Do nothing: these backend servers give none."""

    def backend_changed(self):
        """Begin anew with another instance of the backend server."""
        self._pushed = {}

    def backend_ended(self):
        """Do nothing: the next instance's grants replace all that came before."""

    def held_until_s(self, now_s):
        """Return ``None``: when these grants end isn't kept, nor waited for."""
        return None

    def _wanted(self):
        backend = self._node.backend
        return backend is not None and backend.announcement.checks_fences

    def push(self):
        """Send all grants; a second caller waits for the message under way."""
        if self._running is not None:
            self._running.wait()
            return
        self._running = Event()
        try:
            self._send()
        finally:
            running, self._running = self._running, None
            running.set()

    def _send(self):
        node = self._node
        now_s = boottime_s()
        served = list(node.leases.table.serving(node.follower.state, now_s))
        message = [
            {
                "start": piece.start,
                "end": piece.end,
                "fence": fence,
                "expires_monotonic_ms": int(until_s * 1000),
            }
            for _, piece, fence, until_s in served
        ]
        if node.backend.grant(orjson.dumps(message)):
            self._pushed = {
                (service, piece.start): _Pushed(fence, until_s)
                for service, piece, fence, until_s in served
            }
