"""Connections to the other nodes by node id."""

from comfreywharf.transport import PeerClient

__all__ = ["Peers"]


class Peers:
    """Connection pools to other nodes, opened on first use.

    The address of a node may change with its next incarnation; its pool is then
    replaced.
    """

    def __init__(self, follower, stamps):
        self._follower = follower
        self._stamps = stamps
        self._clients = {}

    def client(self, node_id):
        """Return the client for a node, or ``None`` if it isn't a member."""
        member = self._follower.state.members.get(node_id)
        if member is None:
            return None
        client = self._clients.get(node_id)
        if client and (client.host, client.port) == (member.host, member.peer_port):
            return client
        if client:
            client.close()
        client = PeerClient(member.host, member.peer_port, self._stamps)
        self._clients[node_id] = client
        return client
