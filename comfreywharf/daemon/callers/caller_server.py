"""An HTTP/1.1 server for callers that keep connections open and disconnect early.

gevent's own WSGI server can't announce to a caller that its connection will be closed,
limits neither idle nor header time, serves one request of a connection at a time, and
doesn't let a stopping process distinguish idle connections from busy ones. Without
these, a planned stop would interrupt requests. This server therefore uses gevent's
`StreamServer` and the parser of httptools.
"""

import contextlib
from http.client import responses

import attrs
import gevent
from absl import logging
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.callers.caller_stream import (
    BLOCK_BYTES,
    BadRequest,
    CallerGone,
    CallerStream,
    write_timeout,
)
from comfreywharf.daemon.connections.closing import reset_on_close, shut_down
from comfreywharf.load.callermemory import CallerMemory

__all__ = ["Answer", "CallerServer", "split_length"]

BACKLOG = 1024

MAX_PIPELINED_REQUESTS = 16
"""How many pipelined requests of one connection are served at a time. Further ones stay
unread, so that one caller's memory use is limited to these and the socket's buffer."""

MAX_LINGER_BYTES = 256 * 1024
"""How many unread bytes of a caller are read and dropped before its connection is
closed."""

LINGER_TIMEOUT_S = 0.5

JOINED_BYTES = 16 * 1024
"""Body length up to which an answer is sent as one segment. A longer body isn't copied
for that."""

STREAMED_PART_BYTES = 256 * 1024
"""The longest part of an answer that is kept while it is sent, beside the first."""

_BODILESS = frozenset({204, 304})


