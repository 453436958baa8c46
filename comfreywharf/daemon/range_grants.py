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
REFUSED_PAUSE_S = 0.01
"""A process that crashes ends its connections at once; a loop that is busy learns of it
within some milliseconds."""


class Orders(ABC):
    """What a backend server is ordered about the numbers that it holds."""

    @abstractmethod
    def reach(self):
        """Return the number of the server's process that a grant would reach now.

        Raises `ConnectionRefusedError` where nothing listens, `OSError` where it
        can't be told.
        """

    @abstractmethod
    def grant(self, process, numbers, order):
        """Return the `GrantAnswer` to a `GrantOrder` on ``numbers``, first and last.

        It reaches no other process than the one of that number, and asks for a hold
        that fits when it is sent, see `GrantOrder.hold_s_at`.
        """

    @abstractmethod
    def release(self, first, last, fence, timeout_s):
        """Return what the server hands over, or ``None`` without an answer.

        It answers when its work on these numbers has ended.
        """


def _grant(backend, process, order):
    numbers = numbers_in(order.start, order.end)
    if numbers is None:
        return GrantAnswer.TAKEN
    return backend.orders.grant(process, numbers, order)


class RangeGrants:
    """Keep the grants of the backend server beside this node up to date."""

    def __init__(self, node, terms, release_timeout_s):
        self._node = node
        # A process that was killed granted nothing for longer than its lease.
        unknown_s = terms.lease_s * (1 + terms.slow_clock)
        self.book = HoldBook(terms, unknown_until_s=boottime_s() + unknown_s)
        self._process = None
        self._anew_not_before_s = float("-inf")
        self._left_fence = -1
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
        if backend is None or not self._served():
            return []
        process = self._reach(backend)
        if not process or backend is not self._node.backend:
            return []
        self._meet(backend, process)
        served = self._served()
        barred = self.book.bars(fence for _, _, fence, _ in served)
        if barred and self._begin_anew():
            return []
        return [
            self._calls.spawn(self._send, backend, process, order)
            for order in self.book.due(served, boottime_s())
        ]

    def _served(self):
        table, state = self._node.leases.table, self._node.follower.state
        return list(table.serving(state, boottime_s()))

    def _reach(self, backend):
        """Return the number of the process that grants would reach, or zero.

        A refused connection shows at once that the server is dead. Waited for until
        its heartbeats are missed, its keys would be dark for two seconds more. It is
        looked at twice, since a server that begins may speak before it listens.
        """
        for _ in range(2):
            try:
                return backend.orders.reach()
            except ConnectionRefusedError:
                gevent.sleep(REFUSED_PAUSE_S)
            except OSError:
                # Neither dead nor alive: the next push asks again.
                return 0
        self._node.backend_refused(backend)
        return 0

    def _meet(self, backend, process):
        met = (backend, process)
        if self._process not in (None, met):
            self.book.process_changed()
            self._node.report("grants_begin_anew", name=backend.announcement.instance)
        self._process = met

    def _begin_anew(self):
        """Have the lease begin anew, for fences that no earlier process had.

        A frozen server loses one connection after the other. Its node would write a
        new lease down with each, several times a second; ``False`` is returned where
        it has just done so.
        """
        now_s = boottime_s()
        if now_s < self._anew_not_before_s:
            return False
        self._anew_not_before_s = now_s + self.book.terms.lease_s
        self._node.leases.begin_anew("another process may be there")
        return True

    def _send(self, backend, process, order):
        answer = GrantAnswer.LOST
        try:
            answer = _grant(backend, process, order)
        finally:
            # Also for a server that was replaced meanwhile: a release of the range
            # waits for the answers of all its grants.
            self.book.answered(order, answer, boottime_s())
        if backend is self._node.backend:
            self._tell(backend, order, answer)

    def _tell(self, backend, order, answer):
        if answer is not GrantAnswer.TAKEN:
            self._tell_failed(backend, order, answer)
        else:
            self._tell_taken(backend, order)
        if answer is GrantAnswer.OUTDATED and not self._is_past(order):
            # The server has seen a higher fence than this node's. A new term of
            # the lease takes its number from the log's end, above all earlier.
            self._left_fence = self.book.highest_fence
            self._node.leases.begin_anew("grant outdated")

    def _is_past(self, order):
        """Return whether an order's fence was left for a higher one already.

        Its refusal says nothing of that one. Were the lease to begin anew for it, keys
        would be dark again that have just been served under a new lease.
        """
        service, start = order.place
        served = (
            fence
            for name, piece, fence, _ in self._served()
            if name == service and piece.start < order.end and start < piece.end
        )
        return (
            order.fence <= self._left_fence
            or any(fence > order.fence for fence in served)
            or self.book.granted_above(service, start, order.end, order.fence)
        )

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
        """Return whether the backend server holds the grant of a `Right`.

        One that is due is waited for a moment. A request that is sent without it is
        refused by the server, comes back, and is sent again: while half of a server's
        grants went without an answer, it was asked twice for each request.
        """
        if not right.key_hash:
            return True
        place = (right.service, right.slice_start)
        if self.book.holds(place, right.fence, now_s):
            return True
        self.push()
        end_s = now_s + ENSURE_S
        while self.book.is_asked_at(place) and boottime_s() < end_s:
            gevent.sleep(ASKED_PAUSE_S)
        return self.book.holds(place, right.fence, boottime_s())

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
        while numbers and self._may_be_held(place, fence):
            backend = self._node.backend
            if backend is not None:
                handover = backend.orders.release(
                    *numbers, fence, self._release_timeout_s
                )
                if handover is not None:
                    return handover
            gevent.sleep(RELEASE_PAUSE_S)
        return ""

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
