"""Answers that go on until the connection is closed."""

import gevent
import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.connections.http import SingleSendClient
from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    backend_for,
    forward_request,
    running_request,
)
from comfreywharf.daemon.tests.endless_server import EndlessServer
from comfreywharf.routing import Outcome, Reason, verdict_of

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "lines": (OK, b"X-A: b\r\n"),
    "one header": (OK + b"X-A: ", b"b"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status text": (b"HTTP/1.1 200 ", b"o"),
    "bytes that are no answer": (b"", b"\0"),
}
BODIES = {
    "chunks": (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "a chunk's extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "a length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
}
HANG_S = 10.0
READ_S = 0.5
TICK_S = 0.01
MAX_TAKEN_BYTES = 16 * 1024 * 1024
"""What a client takes at most, with the buffers of both sockets."""


class Ticker:
    """A greenlet that counts its wake-ups, as every other greenlet of a node has."""

    def __enter__(self):
        self.ticks = 0
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *error):
        self._greenlet.kill()

    def _run(self):
        while True:
            gevent.sleep(TICK_S)
            self.ticks += 1


def make_client(server):
    """Return a client of a server, with one connection."""
    return SingleSendClient(
        "127.0.0.1", server.port, concurrency=1, connect_timeout_s=1.0
    )


def read_until_error(client, read):
    """Read an answer with ``read(response)`` again and again; return what ends it."""
    response = None
    try:
        with gevent.Timeout(READ_S):
            response = client.request("GET", "/")
            while True:
                read(response)
    except (gevent.Timeout, HTTPParseError) as error:
        return error
    finally:
        if response is not None:
            response.release()


@pytest.mark.parametrize("name", HEADS)
def test_a_head_without_an_end_is_refused_within_a_bound(name):
    """Guards against a sick server that stops its node and fills its memory."""
    with EndlessServer(*HEADS[name]) as server:
        client = make_client(server)
        with gevent.Timeout(HANG_S), pytest.raises(HTTPParseError):
            client.request("GET", "/")
        assert server.closed.wait(HANG_S)
        assert server.sent_bytes <= MAX_TAKEN_BYTES
        client.close()


@pytest.mark.parametrize("name", BODIES)
def test_a_body_without_an_end_leaves_the_loop_to_others(name):
    """Guards against a deadline that never fires, and others that don't run."""
    with EndlessServer(*BODIES[name]) as server, Ticker() as ticker:
        client = make_client(server)
        error = read_until_error(client, lambda response: response.read(65536))
        assert server.closed.wait(HANG_S)
        client.close()
    assert ticker.ticks or isinstance(error, HTTPParseError)


@pytest.mark.parametrize("name", BODIES)
def test_an_answer_that_is_read_whole_is_bounded(name):
    """Guards against memory that a store's or a probe's answer fills."""
    with EndlessServer(*BODIES[name]) as server:
        client = make_client(server)
        error = read_until_error(client, lambda response: response.read_whole(10_000))
        assert isinstance(error, HTTPParseError)
        assert server.closed.wait(HANG_S)
        assert server.sent_bytes <= MAX_TAKEN_BYTES
        client.close()


@pytest.mark.parametrize("name", BODIES)
def test_an_answer_whose_body_is_dropped_is_bounded(name):
    """Guards against a grant whose answer goes on until its time is over."""
    with EndlessServer(*BODIES[name]) as server:
        client = make_client(server)
        with gevent.Timeout(HANG_S), pytest.raises(HTTPParseError):
            client.exchange(client.connect(), "POST", "/", "", b"")
        assert server.closed.wait(HANG_S)
        assert server.sent_bytes <= MAX_TAKEN_BYTES
        client.close()


@pytest.mark.parametrize("name", HEADS)
def test_a_request_with_an_endless_answer_ends_as_unknown(name):
    """Guards against a claim that it hasn't run, and a connection that is kept."""
    with EndlessServer(*HEADS[name]) as server:
        backend = backend_for(server)
        for _ in range(2):
            with gevent.Timeout(HANG_S), pytest.raises(BackendError) as caught:
                backend.exchange(
                    forward_request("GET"), "", b"", running_request(timeout_s=HANG_S)
                )
            assert caught.value.reason is Reason.BACKEND_LOST
        assert verdict_of(Reason.BACKEND_LOST).outcome is Outcome.UNKNOWN
        assert not backend.awaits_answer
        backend.close()
