"""An HTTP/1.1 server for callers that keep connections and leave early.

gevent's own WSGI server can't tell a caller that its connection will be closed
before it closes it, bounds neither idle nor header time, and has no place where a
stopping process can tell an idle connection from one that a request is on. Those
decide whether a planned stop cuts a request; hence this server, on gevent's
`StreamServer` and the parser of httptools.
"""

import contextlib
from http.client import responses

import attrs
import gevent
import httptools
from absl import logging
from gevent import socket
from gevent.server import StreamServer

from comfreywharf.daemon.http import cut_connection

__all__ = ["Answer", "CallerServer", "FrontLimits", "Head"]

BLOCK_BYTES = 64 * 1024
BACKLOG = 1024

MAX_LEFT_BYTES = 256 * 1024
"""How much of a body that nobody wanted is read so that its connection can go on."""

LEFT_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 10.0
"""A caller that takes nothing for this long holds its greenlet for nothing."""

_BODILESS = frozenset({204, 304})


@attrs.frozen(kw_only=True)
class FrontLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.define(kw_only=True)
class Head:
    """The first part of a request: all but its body.

    ``length`` is -1 for a chunked body. ``headers`` are pairs as they came, names
    in lower case.
    """

    method: str
    target: str
    headers: list
    length: int
    keeps: bool

    def get(self, name, default=None):
        """Return the only value of a header; ``default`` if it isn't there."""
        for known, value in self.headers:
            if known == name:
                return value
        return default


@attrs.frozen(kw_only=True)
class Answer:
    """What a caller is sent. ``parts`` replace ``body`` where they are given.

    ``length`` is that of the parts, or -1 where it isn't known.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""
    parts: object = None
    length: int = -1


class _Bad(Exception):
    """A request that can't be read; ``status`` is the answer to it."""

    def __init__(self, status):
        super().__init__(str(status))
        self.status = status


class _Gone(Exception):
    """The caller has closed its connection."""


class _Parse:
    """Collects what httptools tells of one request."""

    def __init__(self):
        self.url = b""
        self.headers = []
        self.header_bytes = 0
        self.head_done = False
        self.parts = []
        self.done = False
        self.extra = False
        self.parser = None
        self.keeps = False

    def on_message_begin(self):
        # Bytes behind the request's end. Taken for a request of their own they
        # could have been put there by somebody else; the connection is closed
        # after this answer, and their sender sends again.
        if self.done:
            self.extra = True

    def on_url(self, url):
        if not self.extra:
            self.url += url

    def on_header(self, name, value):
        if not self.extra:
            self.headers.append((name.decode("latin-1").lower(), _text(value)))

    def on_headers_complete(self):
        # Once the request's end is parsed as well, the parser answers for the next
        # request: a caller that asked for it never saw its connection closed.
        if self.parser is not None:
            self.keeps = self.parser.should_keep_alive()
        # Kept, the two would hold each other until the garbage collection.
        self.parser = None
        self.head_done = True

    def on_body(self, data):
        if not self.extra:
            self.parts.append(data)

    def on_message_complete(self):
        self.done = True


def _text(value):
    return value.strip(b" \t").decode("latin-1")


