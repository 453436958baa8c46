"""`CallerServer` on real sockets: parsing, refusals, kept and closed connections."""

import contextlib

import gevent
import pytest
from gevent import socket

from comfreywharf.daemon.callers import caller_stream
from comfreywharf.daemon.callers.caller_server import Answer, CallerServer
from comfreywharf.daemon.callers.caller_stream import (
    CallerConnectionLimits,
    CallerStream,
)


class Application:
    """An application that answers each request with its body and records the heads."""

    def __init__(self):
        self.heads = []
        self.bodies = []
        self.parts = None
        self.reads = True
        self.gate = None

    def __call__(self, head, connection):
        self.heads.append(head)
        body = b""
        while self.reads and (part := connection.read(1 << 16)):
            body += part
        self.bodies.append(body)
        if self.gate is not None:
            self.gate.wait()
        return Answer(status=200, body=body or b"empty", parts=self.parts)


@pytest.fixture
def application():
    return Application()


@pytest.fixture
def server(application):
    limits = CallerConnectionLimits(
        header_bytes=1000, header_timeout_s=0.3, idle_timeout_s=0.6
    )
    started = CallerServer("127.0.0.1", 0, application, lambda: limits)
    started.start()
    yield started
    started.stop()


def exchange(server, data):
    """Send bytes and return all that is received until the connection closes."""
    address = ("127.0.0.1", server.port)
    parts = []
    with contextlib.closing(socket.create_connection(address, 3)) as sock:
        sock.sendall(data)
        with contextlib.suppress(ConnectionResetError):
            while part := sock.recv(65536):
                parts.append(part)
    return b"".join(parts)


def status(data):
    return int(data.split(b" ", 2)[1])


GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LAST = b"GET /z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "data", [LAST, GET.replace(b"1.1", b"1.0"), LAST.replace(b"close", b"x, Close")]
)
def test_a_request_that_closes_its_connection_gets_connection_close(server, data):
    """Guards against a caller that waits two seconds for the end of the stream.

    The request, which arrives in one segment, asks to close the connection. The parser
    reports this only until it has parsed the end of the request.
    """
    answer = exchange(server, data)
    assert b"connection: close" in answer.lower()


def test_a_kept_connection_serves_one_request_after_the_other(server, application):
    """Each request is sent after the previous answer, and gets its own answer."""
    with contextlib.closing(socket.create_connection(("127.0.0.1", server.port))) as s:
        for path in (b"/1", b"/2", b"/3"):
            s.sendall(GET.replace(b"/a", path))
            assert status(s.recv(65536)) == 200
    assert [head.target for head in application.heads] == ["/1", "/2", "/3"]


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
def test_a_body_is_read_by_length_or_in_chunks(server, application, body):
    """The application receives the same bytes in both cases."""
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    assert status(exchange(server, head + body)) == 200
    assert application.bodies == [b"hello"]


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ],
)
def test_an_ambiguous_head_is_refused(server, application, data):
    """Guards against request smuggling.

    If a head has two lengths, for example, two hops may choose different ones, and a
    request may be hidden in the body of another one.
    """
    assert status(exchange(server, data)) == 400
    assert application.heads == []


def test_a_head_over_the_size_limit_is_refused_with_431(server):
    """The connection is closed after the answer."""
    big = b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 1500 + b"\r\n\r\n"
    assert status(exchange(server, big)) == 431


def test_an_incomplete_head_times_out_with_408(server):
    """Guards against a slow caller that occupies a greenlet without limit."""
    assert status(exchange(server, b"GET /a HTTP/1.1\r\nHost:")) == 408


def test_an_idle_connection_is_closed_without_an_answer(server):
    """A caller would take unsolicited bytes for the answer to its next request."""
    assert exchange(server, b"") == b""


def test_a_request_after_a_body_starts_where_the_body_ends(server, application):
    """Guards against a body that extends into the next request, and the reverse.

    A second request follows the first one's body in the same segment. The parser must
    receive the bytes of one request only.
    """
    data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok" + LAST
    first, second = exchange(server, data).split(b"HTTP/1.1 200")[1:]
    assert first.endswith(b"ok") and second.endswith(b"empty")
    assert sorted(head.target for head in application.heads) == ["/a", "/z"]
    assert sorted(application.bodies) == [b"", b"ok"]


def test_bytes_after_a_chunked_body_close_the_connection(server, application):
    """Guards against a request that is run although no caller sent it.

    A second request follows the first one's chunks in the same segment. The end of the
    chunks is determined by the parser alone, and hops may differ in it. The connection
    is closed, and the caller sends the second request again.
    """
    chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = chunked + b"2\r\nok\r\n0\r\n\r\n" + GET
    answer = exchange(server, data)
    assert answer.count(b"HTTP/1.1 200") == 1 and b"Connection: close" in answer
    assert [head.target for head in application.heads] == ["/a"]


