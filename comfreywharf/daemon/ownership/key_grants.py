"""The interface for granting keys to a backend server, and a base for range grants."""

from abc import ABC, abstractmethod

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.records import numbers_in
from comfreywharf.ticks import sleep_to_tick

__all__ = ["BookedGrants", "KeyGrants"]

REFRESH_INTERVAL_S = 0.1
PENDING_GRANT_POLL_S = 0.005


class KeyGrants(ABC):
    """Keep the grants of a node's backend server up to date."""

    def run(self):
        """Send or prepare due grants until the greenlet is killed."""
        while True:
            sleep_to_tick(REFRESH_INTERVAL_S)
            self.refresh()

    @abstractmethod
    def refresh(self):
        """Send or prepare the grants that are due."""

    @abstractmethod
    def ensure(self, right, now_s):
        """Return whether the backend server holds the key of a `Right`."""

    @abstractmethod
    def release(self, service, start, timeout_s):
        """Return the handover of a slice that moves away, or ``None`` if pending.

        After ``timeout_s`` the release continues in the background, and the next
        call waits for the same release.
        """

    @abstractmethod
    def take_handover(self, key, handover):
        """Store what the previous owner's server handed over."""

    @abstractmethod
    def held_until_s(self, now_s):
        """Return when the backend server's last grant ends; ``None`` if unknown."""

    @abstractmethod
    def backend_changed(self):
        """Handle the announcement of another instance of the backend server."""

    @abstractmethod
    def backend_ended(self):
        """Handle the end of the backend server, which no longer holds any key."""

    def handle_refusal(self, right, sent_s):
        """Record that the server refused the key of a `Right` as not held.

        ``sent_s`` is when the refused request was sent.
        """
        return

    def earlier_process_granted(self, until_s):
        """Register until when grants of an earlier process of this node may last."""
        return

    def answer(self, report):
        """Return the `HoldList` for a heartbeat's `HoldReport`; ``None`` for no list.

        ``report.connection`` is the socket that the heartbeat came on.
        """
        return None


class BookedGrants(KeyGrants):
    """Grants of ranges, each with its own expiry, recorded in a `HoldBook`."""

    def __init__(self, node, book):
        self._node = node
        self.book = book
        self._releases = {}
        self._next_reacquire_s = float("-inf")

    def release(self, service, start, timeout_s):
        """Return the handover of a slice that moves away, or ``None`` if pending."""
        slice_map = self._node.follower.state.slices.get(service)
        slice_ = slice_map.at_start(start) if slice_map else None
        if slice_ is None:
            return ""
        slice_range = (service, start, slice_.end)
        fence = self.book.stop(*slice_range, 2 * slice_.epoch, boottime_s())
        if fence is None:
            return ""
        pending_release = self._releases.get(slice_range)
        if pending_release is None or pending_release[0] != fence:
            task = gevent.spawn(self._release, slice_range, fence)
            pending_release = self._releases[slice_range] = (fence, task)
        pending_release[1].join(max(0.0, timeout_s))
        return pending_release[1].value if pending_release[1].successful() else None

    def _release(self, slice_range, fence):
        """Return the handover once the backend server no longer holds a slice.

        ``slice_range`` is ``(service, start, end)``.
        """
        handover = self._request_release(slice_range, fence)
        # The server may process an unanswered grant after the release. Wait until
        # that grant has expired; otherwise the next owner could start while this
        # server still holds the keys.
        left_s = self.book.lost_until_s(*slice_range) - boottime_s()
        if left_s > 0:
            gevent.sleep(left_s)
        return handover

    def _request_release(self, slice_range, fence):
        numbers = numbers_in(*slice_range[1:])
        while self.book.awaits_answer(*slice_range):
            gevent.sleep(PENDING_GRANT_POLL_S)
        while numbers and self._may_be_held(slice_range, fence):
            handover = self._try_release(slice_range, numbers, fence)
            if handover is not None:
                return handover
        return ""

    @abstractmethod
    def _try_release(self, slice_range, numbers, fence):
        """Return the handover of a released range, or ``None`` to try again.

        Pause before returning ``None``.
        """

    def _may_be_held(self, slice_range, fence):
        """Return whether a range may still be held under ``fence`` or a lower one.

        A range that was granted again under a higher fence isn't released: that would
        take the keys from the server that holds them rightfully, whether it is a newer
        incarnation or the same one.
        """
        if self.book.granted_above(*slice_range, fence):
            return False
        return boottime_s() < self.book.held_until_s(*slice_range)

    def take_handover(self, key, handover):
        """Store what the previous owner's server handed over."""
        self.book.take_handover((key.service, key.start), handover)

    def held_until_s(self, now_s):
        """Return when the last grant of the backend server ends."""
        return self.book.all_held_until_s(now_s)

    def earlier_process_granted(self, until_s):
        """Register until when grants of an earlier process of this node may last."""
        self.book.earlier_process_granted(until_s)

    def backend_changed(self):
        """Handle the announcement of another instance of the backend server.

        The recorded grants are kept, since the new instance rather than the previous
        one may hold them: orders may have reached it before its announcement arrived.
        """
        self._releases.clear()

    def backend_ended(self):
        """Handle the end of the backend server, which no longer holds any key."""
        self.book.clear()

    def _iterate_served(self):
        table, state = self._node.leases.table, self._node.follower.state
        return table.serving(state, boottime_s())

    def _served(self):
        return list(self._iterate_served())

    def _serves_any(self):
        return any(True for _ in self._iterate_served())

    def _reacquire_lease(self, reason):
        """Reacquire the lease, to get fences above those of any earlier process.

        Return ``False`` without doing so if it happened within the last lease
        duration. A frozen server loses its connections one after the other, and its
        node would otherwise record a new lease for each, several times a second.
        """
        now_s = boottime_s()
        if now_s < self._next_reacquire_s:
            return False
        self._next_reacquire_s = now_s + self.book.terms.lease_s
        self._node.leases.reacquire(reason)
        return True
