"""Requests behind one another on a connection: each test is a way to answer wrongly."""

import contextlib
import random

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import HealthCheck, given, settings, strategies as st

from comfreywharf.daemon.requests.caller_server import (
    MAX_PIPELINED_REQUESTS,
    Answer,
    CallerServer,
)
from comfreywharf.daemon.requests.caller_stream import CallerConnectionLimits

LIMITS = CallerConnectionLimits(
    header_bytes=2000, header_timeout_s=1.0, idle_timeout_s=1.0
)


class Desk:
    """Answers with what a request brought, in whatever order its gates open."""

    def __init__(self):
        self.begun = []
        self.gates = {}
        self.failing = set()
        self.most_at_once = 0
        self._running = 0

    def __call__(self, head, request):
        self.begun.append(head.target)
        self._running += 1
        self.most_at_once = max(self.most_at_once, self._running)
        body = b""
        while part := request.read(1 << 16):
            body += part
        gate = self.gates.get(head.target)
        if gate is not None:
            gate.wait()
        self._running -= 1
        if head.target in self.failing:
            raise OSError("the backend server is gone")
        return Answer(status=200, body=head.target.encode() + b":" + body)


@pytest.fixture
def desk():
    return Desk()


@pytest.fixture
def server(desk):
    started = CallerServer(
        "127.0.0.1", 0, desk, lambda: LIMITS, lambda head: head.method == "PUT"
    )
    started.start()
    yield started
    started.stop()


def get(path, method="GET", close=False):
    end = "Connection: close\r\n" if close else ""
    return f"{method} {path} HTTP/1.1\r\nHost: h\r\n{end}\r\n".encode()


@contextlib.contextmanager
def connected(server):
    address = ("127.0.0.1", server.port)
    with contextlib.closing(socket.create_connection(address, 3)) as sock:
        yield sock


def read_all(sock):
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts)


def bodies(data):
    """Return the bodies of answers, in their order."""
    return [answer.partition(b"\r\n\r\n")[2] for answer in data.split(b"HTTP/1.1 ")[1:]]


def wait_for(condition):
    with gevent.Timeout(3):
        while not condition():
            gevent.sleep(0.005)


def test_a_row_is_served_at_once_and_answered_in_order(server, desk):
    """Symptom: the second lookup of a row takes as long as both.
    Events: three requests in one packet; the first one's answer comes last.
    Cause: one request of a connection was served at a time."""
    first = desk.gates["/1"] = Event()
    with connected(server) as sock:
        sock.sendall(get("/1") + get("/2") + get("/3", close=True))
        wait_for(lambda: len(desk.begun) == 3)
        first.set()
        assert bodies(read_all(sock)) == [b"/1:", b"/2:", b"/3:"]


def test_a_row_is_bounded(server, desk):
    """Symptom: one caller's row takes all of a node's memory.
    Events: a caller sends fifty requests and nothing is answered yet."""
    desk.gates = {f"/{n}": Event() for n in range(50)}
    with connected(server) as sock:
        sock.sendall(b"".join(get(f"/{n}") for n in range(50)))
        wait_for(lambda: len(desk.begun) == MAX_PIPELINED_REQUESTS)
        gevent.sleep(0.05)
        assert len(desk.begun) == MAX_PIPELINED_REQUESTS
        for gate in desk.gates.values():
            gate.set()
        wait_for(lambda: len(desk.begun) == 50)


def test_an_error_in_a_row_comes_behind_the_answers_before_it(server, desk):
    """Symptom: a caller loses an answer that was ready, or takes one for another's.
    Events: the second of three requests fails before the first is answered.
    Cause: the connection was cut at the failure, or the next answer took its place."""
    first = desk.gates["/1"] = Event()
    desk.failing.add("/2")
    with connected(server) as sock:
        sock.sendall(get("/1") + get("/2") + get("/3"))
        wait_for(lambda: len(desk.begun) == 3)
        first.set()
        assert bodies(read_all(sock)) == [b"/1:"]


