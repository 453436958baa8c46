"""Grants of ranges that are sent as orders, one for each: a shell around `HoldBook`."""

from abc import ABC, abstractmethod

import gevent
from gevent.pool import Pool

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.owning.key_grants import ASKED_PAUSE_S, BookedGrants
from comfreywharf.ownership.holds import GrantAnswer
from comfreywharf.records import numbers_in

__all__ = ["Orders", "RangeGrants"]

MAX_CONCURRENT = 8
RELEASE_PAUSE_S = 0.05
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


class RangeGrants(BookedGrants):
    """Order the backend server beside this node which ranges it holds."""

    def __init__(self, node, book, release_timeout_s):
        super().__init__(node, book)
        self._process = None
        self._left_fence = -1
        self._failing = False
        self._release_timeout_s = release_timeout_s
        self._calls = Pool(MAX_CONCURRENT)

    def look(self):
        """Send the grants that are due."""
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
        barred = self.book.has_used_fence(fence for _, _, fence, _ in served)
        if barred and self._begin_anew("another process may be there"):
            return []
        return [
            self._calls.spawn(self._send, backend, process, order)
            for order in self.book.due(served, boottime_s())
        ]

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
        while self.book.awaits_answer_at(place) and boottime_s() < end_s:
            gevent.sleep(ASKED_PAUSE_S)
        return self.book.holds(place, right.fence, boottime_s())

    def _try_release(self, place, numbers, fence):
        backend = self._node.backend
        if backend is not None:
            handover = backend.orders.release(*numbers, fence, self._release_timeout_s)
            if handover is not None:
                return handover
        gevent.sleep(RELEASE_PAUSE_S)
        return None
