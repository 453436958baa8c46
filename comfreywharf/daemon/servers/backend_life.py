"""The backend server's life as its heartbeats tell it: begins, lives, leaves."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.servers.draining import tell_draining
from comfreywharf.membership.instances import HeartbeatKind, InstanceTracker

__all__ = ["BackendLife"]

DRAIN_MARGIN_S = 0.6
"""How long before the bound new work ends: what was admitted in the last moment
still has to reach the server."""

RETRY_S = 0.2


class BackendLife:
    """Give the node what heartbeats say, in order and of the living instance.

    ``drain_s`` is how long after its word a leaving server may get new work.
    """

    def __init__(self, node, drain_s):
        self._node = node
        self._drain_s = drain_s
        self._instances = InstanceTracker()
        self._announced = None
        self._verifying = set()

    def heard(self, announcement, sequence, leaving):
        """Take a heartbeat; return whether the living life in use sent it.

        A report of a former life, or one that was overtaken, says nothing of what the
        living one holds, and its answer mustn't grant anything.
        """
        life = announcement.life
        word = self._instances.receive_heartbeat(life, sequence, leaving, boottime_s())
        if word is HeartbeatKind.FIRST:
            self._begin(announcement)
            if leaving:
                word = self._instances.leave(life)
            gevent.spawn(self._verify, announcement, sequence)
        elif word is HeartbeatKind.RIVAL and self._instances.current.started_before(
            life
        ):
            # Nobody need be asked: it began after the living one, under its id.
            self._instances.set_current(life, sequence, boottime_s())
            self._begin(announcement)
            if leaving:
                word = self._instances.leave(life)
        elif word is HeartbeatKind.RIVAL:
            gevent.spawn(self._verify, announcement, sequence)
        elif word is HeartbeatKind.SAME and self._node.backend is None:
            self._node.backend_speaks()
            gevent.spawn(self._verify, announcement, sequence)
        elif word is HeartbeatKind.SAME:
            self._node.backend_announced(self._announced)
        if word is HeartbeatKind.LEAVES:
            self._leave()
        speaks = self._instances.current == life and word is not HeartbeatKind.STALE
        return speaks and self._node.backend is not None

    def leaves(self, life):
        """Take the word of a server that it leaves, or has left."""
        if self._instances.leave(life) is HeartbeatKind.LEAVES:
            self._leave()

    def lost(self):
        """Take note that nothing answers at the server's address any more."""
        self._instances.end()

    def _begin(self, announcement):
        self._announced = announcement
        self._node.backend_announced(announcement)
        gevent.spawn(self._return)

    def _verify(self, announcement, sequence):
        """Ask who is there before a life takes another one's place.

        A life that shares its id with the living one answers like that one; its later
        start is what tells them apart.
        """
        life = announcement.life
        if life in self._verifying:
            return
        self._verifying.add(life)
        try:
            found = self._node.ports.identify(self._node, announcement)
        finally:
            self._verifying.discard(life)
        if life.has_id(found):
            if self._instances.current != life:
                self._instances.set_current(life, sequence, boottime_s())
                self._begin(announcement)
            elif self._node.backend is None and not self._instances.leaving:
                # It was given up since its port refused, and it is there after all.
                self._node.backend_announced(self._announced)
        elif found and self._instances.current == life:
            self._node.backend_lost("another instance answers")

    def _leave(self):
        self._node.backend_leaves(self._instances.current.instance)
        gevent.spawn(self._drain, self._instances.current)

    def _drain(self, life):
        """Have the log say that the server leaves; end its work in time anyway.

        Whether the log can be reached or not, the promise to the server holds:
        after the bound this node gives it nothing more.
        """
        gevent.spawn(self._tell_leaving, life)
        gevent.sleep(self._drain_s - DRAIN_MARGIN_S)
        if self._instances.current == life and self._instances.leaving:
            self._node.close_to_new_work()

    def _tell_leaving(self, life):
        while self._instances.current == life and self._instances.leaving:
            if tell_draining(self._node, True):
                return
            gevent.sleep(RETRY_S)

    def _return(self):
        """Have the log say that a new server takes work where one had left."""
        me = self._node.settings.node_id
        while self._instances.current and not self._instances.leaving:
            member = self._node.follower.state.members.get(me)
            if member is None or not member.draining:
                return
            if tell_draining(self._node, False):
                return
            gevent.sleep(RETRY_S)
