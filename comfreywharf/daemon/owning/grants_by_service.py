"""Each service's own way of telling its backend servers what they hold."""

from comfreywharf.daemon.owning.key_grants import KeyGrants
from comfreywharf.routes import GrantWay

__all__ = ["GrantsByService"]


class GrantsByService(KeyGrants):
    """Pass each call on to the way that the configuration names for the service.

    All ways keep their word in one book, so that a configuration which changes a
    service's way leaves nothing granted that nobody knows of.
    """

    def __init__(self, node, ways):
        self._node = node
        self._ways = ways
        self._service = ""

    def look(self):
        """Do what is due."""
        self.in_force.look()

    @property
    def in_force(self):
        """Return the `KeyGrants` for the service of the server beside this node."""
        if self._node.backend is not None:
            self._service = self._node.backend.announcement.service
        service = self._node.routes.table.service(self._service)
        return self._ways[service.grant_way if service else GrantWay.ORDERS]

    def ensure(self, right, now_s):
        """Return whether the backend server holds the key of a `Right`."""
        return self.in_force.ensure(right, now_s)

    def release(self, service, start, timeout_s):
        """Return the handover of a slice that is given away, or ``None`` so far."""
        return self.in_force.release(service, start, timeout_s)

    def take_handover(self, key, handover):
        """Keep what an earlier owner's server handed over for this node's."""
        self.in_force.take_handover(key, handover)

    def held_until_s(self, now_s):
        """Return when the last grant of the backend server ends."""
        return self.in_force.held_until_s(now_s)

    def backend_changed(self):
        """Take note of another instance of the backend server."""
        self.in_force.backend_changed()

    def backend_ended(self):
        """Take note that the backend server is dead, and holds nothing any more."""
        self.in_force.backend_ended()

    def refused(self, right):
        """Take the server's word that it doesn't hold the key of a `Right`."""
        self.in_force.refused(right)

    def answer(self, report):
        """Return the `HoldList` for a heartbeat's report; ``None`` for no list."""
        return self.in_force.answer(report)
