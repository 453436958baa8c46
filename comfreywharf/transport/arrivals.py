"""Tell how long received data has lain in a socket."""

import struct

from gevent import socket

__all__ = ["unread_s"]

_INFO_BYTES = 104
_LAST_DATA_RECEIVED_AT = 52
"""The offset of ``tcpi_last_data_recv`` in ``struct tcp_info``, in bytes."""

_LAST_DATA_RECEIVED_MS = struct.Struct("=I")


def unread_s(sock):
    """Return how long ago the last data of a connection was received, in seconds.

    Called when a request has been read, this is how long the request waited for that.
    It is never longer than that: newer data on the connection shortens it. A
    connection that is closed here gives 0.0. Source: tcp(7), ``TCP_INFO``.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        return 0.0
    (elapsed_ms,) = _LAST_DATA_RECEIVED_MS.unpack_from(info, _LAST_DATA_RECEIVED_AT)
    return elapsed_ms / 1000
