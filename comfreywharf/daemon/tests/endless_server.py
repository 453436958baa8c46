"""A server, in a thread of its own, that sends bytes until the connection is closed."""

import contextlib
import socket
import threading
import time

__all__ = ["EndlessServer"]

MAX_SENT_S = 60.0
"""Ends a server whose connection nobody closes."""


class EndlessServer:
    """Accept connections, read a request, and send a start and then a block forever.

    The thread has its own socket, so that the loop under test can't slow it down.
    ``sent_bytes`` counts what all connections have taken, and ``closed`` is set once
    one of them was closed by the client.
    """

    def __init__(self, start, block):
        self._start = start
        self._block = block * max(1, 65536 // len(block))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.sent_bytes = 0
        self.closed = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._listener.close()

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._send(sock)
                sock.close()

    def _send(self, sock):
        try:
            sock.recv(65536)
            sock.sendall(self._start)
            end_s = time.monotonic() + MAX_SENT_S
            while time.monotonic() < end_s:
                self.sent_bytes += sock.send(self._block)
        except OSError:
            self.closed.set()
