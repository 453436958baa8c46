"""The peer port: the thrift interface ``Node``, which other nodes call."""

from comfreywharf.daemon.membership.gossip_calls import GossipCalls
from comfreywharf.daemon.ownership.lease_calls import LeaseCalls
from comfreywharf.daemon.requests.forward_calls import ForwardCalls

__all__ = ["PeerHandler"]


class PeerHandler:
    """Dispatch each call of the interface to the object that implements it."""

    def __init__(self, node):
        self._parts = (ForwardCalls(node), LeaseCalls(node), GossipCalls(node))

    def __getattr__(self, name):
        """Return the method that answers a call."""
        for part in self._parts:
            if hasattr(part, name):
                return getattr(part, name)
        raise AttributeError(name)
