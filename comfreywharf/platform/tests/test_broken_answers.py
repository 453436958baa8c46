"""Answers that break off or have no valid status, and must not look complete."""

import contextlib
import time

import gevent
import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.connections.closing import reset_on_close
from comfreywharf.daemon.requests.bodies import WHOLE_BODY_BYTES
from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    ScriptedServer,
    forward_request,
    running_request,
)
from comfreywharf.platform.tests.builders import make_backend
from comfreywharf.routing import Reason

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Stamp: s\r\n\r\n"
PART = b"the first part"
LONG_BODY = b"x" * (8 << 20)
LOOP_S = 2.0


class EarlyServer(ScriptedServer):
    """A server that answers once it has read a head, and then ends the connection.

    ``answer`` is sent first. After ``pause_s`` the connection is reset, or closed in
    the usual way if ``resets`` is false.
    """

    def __init__(self, answer, pause_s=0.05, resets=True):
        super().__init__()
        self._answer = answer
        self._pause_s = pause_s
        self._resets = resets

    def _serve(self, sock, address):
        sock.recv(4096)
        sock.sendall(self._answer)
        gevent.sleep(self._pause_s)
        if self._resets:
            reset_on_close(sock)
        sock.close()


def slowly(body, pause_s):
    """Yield a body in parts, each of which comes after a pause."""
    for start in range(0, len(body), 1 << 16):
        gevent.sleep(pause_s)
        yield body[start : start + (1 << 16)]


BODIES = {
    "whole and long": lambda: LONG_BODY,
    "whole and short": lambda: b"x",
    "in parts": lambda: slowly(LONG_BODY, 0.0),
    "in parts that come slowly": lambda: slowly(LONG_BODY, 0.02),
    "ended before the reset": lambda: slowly(b"x" * (1 << 17), 0.01),
}


def read_answer(server, body, timeout_s=5.0):
    """Return the body of a request's answer; raises what ends it."""
    backend = make_backend(server)
    request = forward_request("POST", "/stock/1")
    response = backend.exchange(request, "", body, running_request(timeout_s=timeout_s))
    with contextlib.closing(backend):
        return response.read(WHOLE_BODY_BYTES)


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
def test_an_early_answer_that_is_reset_is_not_complete(body, pause_s):
    """Guards against a part of an answer without a length that is taken for the whole.

    The server answers an upload at once and resets the connection, mostly while the
    upload is still being written.
    """
    with EarlyServer(HEAD + PART, pause_s) as server:
        with pytest.raises((BackendError, OSError)):
            read_answer(server, body())


def test_an_answer_without_a_length_ends_with_its_connection():
    """Guards against a check that refuses whole answers as well."""
    with EarlyServer(HEAD + PART, resets=False) as server:
        assert read_answer(server, b"x") == PART


def test_an_answer_that_the_node_cuts_off_itself_is_not_complete():
    """Guards against a cancellation that makes a part of an answer look whole.

    The node cancels a request while no greenlet waits for the rest of its answer.
    """
    with EarlyServer(HEAD + PART, pause_s=30.0) as server:
        backend = make_backend(server)
        response = backend.exchange(
            forward_request("POST", "/stock/1"), "", b"x", running_request()
        )
        response.abort()
        with contextlib.closing(backend), pytest.raises((OSError, HTTPParseError)):
            response.read(WHOLE_BODY_BYTES)


STATUSES = ["000", "001", "099", "101", "600", "999"]


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("length", [b"", b"Content-Length: 14\r\n"])
@pytest.mark.parametrize("status", STATUSES)
def test_an_answer_without_a_valid_status_is_no_answer(status, length, resets):
    """Guards against bytes of a server in trouble that a caller gets as an answer."""
    head = HEAD.replace(b"200 OK\r\n", f"{status} X\r\n".encode() + length)
    with EarlyServer(head + PART, resets=resets) as server:
        with pytest.raises(BackendError) as caught:
            read_answer(server, b"x")
        assert caught.value.reason is Reason.BACKEND_LOST


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 000 X\r\n\r\n"]
)
def test_the_end_behind_an_interim_answer_is_noticed_at_once(head):
    """Guards against a loop that reads the end of the connection until the deadline."""
    with EarlyServer(head, resets=False) as server:
        began_s = time.process_time()
        with pytest.raises(BackendError) as caught:
            read_answer(server, b"x", timeout_s=2 * LOOP_S)
        assert caught.value.reason is Reason.BACKEND_LOST
        assert time.process_time() - began_s < LOOP_S


def status_of(deployment, name, status_line, method, path):
    """Return the status with which a caller gets an answer with this status line."""
    for server in deployment.servers.values():
        server.head_only = lambda headers: b"\r\n".join(
            [
                status_line,
                *(f"{name}: {value}".encode() for name, value in headers),
                b"Content-Length: 4\r\n\r\nbody",
            ]
        )
    body = b"b" if method == "POST" else b""
    return deployment.send_request(name, path, method=method, body=body).status


@pytest.mark.parametrize("status", STATUSES)
def test_callers_get_no_answer_without_a_valid_status(deployment, status):
    """Guards against such a status at the owner's node and behind another one."""
    line = f"HTTP/1.1 {status} X".encode()
    for name in (deployment.holder(7), deployment.non_holder(7)):
        for method, path in (("GET", "/look/1"), ("POST", "/book/1")):
            assert status_of(deployment, name, line, method, path) == 504
