"""Pipelined requests on one connection: order of answers, limits and smuggling."""

import contextlib
import random

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import HealthCheck, given, settings, strategies as st

from comfreywharf.daemon.callers.caller_server import (
    MAX_PIPELINED_REQUESTS,
    Answer,
    CallerServer,
)
from comfreywharf.daemon.callers.caller_stream import CallerConnectionLimits

LIMITS = CallerConnectionLimits(
    header_bytes=2000, header_timeout_s=1.0, idle_timeout_s=1.0
)


class GatedApplication:
    """An application that echoes each request's target and body.

    A request whose target is in ``gates`` is answered once its gate is set.
    """

    def __init__(self):
        self.started_targets = []
        self.gates = {}
        self.failing = set()
        self.most_at_once = 0
        self._running = 0

    def __call__(self, head, request):
        self.started_targets.append(head.target)
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
def application():
    return GatedApplication()


@pytest.fixture
def server(application):
    started = CallerServer(
        "127.0.0.1", 0, application, lambda: LIMITS, lambda head: head.method == "PUT"
    )
    started.start()
    yield started
    started.stop()


def make_request(path, method="GET", close=False):
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
    """Return the bodies of the answers, in their order."""
    return [answer.partition(b"\r\n\r\n")[2] for answer in data.split(b"HTTP/1.1 ")[1:]]


def wait_for(condition):
    with gevent.Timeout(3):
        while not condition():
            gevent.sleep(0.005)


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(
    server, application
):
    """Guards against pipelined requests that are served one at a time.

    Three requests arrive in one packet, and the first is answered last. Served one at
    a time, the second would take as long as both.
    """
    first = application.gates["/1"] = Event()
    with connected(server) as sock:
        sock.sendall(
            make_request("/1") + make_request("/2") + make_request("/3", close=True)
        )
        wait_for(lambda: len(application.started_targets) == 3)
        first.set()
        assert bodies(read_all(sock)) == [b"/1:", b"/2:", b"/3:"]


def test_the_number_of_running_pipelined_requests_is_bounded(server, application):
    """Guards against one caller that uses up a node's memory.

    A caller sends fifty requests, none of which is answered yet.
    """
    application.gates = {f"/{n}": Event() for n in range(50)}
    with connected(server) as sock:
        sock.sendall(b"".join(make_request(f"/{n}") for n in range(50)))
        wait_for(lambda: len(application.started_targets) == MAX_PIPELINED_REQUESTS)
        gevent.sleep(0.05)
        assert len(application.started_targets) == MAX_PIPELINED_REQUESTS
        for gate in application.gates.values():
            gate.set()
        wait_for(lambda: len(application.started_targets) == 50)


def test_a_failed_request_resets_the_connection_after_earlier_answers(
    server, application
):
    """Guards against a lost answer, or one that is taken for that to another request.

    The second of three requests fails before the first is answered. The connection
    must not be reset before the first answer, and the third answer must not follow.
    """
    first = application.gates["/1"] = Event()
    application.failing.add("/2")
    with connected(server) as sock:
        sock.sendall(make_request("/1") + make_request("/2") + make_request("/3"))
        wait_for(lambda: len(application.started_targets) == 3)
        first.set()
        assert bodies(read_all(sock)) == [b"/1:"]


def test_no_request_starts_after_one_that_closes_the_connection(server, application):
    """Guards against a booking that runs twice.

    The first request closes the connection, and another one follows it. A caller sends
    requests after a closing answer again on another connection.
    """
    with connected(server) as sock:
        sock.sendall(make_request("/1", close=True) + make_request("/2"))
        data = read_all(sock)
    assert bodies(data) == [b"/1:"] and b"Connection: close" in data
    assert application.started_targets == ["/1"]


def test_a_planned_stop_closes_after_the_last_started_request(server, application):
    """Guards against pipelined requests that a planned stop interrupts.

    Two requests are being served when the stop starts, and a third one arrives. Only
    the second answer may announce that the connection closes.
    """
    first = application.gates["/1"] = Event()
    with connected(server) as sock:
        sock.sendall(make_request("/1") + make_request("/2"))
        wait_for(lambda: len(application.started_targets) == 2)
        server.retire()
        sock.sendall(make_request("/3"))
        gevent.sleep(0.05)
        first.set()
        data = read_all(sock)
    assert bodies(data) == [b"/1:", b"/2:"]
    assert data.count(b"Connection: close") == 1
    assert application.started_targets == ["/1", "/2"]


def test_a_request_that_must_run_once_waits_for_earlier_ones(server, application):
    """Guards against a booking with an unknown outcome after a connection reset.

    The booking follows a lookup whose answer breaks off. It must not start while an
    earlier answer can still end the connection.
    """
    first = application.gates["/1"] = Event()
    application.failing.add("/1")
    with connected(server) as sock:
        sock.sendall(make_request("/1") + make_request("/2", "PUT"))
        wait_for(lambda: application.started_targets)
        gevent.sleep(0.05)
        first.set()
        assert read_all(sock) == b""
    assert application.started_targets == ["/1"]


def test_a_connection_is_removed_after_its_caller_disconnects(server, application):
    """The server drops the connection once its requests have ended."""
    first = application.gates["/1"] = Event()
    with connected(server) as sock:
        sock.sendall(make_request("/1") + make_request("/2"))
        wait_for(lambda: len(application.started_targets) == 2)
    first.set()
    wait_for(lambda: server.busy_count == 0)


PIPELINED_REQUESTS = st.lists(
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
@given(pipeline=PIPELINED_REQUESTS, seed=st.integers(0, 2**16))
def test_pipelined_requests_are_parsed_alike_however_they_are_split(pipeline, seed):
    """Guards against smuggled and truncated requests.

    Pipelined requests with arbitrary bodies are split into segments at any byte.
    """
    application = GatedApplication()
    server = CallerServer("127.0.0.1", 0, application, lambda: LIMITS)
    server.start()
    data, expected = b"", []
    for number, (method, body) in enumerate(pipeline):
        last = b"Connection: close\r\n" if number == len(pipeline) - 1 else b""
        head = f"{method} /{number} HTTP/1.1\r\nHost: h\r\n".encode()
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        data += head + last + length + body
        expected.append(f"/{number}:".encode() + body)
    generator = random.Random(seed)
    cuts = sorted(generator.sample(range(1, len(data)), min(4, len(data) - 1)))
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
    """Split answers by their lengths, since bodies may contain any bytes."""
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
def test_an_ambiguous_length_is_refused_and_ends_the_connection(
    server, application, first
):
    """Guards against a request that is run although no caller sent it.

    Two hops may read the length in the head differently, and another request is hidden
    in what may be the body.
    """
    with connected(server) as sock:
        sock.sendall(first + make_request("/hidden"))
        data = read_all(sock)
    assert data.startswith(b"HTTP/1.1 400")
    assert application.started_targets == []
