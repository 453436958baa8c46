"""Separate the pipelined requests on one caller's connection.

Callers may send further requests before the first is answered. Only this module decides
where one request ends and the next begins: a head ends with the first empty line, and a
body after the length that its head states. The parser receives the bytes of one request
only, so that it can't read following bytes as a part of it.
"""

import attrs
import gevent
import httptools

from comfreywharf.clock import boottime_s
from comfreywharf.load.callermemory import CallerAccount, NoRoom
from comfreywharf.load.nested import ConnectionOrigin

__all__ = [
    "BLOCK_BYTES",
    "BadRequest",
    "CallerConnectionLimits",
    "CallerGone",
    "CallerStream",
    "Head",
    "IncomingRequest",
    "write_timeout",
]

BLOCK_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"

WRITE_TIMEOUT_S = 10.0
"""A caller that accepts no data for this long is disconnected, to free its greenlet."""


@attrs.frozen(kw_only=True)
class CallerConnectionLimits:
    """Limits of header size, header time and idle time on a caller's connection."""

    header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.define(kw_only=True)
class Head:
    """The request line and the headers of a request.

    ``length`` is that of the body, or -1 for a chunked one. ``headers`` are pairs of
    name and value in their original order, with names in lower case. ``keep_alive``
    tells whether the connection is kept open after the answer. ``version`` is that of
    HTTP, and ``size_bytes`` is how long the head is.
    """

    method: str
    target: str
    headers: list
    length: int
    keep_alive: bool
    version: str = "1.1"
    size_bytes: int = 0

    def get(self, name, default=None):
        """Return the first value of a header; ``default`` if the header is missing."""
        for known, value in self.headers:
            if known == name:
                return value
        return default


class BadRequest(Exception):
    """A request that can't be parsed; ``status`` is the HTTP status to answer with."""

    def __init__(self, status):
        super().__init__(str(status))
        self.status = status


class CallerGone(Exception):
    """The caller has closed its connection."""


class _ParserCallbacks:
    """Collect what httptools reports while it parses one request."""

    def __init__(self):
        self.url = b""
        self.headers = []
        self.head_done = False
        self.body = bytearray()
        self.done = False
        self.has_extra_bytes = False
        self.parser = None
        self.keep_alive = False

    def on_message_begin(self):
        # Bytes follow the end of a chunked body, or of a head that ended elsewhere
        # than expected. Served as a separate request, they could be a smuggled one.
        # The connection is closed after this answer, and the caller sends them again.
        if self.done:
            self.has_extra_bytes = True

    def on_url(self, url):
        if not self.has_extra_bytes:
            self.url += url

    def on_header(self, name, value):
        # Trailers, which come after the head, are dropped (RFC 9110, 6.5.1).
        if not self.has_extra_bytes and not self.head_done:
            self.headers.append((name.decode("latin-1").lower(), _text(value)))

    def on_headers_complete(self):
        # `should_keep_alive` has to be read here. Once the end of the request is
        # parsed, it refers to the next request, and the connection of a caller that
        # requested its end would never be closed.
        if self.parser is not None:
            self.keep_alive = self.parser.should_keep_alive()
        # Break the reference cycle, which would last until the garbage collection.
        self.parser = None
        self.head_done = True

    def on_body(self, data):
        if not self.has_extra_bytes:
            self.body += data

    def on_message_complete(self):
        self.done = True


def _text(value):
    return value.strip(b" \t").decode("latin-1")


class CallerStream:
    """The byte stream of one caller's connection, split into requests.

    ``origin`` is the `ConnectionOrigin` of the requests, and ``account`` the
    `CallerAccount` of the connection.
    """

    def __init__(self, sock, limits):
        self.sock = sock
        self.account = CallerAccount()
        self.origin = ConnectionOrigin()
        self._limits = limits
        self._buffer = b""
        self._receives = 0

    @property
    def header_bytes(self):
        """Return how long a head may be, in bytes."""
        return self._limits().header_bytes

    @property
    def has_bytes(self):
        """Return whether bytes of a further request were received."""
        return bool(self._buffer)

    def await_bytes(self):
        """Wait for the first byte of the next request; raises `CallerGone`."""
        if not self._buffer:
            self._buffer = self._receive()

    def read_request(self):
        """Return the next request; raises `BadRequest` or `CallerGone`."""
        callbacks = _ParserCallbacks()
        parser = httptools.HttpRequestParser(callbacks)
        callbacks.parser = parser
        self._receives = 0
        self.account.read_wait_s = 0.0
        read_bytes = 0
        with gevent.Timeout(self._limits().header_timeout_s, BadRequest(408)):
            while not callbacks.head_done:
                data = self._take_to_empty_line()
                read_bytes += len(data)
                if read_bytes > self.header_bytes:
                    raise BadRequest(431)
                feed(parser, callbacks, data)
        head = _head(callbacks, parser)
        head.size_bytes = read_bytes
        return IncomingRequest(self, callbacks, head, parser)

    def _take_to_empty_line(self):
        """Return the bytes up to the next empty line, which usually ends the head."""
        while True:
            end = self._buffer.find(HEAD_END)
            if end >= 0:
                return self.take(end + len(HEAD_END))
            if len(self._buffer) > self.header_bytes:
                raise BadRequest(431)
            self._buffer += self._receive_more()

    def take(self, size):
        """Return up to ``size`` bytes that were already received."""
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data

    def receive_up_to(self, size):
        """Return between one and ``size`` of the next bytes; raises `CallerGone`."""
        if not self._buffer:
            self._buffer = self._receive_more()
        return self.take(size)

    def _receive_more(self):
        """Return further bytes of a request that has begun."""
        self.account.begin_reading(boottime_s())
        try:
            return self._receive()
        finally:
            self.account.end_reading(boottime_s())

    def _receive(self):
        if self._receives:
            # A receive that finds bytes doesn't switch to other greenlets. A caller
            # that sends without end would otherwise stop the node, and no timeout
            # would fire.
            gevent.sleep(0)
        self._receives += 1
        try:
            data = self.sock.recv(BLOCK_BYTES)
        except OSError as error:
            raise CallerGone from error
        if not data:
            raise CallerGone
        return data


