"""Receive log records and routes from a relay node instead of reading the log."""

from comfreywharf.clock import boottime_s
from comfreywharf.membership.relays import Relays
from comfreywharf.routes import max_relayed_age_s
from comfreywharf.transport import CallError

__all__ = ["RelayClient"]

LONG_POLL_S = 0.5
"""How long a relay holds a request while it has no news. The loss of a relay is
noticed by the end of this time."""

MAX_AGE_MARGIN_S = 0.5
"""Added to the wait of a log read. The sum is the maximum age of the records at a
relay that reads the log itself."""


class RelayClient:
    """Poll the relay that `Relays` chooses, and report each relay that is avoided."""

    def __init__(self, node, read_wait_s):
        self._node = node
        self._relays = Relays(
            node.settings.node_id,
            node.settings.failure_domain,
            max_age_s=read_wait_s + MAX_AGE_MARGIN_S,
            max_routes_age_s=max_relayed_age_s(node.ports.routes_apply_s),
        )

    def poll(self):
        """Poll a relay once; return whether its records and routes are fresh.

        Otherwise the caller reads the log before another relay is polled: the
        time-outs of two relays in a row would use up the time that a change may take.
        """
        relay_id = self._relays.choose(self._domains(), boottime_s())
        return bool(relay_id) and self._poll_relay(relay_id)

    def _poll_relay(self, relay_id):
        client = self._node.peers.client(relay_id)
        if client is None:
            return self._avoid(relay_id, "no address")
        try:
            age = self._node.gossip.long_poll(client, LONG_POLL_S)
        except CallError as error:
            return self._avoid(relay_id, str(error))
        if age is None:
            return self._avoid(relay_id, "lacks records")
        if not self._relays.is_fresh(self._domains(), relay_id, age):
            ages = f"records {age.records_s:.3f} s old, routes {age.routes_s:.3f} s"
            return self._avoid(relay_id, ages)
        return True

    def _domains(self):
        members = self._node.follower.state.members
        return {node_id: member.failure_domain for node_id, member in members.items()}

    def _avoid(self, relay_id, why):
        self._relays.record_failure(relay_id, boottime_s())
        self._node.report("relay_avoided", relay=relay_id, why=why)
        return False
