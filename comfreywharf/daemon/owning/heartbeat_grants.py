"""Grants as lists in answers to heartbeats: the shell around `HoldLists`."""

from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.owning.key_grants import BookedGrants
from comfreywharf.ownership.hold_lists import HoldList, HoldLists, Serving
from comfreywharf.transport.sockets import is_quiet

__all__ = ["HeartbeatGrants"]

WAIT_PART = 0.65
"""The part of the interval between heartbeats for which an answer waits for news.

Keys that come while no heartbeat waits for its answer are dark until the next one. What
is held already is renewed as often as without the wait."""

LONGEST_WAIT_S = 0.6
"""An answer that comes a second late doesn't count, and the node may be busy."""

RENEWAL_WAIT_S = 0.06
"""How long an answer waits for the witnesses. Nearly all answer within a few ms, and
without them the hold is shorter by the lease's age."""

RELEASE_PAUSE_S = 0.1

SETTLING_S = 0.1
"""A server may get a request before it has read the list that was sent just before."""


class HeartbeatGrants(BookedGrants):
    """Answer the heartbeats of the backend server with what it is to hold.

    An answer waits for news for a part of the interval, so that keys which come or go
    meanwhile needn't wait for the next heartbeat.
    """

    def __init__(self, node, book, interval_s, room):
        super().__init__(node, book)
        self.lists = HoldLists(book, room)
        self._wait_s = min(WAIT_PART * interval_s, LONGEST_WAIT_S)
        self._newest = None
        self._news = Event()
        self._heard = Event()
        self._answered_s = float("-inf")
        node.leases.subscribe(self._news.set)

    def look(self):
        """Have an answer that waits look round."""
        self._news.set()

    def answer(self, report):
        """Return the `HoldList` for a report, after a wait for news."""
        self._newest = report
        refused = self.lists.hear(report, boottime_s())
        self._heard.set()
        self._heard.clear()
        if refused and not self._node.closed_to_new_work:
            self._leave_refused_fences(report)
        self._await_news(report)
        if self._newest is not report:
            # The server has asked again meanwhile: it waits for that answer.
            return None
        if self._node.closed_to_new_work:
            return HoldList(rows=(), hold_s=self.book.terms.shortest_s)
        self._node.leases.renew_now(RENEWAL_WAIT_S)
        return self._decide(report)

    def _leave_refused_fences(self, report):
        self._node.report(
            "ranges_refused", name=self._instance(), service=report.service
        )
        self._begin_anew("ranges refused")

    def _instance(self):
        backend = self._node.backend
        return backend.announcement.instance if backend else ""

    def _await_news(self, report):
        end_s = report.arrived_s + self._wait_s
        while self._newest is report and not self._node.closed_to_new_work:
            left_s = end_s - boottime_s()
            if left_s <= 0 or self._has_news(report):
                return
            if not is_quiet(report.connection):
                self._look_at_server()
                return
            self._news.clear()
            self._news.wait(left_s)

    def _has_news(self, report):
        serving = self._serving()
        return serving is not None and self.lists.has_news(
            report, serving, boottime_s()
        )

    def _look_at_server(self):
        """Give a server up whose connection has ended and whose port refuses.

        A process that crashes ends its connections. Waited for until its heartbeats are
        missed, its keys would be dark for a second more.
        """
        backend = self._node.backend
        if backend is not None and backend.refuses_connections():
            self._node.backend_refused(backend)

    def _serving(self):
        """Return the `Serving` of now, or ``None`` while nothing can be told.

        Without its lease the node doesn't know who has the keys. A list that leaves
        them out would have the server drop what it may get again in a moment.
        """
        leases, state = self._node.leases, self._node.follower.state
        now_s = boottime_s()
        if not leases.holder.owns(now_s):
            return None
        served = self._served()
        if self.book.bars(fence for _, _, fence, _ in served):
            self._begin_anew("another life of the server")
            return None
        return Serving(
            served=tuple(served),
            pending=tuple(leases.table.pending(state, now_s)),
            lease_until_s=leases.holder.lease.until_s(),
        )

    def _decide(self, report):
        serving = self._serving()
        if serving is None:
            return None
        self._answered_s = boottime_s()
        return self.lists.decide(report, serving, self._answered_s)

    def ensure(self, right, now_s):
        """Return whether the backend server holds the key of a `Right`.

        Where it doesn't, the next list grants it; a request that is sent before is
        refused by the server and comes back.
        """
        if not right.key_hash:
            return True
        place = right.slice_start
        return self.book.has(right.service, right.key_hash, now_s, near=place)

    def refused(self, right):
        """Send no further request for a key that the server says it doesn't hold."""
        if right.key_hash and boottime_s() > self._answered_s + SETTLING_S:
            self.book.doubt(right.service, right.key_hash)
            self._news.set()

    def _try_release(self, place, numbers, fence):
        self.lists.release()
        self._news.set()
        self._heard.wait(RELEASE_PAUSE_S)
        if self._may_be_held(place, fence):
            return None
        return self.lists.take_out_handover(*place[1:])

    def backend_changed(self):
        """Take note of another life, which holds nothing of the one before."""
        super().backend_changed()
        self.lists.forget()
        self.book.process_changed()

    def backend_ended(self):
        """Take note that the backend server is dead, and holds nothing any more."""
        super().backend_ended()
        self.lists.forget()
