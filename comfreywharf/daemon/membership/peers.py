"""Connections to the other nodes by node id."""

from comfreywharf.transport import PeerClient, PeerTraffic

__all__ = ["Peers"]


class Peers:
    """Connection pools to other nodes, opened on first use.

    The address or failure domain of a node may change with its next incarnation; its
    pool is then replaced. ``traffic`` counts the bytes of the calls.
    """

    def __init__(self, follower, stamps, failure_domain):
        self.traffic = PeerTraffic()
        self._follower = follower
        self._stamps = stamps
        self._failure_domain = failure_domain
        self._clients = {}

    def client(self, node_id):
        """Return the client for a node, or ``None`` if it isn't a member."""
        member = self._follower.state.members.get(node_id)
        if member is None:
            return None
        address = (member.host, member.peer_port, member.failure_domain)
        known_address, client = self._clients.get(node_id, (None, None))
        if known_address == address:
            return client
        if client:
            client.close()
        near = member.failure_domain == self._failure_domain
        client = self.client_at(member.host, member.peer_port, near)
        self._clients[node_id] = address, client
        return client

    def client_at(self, host, port, near=False):
        """Return a client for an address, of a node that may not be a member yet."""
        count_bytes = self.traffic.counter(near)
        return PeerClient(host, port, self._stamps, count_bytes)
