"""The callers' server on real sockets: what it reads, refuses, keeps and closes."""

import contextlib

import gevent
import pytest
from gevent import socket

from comfreywharf.daemon.requests.caller_server import Answer, CallerServer
from comfreywharf.daemon.requests.caller_stream import CallerConnectionLimits


class Application:
    """Answers each request with its body, and keeps the heads."""

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
    """Send bytes and return all that comes until the connection closes."""
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
def test_a_connection_ends_with_the_request_that_says_so(server, data):
    """Symptom: a caller that reads to the end of the stream waits two seconds.

    Sequence: it asks for the end of the connection in a request that comes in one
    piece. Cause: the parser was asked after the request's end, when it had
    forgotten what the request said."""
    answer = exchange(server, data)
    assert b"connection: close" in answer.lower()


def test_a_kept_connection_serves_one_request_after_the_other(server, application):
    """Sent one behind the other's answer, each gets its own."""
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
    """Both forms give the application the same bytes."""
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
def test_what_two_hops_could_read_differently_is_refused(server, application, data):
    """Symptom: a request is smuggled inside another one's body.
    Sequence: a head with two lengths. Cause: the hops choose different ones."""
    assert status(exchange(server, data)) == 400
    assert application.heads == []


def test_too_large_a_head_is_refused(server):
    """The answer says so, and the connection ends."""
    big = b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 1500 + b"\r\n\r\n"
    assert status(exchange(server, big)) == 431


def test_a_head_that_never_ends_is_given_up(server):
    """A caller that sends a byte now and then doesn't hold a greenlet for ever."""
    assert status(exchange(server, b"GET /a HTTP/1.1\r\nHost:")) == 408


def test_an_idle_connection_is_closed_without_a_word(server):
    """Bytes that answer no request would be taken for the next one's answer."""
    assert exchange(server, b"") == b""


def test_a_request_behind_a_body_begins_where_the_body_ends(server, application):
    """Symptom: a server runs a request that no caller sent, or a body is too long.
    Sequence: a second request lies behind the first one's body in one segment.
    Cause: the parser was given both; now it gets the bytes of one request only."""
    data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok" + LAST
    first, second = exchange(server, data).split(b"HTTP/1.1 200")[1:]
    assert first.endswith(b"ok") and second.endswith(b"empty")
    assert sorted(head.target for head in application.heads) == ["/a", "/z"]
    assert sorted(application.bodies) == [b"", b"ok"]


def test_bytes_behind_a_chunked_body_arent_taken_for_another(server, application):
    """Symptom: a server runs a request that no caller sent.
    Sequence: a second request lies behind the first one's chunks in one segment.
    Cause: where chunks end is found by the parser alone, and hops may differ in it.
    The connection is closed, and the caller sends again."""
    chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = chunked + b"2\r\nok\r\n0\r\n\r\n" + GET
    answer = exchange(server, data)
    assert answer.count(b"HTTP/1.1 200") == 1 and b"Connection: close" in answer
    assert [head.target for head in application.heads] == ["/a"]


def test_an_answer_before_the_bodys_end_closes_the_connection(server, application):
    """Symptom: the rest of a body is read as the next request.
    Sequence: a long upload is refused at once.
    Cause: the connection was kept although bytes of the body were still to come."""
    application.reads = False
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"
    answer = exchange(server, head + b"x" * 100_000)
    assert status(answer) == 200
    assert b"Connection: close" in answer


def test_a_cut_stream_doesnt_look_complete(server, application):
    """Symptom: a caller takes a part of an answer for the whole.
    Sequence: the answer's source fails midway. Cause: the chunks were ended."""

    def parts():
        yield b"first"
        raise OSError("the source is gone")

    application.parts = parts()
    answer = exchange(server, GET)
    assert b"first" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_a_retiring_server_says_so_with_each_answer(server, application):
    """Symptom: a request is lost on a connection that closes under it.
    Sequence: a stop closes kept connections. Cause: their callers weren't told."""
    server.retire()
    answer = exchange(server, GET)
    assert status(answer) == 200
    assert b"Connection: close" in answer


def test_a_server_that_refuses_new_work_still_answers_what_it_has(server, application):
    """The request in progress is answered, the next one refused as not run."""
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
