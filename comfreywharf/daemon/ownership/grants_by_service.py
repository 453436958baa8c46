"""Select how grants reach the backend server, by its service's configuration."""

from comfreywharf.daemon.ownership.key_grants import KeyGrants
from comfreywharf.routes import GrantWay

__all__ = ["GrantsByService"]


class GrantsByService(KeyGrants):
    """Delegate to the `KeyGrants` that the configuration selects for the service.

    All of them record their grants in the same `HoldBook`, so that earlier grants
    stay recorded when the configuration changes the `GrantWay` of a service.
    """

    def __init__(self, node, implementations):
        self._node = node
        self._implementations = implementations
        self._service = ""

    def refresh(self):
        """Send or prepare the grants that are due."""
        self.active_grants.refresh()

    @property
    def active_grants(self):
        """Return the `KeyGrants` in use for this node's backend server."""
        if self._node.backend is not None:
            self._service = self._node.backend.announcement.service
        service = self._node.routes.table.service(self._service)
        return self._implementations[service.grant_way if service else GrantWay.ORDERS]

    def ensure(self, right, now_s):
        """Return whether the backend server holds the key of a `Right`."""
        return self.active_grants.ensure(right, now_s)

    def release(self, service, start, timeout_s):
        """Return the handover of a slice that moves away, or ``None`` if pending."""
        return self.active_grants.release(service, start, timeout_s)

    def take_handover(self, key, handover):
        """Store what the previous owner's server handed over."""
        self.active_grants.take_handover(key, handover)

    def held_until_s(self, now_s):
        """Return when the last grant of the backend server ends."""
        return self.active_grants.held_until_s(now_s)

    def backend_changed(self):
        """Handle the announcement of another instance of the backend server."""
        self.active_grants.backend_changed()

    def backend_ended(self):
        """Handle the end of the backend server, which no longer holds any key."""
        self.active_grants.backend_ended()

    def handle_refusal(self, right, sent_s):
        """Record that the server refused the key of a `Right` as not held."""
        self.active_grants.handle_refusal(right, sent_s)

    def earlier_process_granted(self, until_s):
        """Register until when grants of an earlier process of this node may last."""
        self.active_grants.earlier_process_granted(until_s)

    def answer(self, report):
        """Return the `HoldList` for a heartbeat's report; ``None`` for no list."""
        return self.active_grants.answer(report)