class _Connection:
    """One caller's connection."""

    def __init__(self, sock, limits):
        self.sock = sock
        self._limits = limits
        self._parse = None
        self._parser = None
        self.continues = False
        self.idle = True

    def read_head(self):
        """Return the `Head` of the next request; raises `_Bad` or `_Gone`."""
        self.idle = True
        self._parse = _Parse()
        self._parser = httptools.HttpRequestParser(self._parse)
        self._parse.parser = self._parser
        self._receive_first(self._limits().idle_timeout_s)
        self.idle = False
        with gevent.Timeout(self._limits().header_timeout_s, _Bad(408)):
            while not self._parse.head_done:
                self._check_size()
                self._receive()
        self._check_size()
        return self._head()

    def _receive_first(self, timeout_s):
        with gevent.Timeout(timeout_s, _Gone()):
            data = self._recv()
        self._feed(data)

    def _check_size(self):
        limit = self._limits().header_bytes
        if self._parse.header_bytes > limit + BLOCK_BYTES:
            raise _Bad(431)
        if not self._parse.head_done and self._parse.header_bytes > limit:
            raise _Bad(431)
        size = sum(len(n) + len(v) + 4 for n, v in self._parse.headers)
        if size + len(self._parse.url) > limit:
            raise _Bad(431)

    def _receive(self):
        self._feed(self._recv())

    def _recv(self):
        try:
            data = self.sock.recv(BLOCK_BYTES)
        except OSError as error:
            raise _Gone from error
        if not data:
            raise _Gone
        return data

    def _feed(self, data):
        if not self._parse.head_done:
            self._parse.header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise _Bad(400) from error
        except httptools.HttpParserError as error:
            if not self._parse.done:
                raise _Bad(400) from error
            self._parse.extra = True

    def _head(self):
        parse = self._parse
        names = [name for name, _ in parse.headers]
        for once in ("host", "content-length", "transfer-encoding"):
            if names.count(once) > 1:
                raise _Bad(400)
        head = Head(
            method=self._parser.get_method().decode("ascii"),
            target=parse.url.decode("latin-1"),
            headers=parse.headers,
            length=0,
            keeps=parse.keeps,
        )
        coding = head.get("transfer-encoding")
        if coding is not None:
            if coding.lower() != "chunked" or "content-length" in names:
                raise _Bad(400)
            head.length = -1
        else:
            head.length = int(head.get("content-length") or 0)
        expected = head.get("expect")
        if expected is not None and expected.lower() != "100-continue":
            raise _Bad(417)
        self.continues = expected is not None
        return head

    def read(self, size):
        """Return the next part of the body, nothing at its end.

        Raises `OSError` where the body is cut or can't be read. ``size`` only
        bounds what is wanted; a part is what one read of the socket gave.
        """
        if self.continues and not self._parse.parts:
            self.continues = False
            self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        while not self._parse.parts and not self._parse.done:
            try:
                self._receive()
            except (_Gone, _Bad) as error:
                raise OSError("the body is cut") from error
        if not self._parse.parts:
            return b""
        return self._parse.parts.pop(0)

    @property
    def whole(self):
        """Return whether the request was read to its end, and no further."""
        return self._parse.done and not self._parse.extra

    def skip_rest(self):
        """Read what is left of a short body; return whether it was all.

        Closed with bytes unread, the connection would be reset, and the caller
        might never see the answer that it was sent.
        """
        skipped = 0
        try:
            with gevent.Timeout(LEFT_TIMEOUT_S):
                while not self._parse.done and skipped < MAX_LEFT_BYTES:
                    self._parse.parts.clear()
                    skipped += BLOCK_BYTES
                    self._receive()
        except (gevent.Timeout, _Gone, _Bad):
            return False
        self._parse.parts.clear()
        return self.whole

    def send(self, answer, head, close):
        """Write an answer; raises `OSError`."""
        lines = [f"HTTP/1.1 {answer.status} {responses.get(answer.status, 'Answer')}"]
        lines += [f"{name}: {value}" for name, value in answer.headers]
        chunked = False
        if answer.status in _BODILESS:
            pass
        elif answer.parts is None:
            lines.append(f"Content-Length: {len(answer.body)}")
        elif answer.length >= 0:
            lines.append(f"Content-Length: {answer.length}")
        else:
            lines.append("Transfer-Encoding: chunked")
            chunked = True
        if close:
            lines.append("Connection: close")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        bodiless = answer.status in _BODILESS or head.method == "HEAD"
        with gevent.Timeout(WRITE_TIMEOUT_S, OSError("the caller takes nothing")):
            if answer.parts is None:
                self.sock.sendall(data if bodiless else data + answer.body)
                return
            self.sock.sendall(data)
        self._send_parts(answer.parts, chunked)

    def _send_parts(self, parts, chunked):
        for part in parts:
            if not part:
                continue
            if chunked:
                part = b"%x\r\n%s\r\n" % (len(part), part)
            with gevent.Timeout(WRITE_TIMEOUT_S, OSError("the caller takes nothing")):
                self.sock.sendall(part)
        if chunked:
            self.sock.sendall(b"0\r\n\r\n")

    def cut(self):
        """Reset the connection, so that a part can't be taken for the whole."""
        cut_connection(self.sock)


class CallerServer:
    """Serve callers by an application: ``answer(head, connection) -> Answer``.

    ``limits()`` returns the `FrontLimits` in force. After `retire` each answer
    says that its connection will be closed; after `refuse_new` no request is served.
    """

    def __init__(self, host, port, application, limits):
        self._application = application
        self._limits = limits
        self._connections = set()
        self._retiring = False
        self._refusing = False
        self._server = StreamServer((host, port), self._serve, backlog=BACKLOG)

    def start(self):
        """Listen; raises `OSError` if the address is taken."""
        self._server.start()

    @property
    def port(self):
        """Return the port it listens on."""
        return self._server.server_port

    @property
    def busy(self):
        """Return how many connections have a request on them."""
        return sum(not connection.idle for connection in self._connections)

    def retire(self):
        """Close each connection with its next answer."""
        self._retiring = True

    def refuse_new(self):
        """Listen no more, and refuse each further request.

        A request that began now might not be answered before the process ends,
        and nobody would know whether it ran.
        """
        self._refusing = True
        self._server.stop_accepting()
        self._server.socket.close()

    def stop(self):
        """Stop listening and end the connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(sock, self._limits)
        self._connections.add(connection)
        try:
            while self._serve_one(connection):
                pass
        except OSError as error:
            logging.debug("caller %s: %s", address, error)
        finally:
            self._connections.discard(connection)
            sock.close()

    def _serve_one(self, connection):
        """Answer one request; return whether the connection goes on."""
        try:
            head = connection.read_head()
        except _Gone:
            return False
        except _Bad as error:
            head = Head(method="GET", target="", headers=[], length=0, keeps=False)
            connection.send(Answer(status=error.status), head, close=True)
            return False
        if self._refusing:
            headers = (("Retry-After", "0"),)
            answer = Answer(status=503, headers=headers, body=b"stopping\n")
        else:
            answer = self._application(head, connection)
        # A body that wasn't read to its end is answered at once all the same,
        # and its connection is closed behind the answer.
        goes_on = head.keeps and connection.whole and not self._retiring
        try:
            connection.send(answer, head, close=not goes_on)
        except BaseException:
            connection.cut()
            raise
        if not goes_on:
            connection.skip_rest()
        return goes_on
