"""Run a module, and on SIGUSR1 write a list of its TCP connections with counters.

``python -m comfreywharf_dev.bench.socket_audit OUTPUT MODULE [ARGUMENTS]``
"""

import gc
import os
import runpy
import signal
import struct
import sys

import attrs
import gevent
import orjson
from gevent import socket

__all__ = ["Connection", "established_connections", "write_audit"]

TCP_INFO_BYTES = 256
COUNTERS_OFFSET = 120
"""Offset in bytes of ``tcpi_bytes_acked`` in Linux's ``struct tcp_info``."""

_COUNTERS = struct.Struct("=QQII")
"""Acknowledged and received bytes, then sent and received segments."""


@attrs.frozen(kw_only=True)
class Connection:
    """One end of an established TCP connection.

    Bytes are payload without headers. Segments are counted by the kernel in both
    directions, including acknowledgements.
    """

    local: str
    peer: str
    nodelay: bool
    sent_bytes: int
    received_bytes: int
    segments: int


def established_connections():
    """Return the established TCP connections of this process."""
    found = (
        _describe(candidate) for candidate in gc.get_objects() if _is_socket(candidate)
    )
    return [connection for connection in found if connection is not None]


def _is_socket(candidate):
    return type(candidate) is socket.socket


def _describe(sock):
    try:
        local, peer = sock.getsockname(), sock.getpeername()
        nodelay = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        # A listening socket, or a connection that has just been closed.
        return None
    sent_bytes, received_bytes, *segments = _COUNTERS.unpack_from(info, COUNTERS_OFFSET)
    return Connection(
        local=f"{local[0]}:{local[1]}",
        peer=f"{peer[0]}:{peer[1]}",
        nodelay=bool(nodelay),
        sent_bytes=sent_bytes,
        received_bytes=received_bytes,
        segments=sum(segments),
    )


def write_audit(path):
    """Write the connections as JSON, atomically."""
    document = [attrs.asdict(connection) for connection in established_connections()]
    with open(f"{path}.part", "wb") as file:
        file.write(orjson.dumps(document))
    os.replace(f"{path}.part", path)


def main():
    """Run the module given on the command line."""
    _, path, module, *arguments = sys.argv
    gevent.signal_handler(signal.SIGUSR1, write_audit, path)
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