def test_nothing_is_begun_behind_an_answer_that_closes(server, desk):
    """Symptom: a booking runs twice.
    Events: a caller closes with its first request and sends another one behind it.
    Cause: what stands behind an answer that closes is sent again by its caller."""
    with connected(server) as sock:
        sock.sendall(get("/1", close=True) + get("/2"))
        data = read_all(sock)
    assert bodies(data) == [b"/1:"] and b"Connection: close" in data
    assert desk.begun == ["/1"]


def test_a_planned_stop_in_a_row_closes_behind_the_last_begun(server, desk):
    """Symptom: requests of a row are cut by a planned stop.
    Events: two requests are being served when the stop begins; a third one comes.
    Cause: the first answer said that the connection closes."""
    first = desk.gates["/1"] = Event()
    with connected(server) as sock:
        sock.sendall(get("/1") + get("/2"))
        wait_for(lambda: len(desk.begun) == 2)
        server.retire()
        sock.sendall(get("/3"))
        gevent.sleep(0.05)
        first.set()
        data = read_all(sock)
    assert bodies(data) == [b"/1:", b"/2:"]
    assert data.count(b"Connection: close") == 1
    assert desk.begun == ["/1", "/2"]


def test_a_request_that_runs_once_waits_for_those_before_it(server, desk):
    """Symptom: nobody knows whether a booking ran whose connection was cut.
    Events: it stands behind a lookup whose answer breaks off.
    Cause: it was begun while an answer before it could still end the connection."""
    first = desk.gates["/1"] = Event()
    desk.failing.add("/1")
    with connected(server) as sock:
        sock.sendall(get("/1") + get("/2", "PUT"))
        wait_for(lambda: desk.begun)
        gevent.sleep(0.05)
        first.set()
        assert read_all(sock) == b""
    assert desk.begun == ["/1"]


def test_a_caller_that_leaves_ends_its_row(server, desk):
    """A connection whose caller is gone is forgotten once its requests have ended."""
    first = desk.gates["/1"] = Event()
    with connected(server) as sock:
        sock.sendall(get("/1") + get("/2"))
        wait_for(lambda: len(desk.begun) == 2)
    first.set()
    wait_for(lambda: server.busy == 0)


ROWS = st.lists(
    st.tuples(st.sampled_from(["GET", "POST", "PUT"]), st.binary(max_size=40)),
    min_size=1,
    max_size=5,
)


@settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(row=ROWS, seed=st.integers(0, 2**16))
def test_a_row_is_read_alike_however_it_is_split(row, seed):
    """Symptom: a request is smuggled in another one's body, or is cut.
    Events: a row of requests with bodies that hold anything, split at any byte."""
    desk = Desk()
    server = CallerServer("127.0.0.1", 0, desk, lambda: LIMITS)
    server.start()
    data, expected = b"", []
    for number, (method, body) in enumerate(row):
        last = b"Connection: close\r\n" if number == len(row) - 1 else b""
        head = f"{method} /{number} HTTP/1.1\r\nHost: h\r\n".encode()
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        data += head + last + length + body
        expected.append(f"/{number}:".encode() + body)
    chance = random.Random(seed)
    cuts = sorted(chance.sample(range(1, len(data)), min(4, len(data) - 1)))
    try:
        with connected(server) as sock:
            for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
                sock.sendall(data[start:end])
                gevent.sleep(0)
            answered = read_all(sock)
    finally:
        server.stop()
    found = [answer.partition(b"\r\n\r\n")[2] for answer in _answers(answered)]
    assert found == expected


def _answers(data):
    """Split answers by their lengths, since bodies may hold anything."""
    answers = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        answers.append(head + b"\r\n\r\n" + rest[:length])
        data = rest[length:]
    return answers


@pytest.mark.parametrize(
    "first",
    [
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Content-Length: 40\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x, chunked\r\n\r\n",
    ],
)
def test_a_length_that_hops_read_differently_ends_the_row(server, desk, first):
    """Symptom: a server runs a request that no caller sent.
    Events: a head with a length that two hops may read differently, and a request in
    what may be its body."""
    with connected(server) as sock:
        sock.sendall(first + get("/hidden"))
        data = read_all(sock)
    assert data.startswith(b"HTTP/1.1 400")
    assert desk.begun == []
