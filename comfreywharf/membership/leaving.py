"""Backend servers that leave, as a node has heard from the nodes beside them."""

import attrs

from comfreywharf.membership.incarnations import ServerIncarnation

__all__ = ["LeavingServer", "LeavingServers"]

MAX_SERVERS = 4096
"""How many leaving servers are remembered, one for each node that they are beside."""


@attrs.frozen
class LeavingServer:
    """An incarnation of a backend server that leaves, known since a time in seconds."""

    incarnation: ServerIncarnation
    since_s: float


class LeavingServers:
    """What a node remembers of the leaving servers beside other nodes.

    The process beside a leaving server may restart, and then doesn't know what the
    server has said before. The node that has passed such an answer on remembers it for
    as long as that incarnation may be asked, whatever later replies say.

    >>> leaving = LeavingServers()
    >>> leaving.record("n1", LeavingServer(ServerIncarnation("i-1"), 5.0))
    >>> leaving.record("n1", LeavingServer(ServerIncarnation("i-1"), 7.0))
    >>> leaving.beside("n1").since_s
    5.0
    """

    def __init__(self):
        self._by_node = {}

    def record(self, node_id, server):
        """Remember that the server beside a node leaves; the earliest time counts."""
        known = self._by_node.pop(node_id, None)
        if known is not None and known.incarnation == server.incarnation:
            since_s = min(known.since_s, server.since_s)
            server = attrs.evolve(server, since_s=since_s)
        self._by_node[node_id] = server
        if len(self._by_node) > MAX_SERVERS:
            del self._by_node[next(iter(self._by_node))]

    def beside(self, node_id):
        """Return the `LeavingServer` beside a node, or ``None``."""
        return self._by_node.get(node_id)
