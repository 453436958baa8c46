"""Grants of ranges, each with its own time: the shell around `HoldBook`."""

from abc import ABC, abstractmethod

import gevent
from gevent.pool import Pool

from comfreywharf.clock import boottime_s
from comfreywharf.ownership.holds import GrantAnswer, HoldBook
from comfreywharf.records import numbers_in

__all__ = ["Orders", "RangeGrants"]

PUSH_INTERVAL_S = 0.1
MAX_CONCURRENT = 8
RELEASE_PAUSE_S = 0.05
ASKED_PAUSE_S = 0.005
ENSURE_S = 0.1


class Orders(ABC):
    """What a backend server is ordered about the numbers that it holds."""

    @abstractmethod
    def grant(self, first, last, fence, hold_s, handover):
        """Return the `GrantAnswer` for a grant of the numbers from first to last."""

    @abstractmethod
    def release(self, first, last, fence, timeout_s):
        """Return what the server hands over, or ``None`` without an answer.

        It answers when its work on these numbers has ended.
        """


def _grant(backend, order):
    numbers = numbers_in(order.start, order.end)
    if numbers is None:
        return GrantAnswer.TAKEN
    hold_s = order.hold_s_at(boottime_s())
    if not hold_s:
        return GrantAnswer.REFUSED
    return backend.orders.grant(*numbers, order.fence, hold_s, order.handover)


class RangeGrants:
    """Keep the grants of the backend server beside this node up to date."""

    def __init__(self, node, terms, release_timeout_s):
        self._node = node
        # A process that was killed granted nothing for longer than its lease.
        unknown_s = terms.lease_s * (1 + terms.slow_clock)
        self.book = HoldBook(terms, unknown_until_s=boottime_s() + unknown_s)
        self._met = False
        self._failing = False
        self._release_timeout_s = release_timeout_s
        self._calls = Pool(MAX_CONCURRENT)
        self._releases = {}

    def run(self):
        """Renew the grants until the greenlet is killed."""
        while True:
            gevent.sleep(PUSH_INTERVAL_S)
            self.push()

    def push(self):
        """Send the grants that are due; return the greenlets that do."""
        backend = self._node.backend
        if backend is None:
            return []
        now_s = boottime_s()
        served = self._node.leases.table.serving(self._node.follower.state, now_s)
        orders = self.book.due(served, now_s)
        return [self._calls.spawn(self._send, backend, order) for order in orders]

    def _send(self, backend, order):
        answer = _grant(backend, order)
        if backend is not self._node.backend:
            return
        self.book.answered(order, answer, boottime_s())
        if answer is not GrantAnswer.TAKEN:
            self._tell_failed(backend, order, answer)
        else:
            self._tell_taken(backend, order)
        if answer is GrantAnswer.OUTDATED:
            # The server has seen a higher fence than this node's. A new term of
            # the lease takes its number from the log's end, above all earlier.
            self._node.leases.begin_anew("grant outdated")

    def _tell_failed(self, backend, order, answer):
        self._failing = True
        self._node.report(
            "grant_failed",
            name=backend.announcement.instance,
            start=order.start,
            fence=order.fence,
            why=answer.value,
        )

    def _tell_taken(self, backend, order):
        """Tell of the first grant that is taken after others weren't."""
        if self._failing:
            self._failing = False
            self._node.report(
                "grants_taken_again",
                name=backend.announcement.instance,
                start=order.start,
                fence=order.fence,
            )

    def ensure(self, right, now_s):
        """Have the backend server hold the grant of a `Right` before it is used."""
        if not right.key_hash:
            return
        place = (right.service, right.slice_start)
        if self.book.holds(place, right.fence, now_s):
            return
        gevent.joinall(self.push())
        # Another request may have asked for the grant just before. Sent on at
        # once, this one would be refused for want of it, come back, and wait.
        end_s = now_s + ENSURE_S
        while self.book.is_asked_at(place) and boottime_s() < end_s:
            gevent.sleep(ASKED_PAUSE_S)

    def release(self, service, start, timeout_s):
        """Return the handover of a slice that is given away, or ``None`` so far.

        The release goes on when the time is over; the next call waits for it.
        """
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
        while self.book.is_asked(*place):
            gevent.sleep(ASKED_PAUSE_S)
        while numbers and boottime_s() < self.book.held_until_s(*place):
            backend = self._node.backend
            if backend is not None:
                handover = backend.orders.release(
                    *numbers, fence, self._release_timeout_s
                )
                if handover is not None:
                    return handover
            gevent.sleep(RELEASE_PAUSE_S)
        return ""

    def take_handover(self, key, handover):
        """Keep what an earlier owner's server handed over for this node's."""
        self.book.take_handover((key.service, key.start), handover)

    def held_until_s(self, now_s):
        """Return when the last grant of the backend server ends."""
        return self.book.all_held_until_s(now_s)

    def backend_changed(self):
        """Begin anew with another instance of the backend server.

        The first one that this process meets may have been there before it.
        """
        if self._met:
            self.book.clear()
        self._met = True
        self._releases.clear()
