"""Grants of ranges, sent as one order each and recorded in a `HoldBook`."""

from abc import ABC, abstractmethod

import gevent
from gevent.pool import Pool

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.key_grants import PENDING_GRANT_POLL_S, BookedGrants
from comfreywharf.ownership.holds import GrantAnswer
from comfreywharf.records import numbers_in

__all__ = ["Orders", "RangeGrants"]

MAX_CONCURRENT = 8
RELEASE_PAUSE_S = 0.05
ENSURE_TIMEOUT_S = 0.1
REFUSED_RETRY_S = 0.01
"""Pause before a refused connection is tried again. The connections of a crashed
process close at once, and a busy event loop notices it within some milliseconds."""


class Orders(ABC):
    """The orders to a backend server that grant and release hash numbers."""

    @abstractmethod
    def connect_to_process(self):
        """Return the number of the server process that a grant would reach now.

        Raises `ConnectionRefusedError` if nothing listens on the port, and `OSError`
        if the process can't be determined.
        """

    @abstractmethod
    def grant(self, process, numbers, order):
        """Send a `GrantOrder` on ``numbers``, first and last; return a `GrantAnswer`.

        The order reaches only the process with the given number. The duration of the
        hold is computed when the order is sent, see `GrantOrder.hold_s_at`.
        """

    @abstractmethod
    def release(self, first, last, fence, timeout_s):
        """Release numbers; return the handover, or ``None`` without an answer.

        The server answers once its work on these numbers has ended.
        """


def _grant(backend, process, order):
    numbers = numbers_in(order.start, order.end)
    if numbers is None:
        return GrantAnswer.TAKEN
    return backend.orders.grant(process, numbers, order)


class RangeGrants(BookedGrants):
    """Grant ranges to this node's backend server by sending it orders."""

    def __init__(self, node, book, release_timeout_s):
        super().__init__(node, book)
        self._process = None
        self._superseded_fence = -1
        self._failing = False
        self._release_timeout_s = release_timeout_s
        self._calls = Pool(MAX_CONCURRENT)

    def refresh(self):
        """Send the grants that are due."""
        self.push()

    def push(self):
        """Send the grants that are due; return the greenlets that send them."""
        backend = self._node.backend
        if backend is None or not self._serves_any():
            return []
        process = self._connect_to_process(backend)
        if not process or backend is not self._node.backend:
            return []
        self._track_process(backend, process)
        served = self._served()
        fence_used = self.book.has_used_fence(fence for _, _, fence, _ in served)
        if fence_used and self._reacquire_lease("another process may be there"):
            return []
        return [
            self._calls.spawn(self._send, backend, process, order)
            for order in self.book.due_orders(served, boottime_s())
        ]

    def _connect_to_process(self, backend):
        """Return the number of the process that grants would reach, or zero.

        A refused connection shows at once that the server has crashed. Detecting the
        crash by missed heartbeats would leave its keys without a server for two
        seconds longer. The connection is tried twice, since a starting server may
        send a heartbeat before it listens.
        """
        for _ in range(2):
            try:
                return backend.orders.connect_to_process()
            except ConnectionRefusedError:
                gevent.sleep(REFUSED_RETRY_S)
            except OSError:
                # The process can't be determined now: the next push tries again.
                return 0
        self._node.backend_refused(backend)
        return 0

    def _track_process(self, backend, process):
        connected = (backend, process)
        if self._process not in (None, connected):
            self.book.process_changed()
            self._node.report("grants_begin_anew", name=backend.announcement.instance)
        self._process = connected

    def _send(self, backend, process, order):
        answer = GrantAnswer.LOST
        try:
            answer = _grant(backend, process, order)
        finally:
            # Recorded even if the server has been replaced in the meantime, since a
            # release of the range waits for the answers to all its grants.
            self.book.answered(order, answer, boottime_s())
        if backend is self._node.backend:
            self._report_answer(backend, order, answer)

    def _report_answer(self, backend, order, answer):
        if answer is not GrantAnswer.TAKEN:
            self._report_failure(backend, order, answer)
        else:
            self._report_recovery(backend, order)
        if answer is GrantAnswer.OUTDATED and not self._is_superseded(order):
            # The server has received a higher fence than this one. A reacquired lease
            # takes its epoch from the end of the log, above all earlier ones.
            self._superseded_fence = self.book.highest_fence
            self._node.leases.reacquire("grant outdated")

    def _is_superseded(self, order):
        """Return whether the order's fence has been superseded by a higher one.

        The refusal then says nothing about the higher fence. Reacquiring the lease
        because of it would interrupt keys that are served under the newer lease.
        """
        service, start = order.slice_id
        served = (
            fence
            for name, slice_, fence, _ in self._served()
            if name == service and slice_.start < order.end and start < slice_.end
        )
        return (
            order.fence <= self._superseded_fence
            or any(fence > order.fence for fence in served)
            or self.book.granted_above(service, start, order.end, order.fence)
        )

    def _report_failure(self, backend, order, answer):
        self._failing = True
        self._node.report(
            "grant_failed",
            name=backend.announcement.instance,
            start=order.start,
            fence=order.fence,
            why=answer.value,
        )

    def _report_recovery(self, backend, order):
        """Report the first accepted grant after failed ones."""
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

        Wait up to `ENSURE_TIMEOUT_S` for a grant that is due or in flight. The server
        refuses a request that arrives before its grant, and the request is sent again:
        with half of the grants unanswered, the server gets each request twice.
        """
        if not right.key_hash:
            return True
        slice_id = (right.service, right.slice_start)
        if self.book.holds_for_typical_work(slice_id, right.fence, now_s):
            return True
        self.push()
        end_s = now_s + ENSURE_TIMEOUT_S
        while self.book.awaits_answer_at(slice_id) and boottime_s() < end_s:
            gevent.sleep(PENDING_GRANT_POLL_S)
        return self.book.holds(slice_id, right.fence, boottime_s())

    def handle_refusal(self, right, sent_s):
        """Grant a range again before further requests for it are sent."""
        backend = self._node.backend
        if not right.key_hash or backend is None:
            return
        slice_id = (right.service, right.slice_start)
        if self.book.request_refused(slice_id, right.fence, sent_s, boottime_s()):
            self._node.report(
                "grant_failed",
                name=backend.announcement.instance,
                start=right.slice_start,
                fence=right.fence,
                why="request refused",
            )
            self.push()

    def _try_release(self, slice_range, numbers, fence):
        backend = self._node.backend
        if backend is not None:
            handover = backend.orders.release(*numbers, fence, self._release_timeout_s)
            if handover is not None:
                return handover
        gevent.sleep(RELEASE_PAUSE_S)
        return None