@attrs.frozen(kw_only=True)
class Answer:
    """The answer to send to a caller. ``parts``, if given, replace ``body``.

    ``length`` is the total length of the parts, or -1 if it is unknown.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""
    parts: object = None
    length: int = -1


def split_length(headers):
    """Return ``(others, length)`` of header pairs; ``length`` is -1 if none states it.

    >>> split_length([("X-A", "b"), ("Content-Length", "5")])
    ([('X-A', 'b')], 5)
    """
    others, length = [], -1
    for name, value in headers:
        if name.lower() == "content-length":
            length = int(value)
        else:
            others.append((name, value))
    return others, length


class _Turn:
    """The position of a request in the order of answers on its connection.

    ``before`` is the `_Turn` of the previous request, ``None`` once that is answered.
    """

    def __init__(self, before):
        self.before = before
        self.done = Event()

    def wait(self):
        """Wait until all earlier answers were sent."""
        if self.before is not None:
            self.before.done.wait()
            # Drop the reference, which would keep all earlier requests in memory.
            self.before = None


class _Connection:
    """One caller's connection, and those of its requests that are being served.

    ``running`` has the `_Turn` of each of these requests, and ``last`` is that of the
    latest request. ``changed`` is an `Event` that wakes waits when a request ends.
    ``account`` is the `CallerAccount` of what it holds.
    """

    def __init__(self, sock, limits):
        self.sock = sock
        self.stream = CallerStream(sock, limits)
        self.account = self.stream.account
        self._limits = limits
        self._unsent = 0
        self.last = None
        self.running = set()
        self.reading = False
        self.closing = False
        self.was_reset = False
        self.changed = Event()
        self._reader = gevent.getcurrent()
        self._reader_waits = False

    @property
    def idle(self):
        """Return whether no request is being read or served on the connection."""
        return not self.running and not self.reading

    def read_request(self, may_begin):
        """Return the next request; raises `CallerGone` or `BadRequest`.

        ``may_begin()`` is called once the first byte has arrived; if it returns false,
        no more of the request is read.
        """
        self._reader_waits = True
        try:
            self._await_request()
            self.account.idle_since_s = None
            self.await_fewer_than(MAX_PIPELINED_REQUESTS)
            if not may_begin():
                raise CallerGone
            self.reading = True
            return self.stream.read_request()
        finally:
            self._reader_waits = False
            self.reading = False

    def _await_request(self):
        while True:
            try:
                with gevent.Timeout(self._limits().idle_timeout_s):
                    self.stream.await_bytes()
                    return
            except gevent.Timeout as error:
                if not self.running:
                    raise CallerGone from error

    def await_fewer_than(self, limit):
        """Wait until fewer than ``limit`` requests are being served."""
        while len(self.running) >= limit and not self.closing:
            self.changed.clear()
            self.changed.wait()

    def begin(self):
        """Return the `_Turn` of a new request, after all earlier ones."""
        turn = _Turn(self.last)
        self.last = turn
        self.running.add(turn)
        return turn

    def end(self, turn):
        """Mark an answer as done, so that the next one can be sent."""
        self.running.discard(turn)
        turn.done.set()
        self.changed.set()
        if self.idle:
            self.account.idle_since_s = boottime_s()

    def answer_made(self, now_s):
        """Record that an answer is kept until the caller has read it."""
        self._unsent += 1
        if self._unsent == 1:
            self.account.unsent_since_s = now_s

    def answer_ended(self):
        """Record that an answer was sent, or won't be."""
        self._unsent -= 1
        if not self._unsent:
            self.account.unsent_since_s = None

    def send(self, answer, request, close):
        """Write an answer; raises `OSError`.

        A caller of HTTP/1.0 knows no chunks: for it, an answer of unknown length ends
        with the connection.
        """
        is_head = request is not None and request.head.method == "HEAD"
        knows_chunks = request is None or request.head.version != "1.0"
        lines = [f"HTTP/1.1 {answer.status} {responses.get(answer.status, 'Answer')}"]
        lines += [f"{name}: {value}" for name, value in answer.headers]
        chunked = False
        if answer.status in _BODILESS:
            pass
        elif answer.parts is None and not (is_head and answer.length >= 0):
            lines.append(f"Content-Length: {len(answer.body)}")
        elif answer.length >= 0:
            lines.append(f"Content-Length: {answer.length}")
        elif knows_chunks:
            lines.append("Transfer-Encoding: chunked")
            chunked = True
        if close:
            lines.append("Connection: close")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        bodiless = answer.status in _BODILESS or is_head
        with write_timeout():
            if answer.parts is None:
                self._send_whole(data, b"" if bodiless else answer.body)
                return
            self.sock.sendall(data)
        self._send_parts(answer.parts, chunked)

    def _send_whole(self, head, body):
        if len(body) <= JOINED_BYTES:
            self.sock.sendall(head + body)
            return
        self.sock.sendall(head)
        self.sock.sendall(body)

    def _send_parts(self, parts, chunked):
        for part in parts:
            if not part:
                continue
            if chunked:
                part = b"%x\r\n%s\r\n" % (len(part), part)
            with write_timeout():
                self.sock.sendall(part)
        if chunked:
            with write_timeout():
                self.sock.sendall(b"0\r\n\r\n")

    def reset(self):
        """Reset the connection, so that a partial answer doesn't look complete."""
        self.was_reset = True
        reset_on_close(self.sock)
        self.close()

    def close(self):
        """Read no further request."""
        self.closing = True
        self.changed.set()
        if self._reader_waits:
            gevent.get_hub().loop.run_callback(self._interrupt_reader)

    def _interrupt_reader(self):
        # By now, the reader may wait for the answers instead, which it has to.
        if self._reader_waits:
            self._reader.throw(CallerGone())

    def linger(self):
        """Shut the sending side down, then read and drop what the caller still sends.

        Closing the connection with unread bytes would reset it, and the caller might
        never receive the answer.
        """
        self.sock.shutdown(socket.SHUT_WR)
        read_bytes = 0
        with gevent.Timeout(LINGER_TIMEOUT_S, False):
            while read_bytes < MAX_LINGER_BYTES:
                data = self.sock.recv(BLOCK_BYTES)
                if not data:
                    return
                read_bytes += len(data)


