"""Fenced grants, for backend servers that check the fence themselves."""

import attrs
import orjson
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.key_grants import KeyGrants
from comfreywharf.ownership.holds import NOTHING_HELD_S

__all__ = ["FencedGrants"]

MIN_REMAINING_S = 0.05
"""A grant with less time left is renewed before a request relies on it."""


@attrs.frozen
class _Pushed:
    fence: int
    until_s: float


class FencedGrants(KeyGrants):
    """Keep the grants of this node's backend server up to date.

    Each message carries all grants and replaces the previous ones, so that a
    lost or repeated message does no harm. A grant expires with the lease it is
    based on: a server that was frozen and resumes finds its grants expired,
    whatever is still buffered in its sockets.
    """

    def __init__(self, node):
        self._node = node
        self._pushed = {}
        self._push_done = None
        self._sent_any = False
        self._accepted_until_s = NOTHING_HELD_S
        self._unanswered_until_s = NOTHING_HELD_S
        self._earlier_until_s = NOTHING_HELD_S

    def refresh(self):
        """Renew all grants."""
        if self._checks_fences():
            self.push()

    def ensure(self, right, now_s):
        """Send the grants if the one for a `Right` is missing or about to expire.

        Return ``True`` even if the backend server didn't answer, since the server
        itself then reports whether it has the grant.
        """
        if not right.key_hash or not self._checks_fences():
            return True
        pushed = self._pushed.get((right.service, right.slice_start))
        if (
            pushed
            and pushed.fence == right.fence
            and pushed.until_s > now_s + MIN_REMAINING_S
        ):
            return True
        self.push()
        return True

    def release(self, service, start, timeout_s):
        """Return an empty handover for a slice that moves away; ``None`` if pending.

        Nothing has to be released: a grant that is missing from the next message
        ends with it. Until this process has sent one, the server may hold the slice
        by a grant of the process before, and work that it forwarded may take effect.
        """
        if self._checks_fences() and boottime_s() < self._earlier_until_s:
            self.push()
            if boottime_s() < self._earlier_until_s:
                return None
        return ""

    def earlier_process_granted(self, until_s):
        """Register until when grants of an earlier process of this node may last."""
        self._earlier_until_s = until_s

    def take_handover(self, key, handover):
        """Do nothing: these backend servers hand nothing over."""

    def backend_changed(self):
        """Discard the grants sent to the previous instance of the server."""
        self._pushed = {}

    def backend_ended(self):
        """Handle the end of the backend server, which no longer holds any key."""
        self._accepted_until_s = self._unanswered_until_s = NOTHING_HELD_S
        self._earlier_until_s = NOTHING_HELD_S

    def held_until_s(self, now_s):
        """Return when the last grant ends that the backend server may have.

        Return ``None`` if no grant was sent, as to a server that checks no fences.
        """
        if not self._sent_any:
            return None
        sent_until_s = max(self._accepted_until_s, self._unanswered_until_s)
        return max(sent_until_s, self._earlier_until_s, now_s)

    def _checks_fences(self):
        backend = self._node.backend
        return backend is not None and backend.announcement.checks_fences

    def push(self):
        """Send all grants; a concurrent caller waits for the message in flight."""
        if self._push_done is not None:
            self._push_done.wait()
            return
        self._push_done = Event()
        try:
            self._send()
        finally:
            running, self._push_done = self._push_done, None
            running.set()

    def _send(self):
        node = self._node
        now_s = boottime_s()
        served = list(node.leases.table.serving(node.follower.state, now_s))
        message = [
            {
                "start": slice_.start,
                "end": slice_.end,
                "fence": fence,
                "expires_monotonic_ms": int(until_s * 1000),
            }
            for _, slice_, fence, until_s in served
        ]
        self._sent_any = True
        sent_until_s = max((s[3] for s in served), default=NOTHING_HELD_S)
        # Until it is answered it may reach the server, also after later ones.
        unanswered_until_s = self._unanswered_until_s
        self._unanswered_until_s = max(unanswered_until_s, sent_until_s)
        if node.backend.grant(orjson.dumps(message)):
            self._unanswered_until_s = unanswered_until_s
            self._accepted_until_s = sent_until_s
            self._earlier_until_s = NOTHING_HELD_S
            self._pushed = {
                (service, slice_.start): _Pushed(fence, until_s)
                for service, slice_, fence, until_s in served
            }
