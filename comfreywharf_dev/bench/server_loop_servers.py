"""Servers that send a short answer with less and less work, for `server_loop`."""

from cyclopts import App
from gevent import pywsgi
from gevent.event import Event
from gevent.server import StreamServer

from comfreywharf.routing import Outcome
from comfreywharf.transport import PeerServer, sockets
from comfreywharf.transport.gen.ttypes import ForwardReply
from comfreywharf_dev.bench.plain_server import ANSWER, PlainHandler, answer

__all__ = ["BatchingTransport", "DictHeadersHandler", "serve"]

RECEIVE_BYTES = 64 * 1024


class DictHeaders:
    """Request headers in a dictionary instead of an e-mail message."""

    def __init__(self, rfile):
        self.headers = []
        self.status = ""
        self._values = {}
        while (line := rfile.readline(65_537)) not in (b"\r\n", b"\n", b""):
            text = line.decode("latin-1")
            self.headers.append(text)
            name, _, value = text.partition(":")
            self._values[name.lower()] = value.strip()
        self.typeheader = self._values.get("content-type")

    def get(self, name, default=None):
        """Return a header's value, or the default if the header is missing."""
        return self._values.get(name.lower(), default)

    getheader = get


class DictHeadersHandler(PlainHandler):
    """An experimental WSGI handler that doesn't use the e-mail parser."""

    @staticmethod
    def MessageClass(rfile, seekable):  # noqa: N802 - pywsgi's name
        """Return the headers of a request."""
        return DictHeaders(rfile)


class BatchingTransport(sockets.SocketTransport):
    """An experimental transport that sends buffered answers before it waits to read."""

    def __init__(self, sock):
        super().__init__(sock)
        self._unsent = []

    def write(self, data):
        """Buffer bytes until the next read that has to wait."""
        self._unsent.append(data)

    def _receive(self):
        if self._unsent:
            data, self._unsent = b"".join(self._unsent), []
            super().write(data)
        return super()._receive()


class EchoHandler:
    """A handler that answers ``forward`` immediately."""

    def forward(self, request):
        """Return a complete answer."""
        return ForwardReply(
            outcome=Outcome.ANSWERED,
            status=200,
            headers=request.headers,
            body=ANSWER,
            stream_id=0,
            reason="",
            retry_after_ms=0,
            owner_hint="",
            event_clock=0,
            retries_left=0,
        )


def _answer_bytes(sock, address):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(ANSWER)
    while sock.recv(RECEIVE_BYTES):
        sock.sendall(head + ANSWER)


app = App(
    name="bench-server-loop",
    help="A server that sends a short answer, in one of several ways.",
)


@app.default
def serve(kind: str, *, port: int):
    """Serve until the process is stopped; ``kind`` is wsgi, lean, stream or thrift."""
    address = ("127.0.0.1", port)
    if kind == "thrift":
        sockets.SocketTransport = BatchingTransport
        server = PeerServer(*address, EchoHandler(), lambda address, error: None)
        server.start()
        Event().wait()
    elif kind == "stream":
        StreamServer(address, _answer_bytes).serve_forever()
    else:
        handler = DictHeadersHandler if kind == "lean" else PlainHandler
        pywsgi.WSGIServer(
            address, answer, log=None, handler_class=handler
        ).serve_forever()


if __name__ == "__main__":
    app()
