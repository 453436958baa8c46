"""How a backend server is told which keys it holds: one interface for all ways."""

from abc import ABC, abstractmethod

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.records import numbers_in

__all__ = ["BookedGrants", "KeyGrants"]

LOOK_INTERVAL_S = 0.1
ASKED_PAUSE_S = 0.005


class KeyGrants(ABC):
    """Keep the grants of the backend server beside a node up to date."""

    def run(self):
        """Look for what is due until the greenlet is killed."""
        while True:
            gevent.sleep(LOOK_INTERVAL_S)
            self.look()

    @abstractmethod
    def look(self):
        """Do what is due."""

    @abstractmethod
    def ensure(self, right, now_s):
        """Return whether the backend server holds the key of a `Right`."""

    @abstractmethod
    def release(self, service, start, timeout_s):
        """Return the handover of a slice that is given away, or ``None`` so far.

        The release goes on when the time is over; the next call waits for it.
        """

    @abstractmethod
    def take_handover(self, key, handover):
        """Keep what an earlier owner's server handed over for this node's."""

    @abstractmethod
    def held_until_s(self, now_s):
        """Return when the last grant of the backend server ends; ``None``: unknown."""

    @abstractmethod
    def backend_changed(self):
        """Take note of another instance of the backend server."""

    @abstractmethod
    def backend_ended(self):
        """Take note that the backend server is dead, and holds nothing any more."""

    def refused(self, right):
        """Take the server's word that it doesn't hold the key of a `Right`."""
        return

    def answer(self, report):
        """Return the `HoldList` for a heartbeat's `HoldReport`; ``None`` for no list.

        ``report.connection`` is the socket that the heartbeat came on.
        """
        return None


class BookedGrants(KeyGrants):
    """Grants of ranges, each with its own time, that a `HoldBook` follows."""

    def __init__(self, node, book):
        self._node = node
        self.book = book
        self._releases = {}
        self._anew_not_before_s = float("-inf")

    def release(self, service, start, timeout_s):
        """Return the handover of a slice that is given away, or ``None`` so far."""
        pieces = self._node.follower.state.slices.get(service)
        piece = pieces.at_start(start) if pieces else None
        if piece is None:
            return ""
        place = (service, start, piece.end)
        fence = self.book.stop(*place, 2 * piece.epoch, boottime_s())
        if fence is None:
            return ""
        known = self._releases.get(place)
        if known is None or known[0] != fence:
            task = gevent.spawn(self._release, place, fence)
            known = self._releases[place] = (fence, task)
        known[1].join(max(0.0, timeout_s))
        return known[1].value if known[1].successful() else None

    def _release(self, place, fence):
        """Return the handover once the backend server holds a slice no more."""
        handover = self._ask_release(place, fence)
        # A grant without an answer may be carried out behind the release. Were
        # the next owner told before its time is over, two servers would hold
        # the keys.
        left_s = self.book.lost_until_s(*place) - boottime_s()
        if left_s > 0:
            gevent.sleep(left_s)
        return handover

    def _ask_release(self, place, fence):
        numbers = numbers_in(*place[1:])
        while self.book.awaits_answer(*place):
            gevent.sleep(ASKED_PAUSE_S)
        while numbers and self._may_be_held(place, fence):
            handover = self._try_release(place, numbers, fence)
            if handover is not None:
                return handover
        return ""

    @abstractmethod
    def _try_release(self, place, numbers, fence):
        """Return the handover of a range that was released, ``None`` for once more.

        It waits a moment before it returns ``None``.
        """

    def _may_be_held(self, place, fence):
        """Return whether a range may be held under a fence, or one below.

        Granted anew under a higher one, it isn't released: that would take the keys
        from the server which has them by right, be it another life or the same.
        """
        if self.book.granted_above(*place, fence):
            return False
        return boottime_s() < self.book.held_until_s(*place)

    def take_handover(self, key, handover):
        """Keep what an earlier owner's server handed over for this node's."""
        self.book.take_handover((key.service, key.start), handover)

    def held_until_s(self, now_s):
        """Return when the last grant of the backend server ends."""
        return self.book.all_held_until_s(now_s)

    def backend_changed(self):
        """Take note of another instance of the backend server.

        What the book has may be held by it already, and not by the one before: the
        node was told of it later than its orders reached it.
        """
        self._releases.clear()

    def backend_ended(self):
        """Take note that the backend server is dead, and holds nothing any more."""
        self.book.clear()

    def _served(self):
        table, state = self._node.leases.table, self._node.follower.state
        return list(table.serving(state, boottime_s()))

    def _begin_anew(self, reason):
        """Have the lease begin anew, for fences that no earlier process had.

        A frozen server loses one connection after the other. Its node would write a
        new lease down with each, several times a second; ``False`` is returned where
        it has just done so.
        """
        now_s = boottime_s()
        if now_s < self._anew_not_before_s:
            return False
        self._anew_not_before_s = now_s + self.book.terms.lease_s
        self._node.leases.begin_anew(reason)
        return True
