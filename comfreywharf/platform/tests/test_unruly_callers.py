"""Callers that send, hold open or leave unread without end, against a real process."""

import pytest

from comfreywharf.platform.tests.node_process import NodeProcess, make_request

pytestmark = pytest.mark.processes

MEMORY_MB = 128
MAX_DESCRIPTORS = 400
FLOOD_BYTES = 40 << 20
LONG_BODY_BYTES = 250_000
PIPELINED_REQUESTS = 16
MAX_HEADER_BYTES = 8192

CHUNKED = make_request("POST", "/stock/1", Transfer_Encoding="chunked")

FLOODS = {
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "one trailer": (CHUNKED + b"0\r\nX-A: ", b"b"),
    "a chunk's extension": (CHUNKED + b"1;", b"x"),
    "chunks": (CHUNKED, b"2\r\nxx\r\n"),
    "a head": (b"GET /look/1 HTTP/1.1\r\n", b"X-A: b\r\n"),
    "one header": (b"GET /look/1 HTTP/1.1\r\nX-A: ", b"b"),
    "empty lines": (b"", b"\r\n"),
    "requests": (b"", make_request()),
}

PORTS = {"ready": 2, "heartbeats": 3}
HEARTBEAT = (
    b"POST /-/instances/i-1/heartbeat HTTP/1.1\r\nHost: x\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
FLOODS_OF_PORTS = {
    "trailers": (HEARTBEAT + b"0\r\n", b"X-A: b\r\n"),
    "chunks": (HEARTBEAT, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "a length": (
        b"POST /-/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999999\r\n\r\n",
        b"x",
    ),
    "a head": (b"GET /-/ready HTTP/1.1\r\n", b"X-A: b\r\n"),
}


@pytest.fixture
def node(tmp_path):
    """Yield a node with long timeouts, so that only its own bounds end a connection."""
    limits = {"headerTimeout": "600s", "idleTimeout": "600s"}
    with NodeProcess(tmp_path, MEMORY_MB, MAX_DESCRIPTORS, **limits) as started:
        yield started


def assert_within_limits(node):
    """Check that the process serves an ordinary request within its machine's limits."""
    assert node.alive
    assert node.peak_memory_mb <= MEMORY_MB
    assert node.descriptors < MAX_DESCRIPTORS
    answer = node.send_request()
    assert answer.status == 200, answer.body
    assert node.alive
    assert node.peak_memory_mb <= MEMORY_MB


@pytest.mark.parametrize("name", FLOODS)
def test_a_request_without_an_end_stops_nobody_else(node, name):
    """Guards against a process that runs out of memory, or serves one caller only."""
    start, block = FLOODS[name]
    with node.flood(start, block, 3, FLOOD_BYTES):
        assert_within_limits(node)


@pytest.mark.parametrize("size_bytes", [1, 2, 3])
def test_a_body_in_small_chunks_takes_no_more_memory_than_its_bytes(node, size_bytes):
    """Guards against memory that is taken for each chunk of an unfinished body."""
    chunk = b"%x\r\n%s\r\n" % (size_bytes, b"x" * size_bytes)
    node.hold(CHUNKED + chunk * (LONG_BODY_BYTES // size_bytes), 40)
    assert_within_limits(node)


def test_unfinished_bodies_stay_within_the_memory(node):
    """Guards against callers that never send the last byte of their bodies."""
    body = b"x" * LONG_BODY_BYTES
    data = make_request(
        "POST", "/stock/1", body, Content_Length=str(LONG_BODY_BYTES + 1)
    )
    node.hold(data, MAX_DESCRIPTORS - 40)
    assert_within_limits(node)


def test_uploads_that_wait_stay_within_the_memory(node):
    """Guards against callers whose long bodies wait for a slot of the server."""
    node.server.may_finish.clear()
    length = str(4 * LONG_BODY_BYTES)
    data = make_request(
        "POST", "/stock/1", b"x" * 2 * LONG_BODY_BYTES, Content_Length=length
    )
    node.hold(data, MAX_DESCRIPTORS - 40)
    node.server.may_finish.set()
    assert_within_limits(node)


def test_uploads_that_stall_leave_their_slots_to_others(node):
    """Guards against a few callers that hold all slots of a server to their deadline.

    The ordinary request has less time than the uploads have left.
    """
    length = str(4 * LONG_BODY_BYTES)
    data = make_request(
        "POST", "/stock/1", b"x" * 2 * LONG_BODY_BYTES, Content_Length=length
    )
    node.hold(data, 20)
    assert node.send_request(X_Deadline_Ms="8000").status == 200


def test_unread_answers_stay_within_the_memory(node):
    """Guards against callers that send requests and never read the answers."""
    node.server.answer_body = b"x" * LONG_BODY_BYTES
    for _ in range(8):
        # As many as wait for a slot of the server without being refused. The next ones
        # come before the first answers are given up, 10 s after they were written.
        node.hold(pipelined(), 16, settled_samples=3)
    assert_within_limits(node)


def test_requests_with_many_headers_stay_within_the_memory(node):
    """Guards against memory that is taken for each header of a waiting request."""
    node.server.may_finish.clear()
    headers = {f"A{number:x}": "" for number in range(MAX_HEADER_BYTES // 10)}
    node.hold(pipelined(**headers), 80)
    node.server.may_finish.set()
    assert_within_limits(node)


def test_connections_without_requests_leave_descriptors_to_others(node):
    """Guards against callers that connect and then send nothing."""
    node.hold(b"", MAX_DESCRIPTORS)
    assert_within_limits(node)


def test_unfinished_heads_leave_descriptors_to_others(node):
    """Guards against callers that never send the end of a head."""
    node.hold(make_request()[:-2], MAX_DESCRIPTORS)
    assert_within_limits(node)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("name", FLOODS_OF_PORTS)
def test_a_call_without_an_end_stops_no_request(node, port, name):
    """Guards against a call to another port of the node that never ends."""
    start, block = FLOODS_OF_PORTS[name]
    with node.flood(start, block, 3, FLOOD_BYTES, node.ports[PORTS[port]]):
        assert_within_limits(node)


@pytest.mark.parametrize("port", PORTS)
def test_connections_to_another_port_leave_descriptors_to_callers(node, port):
    """Guards against connections to another port of the node that stay open."""
    node.hold(b"", MAX_DESCRIPTORS, node.ports[PORTS[port]])
    assert_within_limits(node)


def pipelined(**headers):
    """Return pipelined requests, which may be repeated and so run beside each other."""
    return b"".join(
        make_request(X_Attempt_Id=f"id-{number}", **headers)
        for number in range(PIPELINED_REQUESTS)
    )
