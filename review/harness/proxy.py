"""A proxy between consumers and a node, whose link to the node stalls at times."""

import contextlib

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

__all__ = ["StallingProxy"]


class StallingProxy:
    """Pass bytes on in both directions; `stall` holds those of the consumers back."""

    def __init__(self, target):
        self._target = target
        self._open = Event()
        self._open.set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)

    def start(self):
        """Listen."""
        self._server.start()

    @property
    def address(self):
        """Return the address for consumers."""
        return "127.0.0.1", self._server.server_port

    def stop(self):
        """Stop at once."""
        self._server.stop(timeout=0)

    def stall(self, length_s):
        """Hold what consumers send back for a time, then pass it on."""
        self._open.clear()
        gevent.sleep(length_s)
        self._open.set()

    def _serve(self, sock, address):
        with contextlib.suppress(OSError):
            node = socket.create_connection(self._target, 1.0)
            node.settimeout(None)
            with node:
                back = gevent.spawn(_pass_on, node, sock, None)
                _pass_on(sock, node, self._open)
                back.join(10.0)
        sock.close()


def _pass_on(source, target, gate):
    with contextlib.suppress(OSError):
        while data := source.recv(65536):
            if gate is not None:
                gate.wait()
            target.sendall(data)
    with contextlib.suppress(OSError):
        target.shutdown(socket.SHUT_WR)
