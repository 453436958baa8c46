"""Track the backend server's lifecycle from its heartbeats: start, leave, loss."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.servers.draining import record_draining
from comfreywharf.membership.instances import HeartbeatKind, InstanceTracker
from comfreywharf.membership.leaving import LeavingServer

__all__ = ["BackendLifecycle"]

DRAIN_MARGIN_S = 0.6
"""How long before the end of ``drain_s`` the server gets its last new request. A
request that was admitted just before still has to reach the server."""

RETRY_S = 0.2


class BackendLifecycle:
    """Detect the start, the leaving and the replacement of the backend server.

    The node is notified of each. A heartbeat of an earlier incarnation, or one that a
    newer heartbeat has overtaken, changes nothing. ``drain_s`` is for how long a server
    may get new requests after it has reported that it leaves.
    """

    def __init__(self, node, drain_s):
        self._node = node
        self._drain_s = drain_s
        self._instances = InstanceTracker()
        self._announcement = None
        self._verifying = set()

    def receive_heartbeat(self, announcement, sequence, leaving, cold_s=0.0):
        """Process a heartbeat; return whether it is current and its sender is in use.

        The server stays cold for ``cold_s``.

        A heartbeat of an earlier incarnation, or one that a newer heartbeat has
        overtaken, doesn't show which keys the current incarnation holds. The reply to
        it must not grant any.
        """
        incarnation = announcement.incarnation
        now_s = boottime_s()
        cold_until_s = now_s + cold_s
        kind = self._instances.receive_heartbeat(incarnation, sequence, leaving, now_s)
        if kind is HeartbeatKind.FIRST:
            self._start_using(announcement)
            if leaving and not self._instances.leaving:
                kind = self._instances.record_leaving(incarnation, now_s)
            gevent.spawn(self._verify, announcement, sequence, cold_until_s)
        elif kind is HeartbeatKind.RIVAL and self._instances.current.started_before(
            incarnation
        ):
            # No verification is needed: it started after the current incarnation,
            # under the same id.
            self._instances.set_current(incarnation, sequence, boottime_s())
            self._start_using(announcement)
            if leaving and not self._instances.leaving:
                kind = self._instances.record_leaving(incarnation, now_s)
        elif kind is HeartbeatKind.RIVAL:
            gevent.spawn(self._verify, announcement, sequence, cold_until_s)
        elif kind is HeartbeatKind.SAME and self._node.backend is None:
            self._node.record_heartbeat()
            gevent.spawn(self._verify, announcement, sequence, cold_until_s)
        elif kind is HeartbeatKind.SAME:
            self._node.backend_announced(self._announcement)
        if kind is HeartbeatKind.LEAVES:
            self._start_leaving(now_s)
        is_current = (
            self._instances.current == incarnation and kind is not HeartbeatKind.STALE
        )
        if is_current:
            self._record_cold(announcement, cold_until_s)
        return is_current and self._node.backend is not None

    def receive_deregistration(self, incarnation):
        """Process a deregistration: the server leaves, or has left."""
        self.record_leaving(incarnation, boottime_s())

    def record_leaving(self, incarnation, since_s):
        """Record that an incarnation leaves, which was known somewhere ``since_s``."""
        kind = self._instances.record_leaving(incarnation, since_s)
        if kind is HeartbeatKind.LEAVES:
            self._start_leaving(since_s)

    def record_end(self):
        """Record that the current incarnation has ended."""
        self._instances.end_current()

    def _start_using(self, announcement):
        self._announcement = announcement
        self._node.backend_announced(announcement)
        gevent.spawn(self._record_return)
        leaving_since_s = self._instances.take_known_leaving()
        if leaving_since_s is not None:
            self._start_leaving(leaving_since_s)

    def _record_cold(self, announcement, cold_until_s):
        remaining_s = max(0.0, cold_until_s - boottime_s())
        self._node.load.record_cold(announcement.service, remaining_s)

    def _verify(self, announcement, sequence, cold_until_s):
        """Query the instance id at the server's address before replacing another one.

        Incarnations with the same id give the same answer; only the start time
        distinguishes them.
        """
        incarnation = announcement.incarnation
        if incarnation in self._verifying:
            return
        self._verifying.add(incarnation)
        try:
            found = self._node.ports.identify(self._node, announcement)
        finally:
            self._verifying.discard(incarnation)
        if incarnation.has_id(found):
            if self._instances.current != incarnation:
                self._record_cold(announcement, cold_until_s)
                self._instances.set_current(incarnation, sequence, boottime_s())
                self._start_using(announcement)
            elif self._node.backend is None and not self._instances.leaving:
                # It was given up because its port refused connections, but it is
                # still running.
                self._node.backend_announced(self._announcement)
        elif found and self._instances.current == incarnation:
            self._node.backend_lost("another instance answers")

    def _start_leaving(self, since_s):
        """Record in the log that the server leaves, and stop new work in time.

        This node sends the server no new request after ``drain_s``, whether or not the
        log is reachable.
        """
        incarnation = self._instances.current
        self._node.backend_leaves(LeavingServer(incarnation, since_s))
        gevent.spawn(self._append_leaving, incarnation)
        left_s = since_s + self._drain_s - DRAIN_MARGIN_S - boottime_s()
        if left_s <= 0:
            self._node.close_to_new_work()
        else:
            gevent.spawn_later(left_s, self._close_if_leaving, incarnation)

    def _close_if_leaving(self, incarnation):
        if self._instances.current == incarnation and self._instances.leaving:
            self._node.close_to_new_work()

    def _append_leaving(self, incarnation):
        while self._instances.current == incarnation and self._instances.leaving:
            recorded = record_draining(self._node, True)
            if recorded.accepted:
                return
            gevent.sleep(max(RETRY_S, recorded.retry_after_s))

    def _record_return(self):
        """Record in the log that a new server takes work after one that left.

        Repeat this until the log accepts the record, or the node isn't draining.
        """
        node_id = self._node.settings.node_id
        while self._instances.current and not self._instances.leaving:
            member = self._node.follower.state.members.get(node_id)
            if member is None or not member.draining:
                return
            recorded = record_draining(self._node, False)
            if recorded.accepted:
                return
            gevent.sleep(max(RETRY_S, recorded.retry_after_s))
