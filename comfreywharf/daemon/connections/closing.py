"""Ways to close a connection."""

import socket as std_socket
import struct

from gevent import socket

__all__ = ["reset_on_close", "shut_down"]

NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(sock):
    """Have a connection reset on close, so that a truncated answer isn't accepted.

    An answer to an HTTP/1.0 caller ends where the connection ends. A truncated one
    would look complete if the connection were closed in the usual way.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    except OSError:
        return


def shut_down(sock):
    """Shut a connection down in both directions, even while a greenlet reads it."""
    try:
        sock.shutdown(std_socket.SHUT_RDWR)
    except OSError:
        return
