"""Thrift between nodes over gevent sockets: a server, and pools of connections.

A connection carries one request at a time. A connection on which an answer may
still arrive is closed and never used again.
"""

from comfreywharf.transport.clients import CallError, PeerClient
from comfreywharf.transport.server import PeerServer
from comfreywharf.transport.sockets import MAX_FRAME_BYTES
from comfreywharf.transport.stamps import Stamps
from comfreywharf.transport.traffic import PeerTraffic

__all__ = [
    "MAX_FRAME_BYTES",
    "CallError",
    "PeerClient",
    "PeerServer",
    "PeerTraffic",
    "Stamps",
]