def test_an_answer_before_the_bodys_end_closes_the_connection(server, application):
    """Guards against the rest of a body that is parsed as the next request.

    A long upload is refused at once, while bytes of its body are still in transit.
    """
    application.reads = False
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"
    answer = exchange(server, head + b"x" * 100_000)
    assert status(answer) == 200
    assert b"Connection: close" in answer


def test_a_truncated_stream_doesnt_look_complete(server, application):
    """Guards against a partial answer that the caller takes for a complete one.

    The source of the answer fails midway. The terminating chunk must not be sent.
    """

    def parts():
        yield b"first"
        raise OSError("the source is gone")

    application.parts = parts()
    answer = exchange(server, GET)
    assert b"first" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_a_retiring_server_sends_connection_close_with_each_answer(server, application):
    """Guards against a request that is lost on a connection closed by a planned stop.

    A caller whose connection is closed without notice may just have sent a request.
    """
    server.retire()
    answer = exchange(server, GET)
    assert status(answer) == 200
    assert b"Connection: close" in answer


def test_refuse_new_still_answers_the_requests_in_progress(server, application):
    """The request in progress is answered; the next one is refused with 503."""
    application.gate = gevent.event.Event()
    first = gevent.spawn(exchange, server, LAST)
    with contextlib.closing(socket.create_connection(("127.0.0.1", server.port))) as s:
        gevent.sleep(0.05)
        server.refuse_new()
        s.sendall(GET)
        refused = s.recv(65536)
    application.gate.set()
    assert status(refused) == 503 and b"Retry-After" in refused
    assert status(first.get()) == 200
    assert len(application.heads) == 1
    with pytest.raises(OSError):
        socket.create_connection(("127.0.0.1", server.port), 1)


def chunked(*after_head, path="/a"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + b"".join(after_head)


@pytest.fixture
def deaf_caller():
    """Yield a node's socket whose caller has sent a request and reads nothing."""
    ours, theirs = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(theirs):
        yield ours, theirs


def test_a_caller_that_reads_nothing_cant_hold_its_continue_open(
    deaf_caller, monkeypatch
):
    """Guards against a connection that stays open for as long as its caller likes.

    The caller doesn't read the earlier answers, so that nothing more can be written.
    """
    monkeypatch.setattr(caller_stream, "WRITE_TIMEOUT_S", 0.1)
    ours, theirs = deaf_caller
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    theirs.sendall(head + b"Content-Length: 5\r\n\r\n")
    limits = CallerConnectionLimits(
        header_bytes=1000, header_timeout_s=1.0, idle_timeout_s=1.0
    )
    request = CallerStream(ours, lambda: limits).read_request()
    with gevent.Timeout(0.1, False):
        ours.sendall(b"x" * (1 << 24))
    with gevent.Timeout(5.0), pytest.raises(OSError, match="timed out"):
        request.read(1)


def test_trailers_are_dropped(server, application):
    """Guards against header fields that a caller adds behind the checked head."""
    data = chunked(b"2\r\nhe\r\n0\r\nX-Late: 1\r\nHost: other\r\n\r\n")
    assert status(exchange(server, data + LAST)) == 200
    assert application.bodies[0] == b"he"
    names = [name for name, _ in application.heads[0].headers]
    assert names == ["host", "transfer-encoding"]


@pytest.mark.parametrize(
    "start", [b"0\r\nX-A: ", b"1;", b"000", b"0\r\nX-A: b\r\nX-B:"]
)
def test_bytes_of_no_body_are_bounded_like_a_head(server, application, start):
    """Guards against memory for trailers, and time for extensions, without end."""
    answer = exchange(server, chunked(b"2\r\nhe\r\n", start, b"0" * 200_000))
    assert answer == b"" or status(answer) in (400, 431)
    assert application.bodies == []


def test_long_trailers_within_the_bound_are_read(server, application):
    """Guards against a bound that ordinary trailers reach."""
    trailers = b"".join(b"X-%d: %s\r\n" % (n, b"b" * 50) for n in range(10))
    data = chunked(b"2\r\nhe\r\n0\r\n", trailers, b"\r\n")
    assert status(exchange(server, data + LAST)) == 200
    assert application.bodies[0] == b"he"


def test_an_answer_without_a_length_ends_with_the_connection_for_http_1_0(
    server, application
):
    """Guards against chunks that a caller of HTTP/1.0 takes for the body."""
    application.parts = [b"one ", b"two"]
    request = b"GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"
    head, _, body = exchange(server, request).partition(b"\r\n\r\n")
    assert body == b"one two"
    assert b"chunked" not in head and b"Connection: close" in head