class CallerServer:
    """Serve callers with an application: ``application(head, request) -> Answer``.

    Pipelined requests are served concurrently and answered in their order. A request
    for which ``waits_for_earlier_requests(head)`` is true starts only once all earlier
    ones on its connection are answered. ``limits()`` returns the current
    `CallerConnectionLimits`. ``memory`` is the `CallerMemory` that all connections
    share: a request without room in it is passed on without a ``part``, and its
    connection is closed with the answer. ``answer_malformed(status)`` returns the
    `Answer` to a request that can't be parsed. After `retire`, each connection is
    closed with its last answer; after `refuse_new`, no new request is served.
    """

    def __init__(
        self,
        host,
        port,
        application,
        limits,
        waits_for_earlier_requests=None,
        memory=None,
        answer_malformed=None,
    ):
        self._application = application
        self._limits = limits
        self._answer_malformed = answer_malformed or _status_only
        self._memory = memory or CallerMemory()
        self._memory.close = self._disconnect
        self._waits_for_earlier_requests = waits_for_earlier_requests or (
            lambda head: False
        )
        self._connections = {}
        self._retiring = False
        self._refusing = False
        self._server = StreamServer((host, port), self._serve, backlog=BACKLOG)

    def start(self):
        """Start listening; raises `OSError` if the address is in use."""
        self._server.start()

    @property
    def port(self):
        """Return the port that the server listens on."""
        return self._server.server_port

    @property
    def busy_count(self):
        """Return how many connections have a request in progress."""
        return sum(not connection.idle for connection in self._connections.values())

    def retire(self):
        """Close each connection with its last answer, and read no further request.

        A caller sends requests after a closing answer again. If such a request were
        forwarded here as well, it would run twice.
        """
        self._retiring = True

    def refuse_new(self):
        """Stop listening, and refuse each further request.

        A request that started now might not be answered before the process exits,
        and its outcome would be unknown.
        """
        self._refusing = True
        self._server.stop_accepting()
        self._server.socket.close()

    def stop(self):
        """Stop the server, without waiting for its connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(sock, self._limits)
        account = connection.account
        if not self._memory.connect(account, boottime_s()):
            sock.close()
            return
        self._connections[account] = connection
        try:
            while not connection.closing and self._read_one(connection):
                pass
            if connection.last is not None:
                connection.last.done.wait()
            if connection.closing and not connection.was_reset:
                connection.linger()
        except OSError as error:
            logging.debug(
                "connection of caller %s ended with an error: %s", address, error
            )
        finally:
            del self._connections[account]
            self._memory.disconnect(account)
            sock.close()

    def _disconnect(self, account):
        """Close a connection to make room; greenlets that wait for it get an error."""
        connection = self._connections[account]
        connection.reset()
        shut_down(connection.sock)

    def _read_one(self, connection):
        """Read one request and start serving it; return whether to read the next."""
        try:
            request = connection.read_request(lambda: self._may_begin(connection))
        except CallerGone:
            return False
        except BadRequest as error:
            status = error.status
            self._answer_in_turn(
                connection,
                None,
                lambda: self._answer_malformed(status),
                connection.begin(),
            )
            return False
        if connection.running and self._waits_for_earlier_requests(request.head):
            connection.await_fewer_than(1)
        if not self._may_begin(connection):
            return False
        request.take_room(self._memory, boottime_s())
        if request.part is None:
            request.head.keep_alive = False
        turn = request.turn = connection.begin()
        if request.whole and request.head.keep_alive:
            gevent.spawn(self._answer, connection, request, turn)
            return True
        # The rest of the body follows, or this is the connection's last request. No
        # other request can be read in the meantime.
        self._answer(connection, request, turn)
        return True

    def _may_begin(self, connection):
        """Return whether a further request may be served.

        It may not after an answer that closes the connection: its caller sends it
        again, and it would run twice.
        """
        retires = self._retiring and connection.running
        return not connection.closing and not retires

    def _answer(self, connection, request, turn):
        def make_answer():
            if self._refusing:
                headers = (("Retry-After", "0"),)
                return Answer(status=503, headers=headers, body=b"stopping\n")
            return self._application(request.head, request)

        self._answer_in_turn(connection, request, make_answer, turn)

    def _answer_in_turn(self, connection, request, make_answer, turn):
        part = request.part if request else None
        try:
            try:
                answer = make_answer()
                if part is not None:
                    part.keep_answer(_kept_bytes(answer), boottime_s())
            finally:
                connection.answer_made(boottime_s())
                # Even if this request fails, earlier ones are answered first.
                turn.wait()
            if not connection.closing:
                self._send(connection, request, answer, turn)
        except OSError as error:
            logging.debug("request failed, resetting the connection: %s", error)
            connection.reset()
        except BaseException:
            connection.reset()
            raise
        finally:
            connection.answer_ended()
            if part is not None:
                part.end(boottime_s())
            connection.end(turn)

    def _send(self, connection, request, answer, turn):
        """Send an answer, and close the connection if no further request may follow.

        If the request's body wasn't read to its end, the answer is sent anyway, and
        the connection is closed after it.
        """
        is_last = request is None or not request.head.keep_alive or not request.whole
        if answer.parts is not None and answer.length < 0:
            is_last |= request is not None and request.head.version == "1.0"
        close = is_last or (self._retiring and connection.last is turn)
        if close:
            connection.close()
        connection.send(answer, request, close)


def _status_only(status):
    return Answer(status=status)


def _kept_bytes(answer):
    """Return how much memory an answer takes until it is sent."""
    streamed_bytes = 0 if answer.parts is None else STREAMED_PART_BYTES
    return len(answer.body) + streamed_bytes
