"""The peer port: the thrift interface ``Node``, which other nodes call."""

from comfreywharf.daemon.membership.gossip_calls import GossipCalls
from comfreywharf.daemon.ownership.lease_calls import LeaseCalls
from comfreywharf.daemon.requests.forward_calls import ForwardCalls

__all__ = ["PeerHandler"]


class PeerHandler:
    """Dispatch each call of the interface to the object that implements it."""

    def __init__(self, node):
        self._handlers = (ForwardCalls(node), LeaseCalls(node), GossipCalls(node))

    def __getattr__(self, name):
        """Return the method that answers a call."""
        for handler in self._handlers:
            if hasattr(handler, name):
                return getattr(handler, name)
        raise AttributeError(name)
