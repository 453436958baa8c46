"""A thin layer over gevent's WSGI server for the stand-ins."""

from urllib.parse import parse_qsl

import attrs
import orjson
from gevent import pywsgi, socket

from comfreywharf.clock import boottime_s

__all__ = ["Answer", "Request", "StreamedBody", "make_server", "serve_forever"]


@attrs.define
class Answer:
    """A status, a body (JSON if it isn't bytes) and headers.

    A status of ``None`` closes the connection without any answer.
    """

    status: int | None
    body: object = b""
    headers: dict[str, str] = attrs.Factory(dict)

    def payload(self):
        """Return the body's bytes."""
        if isinstance(self.body, bytes):
            return self.body
        return orjson.dumps(self.body)


@attrs.define
class StreamedBody:
    """A body in parts, with its announced length.

    The connection is closed early if the parts have fewer bytes than that.
    """

    length: int
    parts: object

    def send(self, request):
        """Yield the parts; close the connection if they are too short."""
        sent = 0
        for part in self.parts:
            sent += len(part)
            yield part
        if sent < self.length:
            request.close_connection()


class Request:
    """One HTTP request, read from a WSGI environment."""

    def __init__(self, environ):
        self.arrived_s = boottime_s()
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.query = dict(parse_qsl(environ.get("QUERY_STRING", "")))

    def header(self, name, default=""):
        """Return a header's value."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), default)

    def read_body(self):
        """Return the whole body."""
        return self.environ["wsgi.input"].read()

    def close_connection(self):
        """Close the connection at once, without an answer."""
        sock = self.environ["standin.socket"]
        sock.shutdown(socket.SHUT_RDWR)


class _Handler(pywsgi.WSGIHandler):
    """Adds the socket to the environment, and sends small answers without delay."""

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ


def make_server(host, port, application):
    """Return a WSGI server for ``application(Request) -> Answer``."""

    def respond(environ, start_response):
        request = Request(environ)
        answer = application(request)
        if answer.status is None:
            request.close_connection()
            start_response("500 Cut", [])
            return [b""]
        if isinstance(answer.body, StreamedBody):
            length = str(answer.body.length)
            start_response("200 Answer", [("Content-Length", length)])
            return answer.body.send(request)
        payload = answer.payload()
        headers = [("Content-Length", str(len(payload))), *answer.headers.items()]
        start_response(f"{answer.status} Answer", headers)
        return [payload]

    return pywsgi.WSGIServer(
        (host, port), respond, log=None, handler_class=_Handler, backlog=1024
    )


def serve_forever(host, port, application):
    """Serve until the process is stopped."""
    make_server(host, port, application).serve_forever()
