"""Grants sent as lists in answers to heartbeats; performs the I/O of `HoldLists`."""

from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.key_grants import BookedGrants
from comfreywharf.ownership.hold_lists import HoldList, HoldLists, Serving
from comfreywharf.transport.sockets import is_open_and_idle

__all__ = ["HeartbeatGrants"]

WAIT_FRACTION = 0.65
"""Fraction of the heartbeat interval for which an answer waits for changes.

Keys assigned while no heartbeat is waiting for its answer can't be served until the
next one. Keys that are already held are renewed as often as without the wait."""

MAX_WAIT_S = 0.6
"""Upper bound of that wait. The server drops an answer that comes 1 s after its
heartbeat; the difference allows for delays in a busy node."""

RENEWAL_WAIT_S = 0.06
"""How long an answer waits for a lease renewal. Nearly all witnesses answer within a
few ms. Without the renewal, the hold is shorter by the age of the lease."""

RELEASE_PAUSE_S = 0.1

REFUSAL_GRACE_S = 0.1
"""How long after a list a refusal is ignored. The server may receive a request before
it has read the list that was sent just before."""


class HeartbeatGrants(BookedGrants):
    """Answer the backend server's heartbeats with the list of ranges to hold.

    An answer is delayed for a part of the heartbeat interval (long polling), so that
    changes in that time don't have to wait for the next heartbeat.
    """

    def __init__(self, node, book, interval_s, capacity):
        super().__init__(node, book)
        self.lists = HoldLists(book, capacity)
        self._wait_s = min(WAIT_FRACTION * interval_s, MAX_WAIT_S)
        self._newest_report = None
        self._change = Event()
        self._report_received = Event()
        self._answered_s = float("-inf")
        node.leases.subscribe(self._change.set)

    def refresh(self):
        """Wake an answer that is waiting, so that it checks for changes."""
        self._change.set()

    def answer(self, report):
        """Return the `HoldList` for a report, after waiting for changes.

        Return ``None`` if there is nothing to send, or if a newer report arrived
        while this one was waiting.
        """
        self._newest_report = report
        refused = self.lists.receive(report, boottime_s())
        self._report_received.set()
        self._report_received.clear()
        if refused and not self._node.closed_to_new_work:
            self._handle_refused_ranges(report)
        self._await_change(report)
        if self._newest_report is not report:
            # A newer heartbeat arrived: the server now waits for its answer.
            return None
        if self._node.closed_to_new_work:
            return HoldList(rows=(), hold_s=self.book.terms.shortest_s)
        self._node.leases.renew_now(RENEWAL_WAIT_S)
        return self._make_list(report)

    def _handle_refused_ranges(self, report):
        self._node.report(
            "ranges_refused", name=self._instance(), service=report.service
        )
        self._reacquire_lease("ranges refused")

    def _instance(self):
        backend = self._node.backend
        return backend.announcement.instance if backend else ""

    def _await_change(self, report):
        end_s = report.arrived_s + self._wait_s
        while self._newest_report is report and not self._node.closed_to_new_work:
            left_s = end_s - boottime_s()
            if left_s <= 0 or self._has_changes(report):
                return
            if not is_open_and_idle(report.connection):
                self._check_server()
                return
            self._change.clear()
            self._change.wait(left_s)

    def _has_changes(self, report):
        serving = self._serving()
        return serving is not None and self.lists.has_changes(
            report, serving, boottime_s()
        )

    def _check_server(self):
        """Report the server as refusing if its port refuses connections.

        This is called when the heartbeat's connection has closed, as it does when the
        server crashes. Detecting the crash by missed heartbeats would leave its keys
        without a server for a second longer.
        """
        backend = self._node.backend
        if backend is not None and backend.refuses_connections():
            self._node.backend_refused(backend)

    def _serving(self):
        """Return the slices to hold as a `Serving`, or ``None`` while undetermined.

        Without its lease the node can't determine who owns the keys. A list without
        them would make the server drop keys that it may be granted again shortly after.
        """
        leases, state = self._node.leases, self._node.follower.state
        now_s = boottime_s()
        if not leases.holder.owns(now_s):
            return None
        served = self._served()
        if self.book.has_used_fence(fence for _, _, fence, _ in served):
            self._reacquire_lease("another life of the server")
            return None
        return Serving(
            served=tuple(served),
            pending=tuple(leases.table.pending(state, now_s)),
            lease_until_s=leases.holder.lease.until_s(),
        )

    def _make_list(self, report):
        serving = self._serving()
        if serving is None:
            return None
        self._answered_s = boottime_s()
        return self.lists.decide(report, serving, self._answered_s)

    def ensure(self, right, now_s):
        """Return whether the backend server holds the key of a `Right`.

        If it doesn't, the next list grants it. A request sent before that is refused
        by the server and returns to this node.
        """
        if not right.key_hash:
            return True
        start = right.slice_start
        return self.book.holds_key(
            right.service, right.key_hash, now_s, slice_start=start
        )

    def handle_refusal(self, right, sent_s):
        """Stop sending requests for a key that the server doesn't hold."""
        if right.key_hash and boottime_s() > self._answered_s + REFUSAL_GRACE_S:
            self.book.mark_not_held(right.service, right.key_hash)
            self._change.set()

    def _try_release(self, slice_range, numbers, fence):
        self.lists.release()
        self._change.set()
        self._report_received.wait(RELEASE_PAUSE_S)
        if self._may_be_held(slice_range, fence):
            return None
        return self.lists.pop_handover(*slice_range[1:])

    def backend_changed(self):
        """Handle a new incarnation, which holds none of the earlier one's ranges."""
        super().backend_changed()
        self.lists.server_restarted()
        self.book.process_changed()

    def backend_ended(self):
        """Handle the end of the backend server, which no longer holds any key."""
        super().backend_ended()
        self.lists.server_restarted()