def write_timeout():
    """Return a context that raises `OSError` if a write takes `WRITE_TIMEOUT_S`."""
    return gevent.Timeout(WRITE_TIMEOUT_S, OSError("write timed out"))


def feed(parser, callbacks, data):
    """Feed bytes of a request to its parser; raises `BadRequest`."""
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise BadRequest(400) from error
    except httptools.HttpParserError as error:
        if not callbacks.done:
            raise BadRequest(400) from error
        callbacks.has_extra_bytes = True


def _head(callbacks, parser):
    names = [name for name, _ in callbacks.headers]
    for once in ("host", "content-length", "transfer-encoding"):
        if names.count(once) > 1:
            raise BadRequest(400)
    head = Head(
        method=parser.get_method().decode("ascii"),
        target=callbacks.url.decode("latin-1"),
        headers=callbacks.headers,
        length=0,
        keep_alive=callbacks.keep_alive,
        version=parser.get_http_version(),
    )
    coding = head.get("transfer-encoding")
    if coding is not None:
        if coding.lower() != "chunked" or "content-length" in names:
            raise BadRequest(400)
        head.length = -1
    else:
        head.length = int(head.get("content-length") or 0)
    expected = head.get("expect")
    if expected is not None and expected.lower() != "100-continue":
        raise BadRequest(417)
    return head


class IncomingRequest:
    """One request that was received: its head, and its body as far as it was read.

    ``origin`` is the `ConnectionOrigin` of its connection, and ``part`` the `Part` of
    the node's memory that it takes; ``None`` if there is no room for it.
    ``100 Continue`` is sent only after ``turn``, since it would otherwise appear among
    the answers to earlier requests on the connection.
    """

    def __init__(self, stream, callbacks, head, parser):
        self.head = head
        self.sock = stream.sock
        self.origin = stream.origin
        self.turn = None
        self.part = None
        self._stream = stream
        self._callbacks = callbacks
        self._parser = parser
        self._body_left = head.length
        self._other_bytes = 0
        self._expects_continue = head.get("expect") is not None
        if not self.whole and stream.has_bytes:
            self._feed(stream.take(self._wanted_bytes))

    @property
    def whole(self):
        """Return whether the request was read to its end, without extra bytes."""
        return self._callbacks.done and not self._callbacks.has_extra_bytes

    def take_room(self, memory, now_s):
        """Take room in a `CallerMemory` for the head and what came with it."""
        head = self.head
        self.part = memory.begin(
            self._stream.account,
            head.size_bytes,
            len(head.headers),
            now_s,
            is_upload=not self._callbacks.done,
        )
        came_bytes = len(self._callbacks.body)
        if self.part is not None and not self.part.grow_body(came_bytes, now_s):
            self.part.end(now_s)
            self.part = None

    @property
    def _wanted_bytes(self):
        return BLOCK_BYTES if self._body_left < 0 else min(self._body_left, BLOCK_BYTES)

    def _feed(self, data):
        if self._body_left > 0:
            self._body_left -= len(data)
        held_bytes = len(self._callbacks.body)
        feed(self._parser, self._callbacks, data)
        self._check_progress(len(data), len(self._callbacks.body) > held_bytes)

    def _check_progress(self, received_bytes, of_body):
        """Bound the bytes in a row that aren't of the body; raises `BadRequest`.

        The sizes and extensions of chunks, and the trailers, have no length of their
        own. They may be as long as a head.
        """
        self._other_bytes = 0 if of_body else self._other_bytes + received_bytes
        if not self._callbacks.done and self._other_bytes > self._stream.header_bytes:
            raise BadRequest(431)

    def _receive(self):
        data = self._stream.receive_up_to(self._wanted_bytes)
        if self.part is not None and not self.part.grow_body(len(data), boottime_s()):
            raise NoRoom("there is no memory for the rest of the body")
        self._feed(data)

    def read(self, size):
        """Return the next part of the body, or ``b""`` at its end.

        Raises `OSError` if the body is truncated or malformed, and `NoRoom` if it can't
        be kept. ``size`` isn't a limit: a part is what one read of the socket returned.
        """
        callbacks = self._callbacks
        if self._expects_continue and not callbacks.body:
            if self.turn is not None:
                self.turn.wait()
            with write_timeout():
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._expects_continue = False
        while not callbacks.body and not callbacks.done:
            try:
                self._receive()
            except (CallerGone, BadRequest) as error:
                raise OSError("the body is truncated or malformed") from error
        part, callbacks.body = bytes(callbacks.body), bytearray()
        return part
