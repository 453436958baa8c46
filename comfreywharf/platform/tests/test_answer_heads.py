"""Answers whose server stops within their head and closes the connection.

An answer may end with its connection, so that a head which counted as complete too soon
would make a shorter answer of it that looks whole.
"""

import gevent
import pytest

from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    ScriptedServer,
    complete_answer,
    forward_request,
    running_request,
)
from comfreywharf.platform.tests.builders import make_backend
from comfreywharf.routing import Reason

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
OTHER = complete_answer(b"late", "X-Attempt-Id: other", "X-Response-Stamp: s")
LENGTH = complete_answer(b"", "X-Attempt-Id: id", "X-Response-Stamp: s")
HEADS = {
    "a length": LENGTH,
    "chunks": LENGTH.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"),
    "the end of the connection": LENGTH.replace(b"Content-Length: 0\r\n", b""),
}


class StoppingServer(ScriptedServer):
    """A server that sends some bytes in answer to each request, and closes."""

    parts = ()

    def _serve(self, sock, address):
        sock.recv(65536)
        for part in self.parts:
            sock.sendall(part)
            gevent.sleep(0.001)
        sock.close()


def reason_of(server, *parts):
    """Return the `Reason` with which a request ends whose answer is these bytes."""
    server.parts = parts
    backend = make_backend(server)
    running = running_request()
    with pytest.raises(BackendError) as caught:
        backend.exchange(forward_request("POST"), "", b"", running)
    return caught.value.reason


@pytest.mark.parametrize("before", [b"", INTERIM, 2 * INTERIM, OTHER])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_no_part_of_a_head_is_an_answer(head, before):
    """Guards against an empty or short answer that is framed as whole.

    The server stops at each byte of the head in turn, also behind interim answers and
    behind a late answer to another request.
    """
    with StoppingServer() as server:
        for length in range(len(head)):
            assert reason_of(server, before, head[:length]) is Reason.BACKEND_LOST
            if before is not OTHER:
                reason = reason_of(server, before + head[:length])
                assert reason is Reason.BACKEND_LOST


STOPS = {
    "in the status": lambda head: head[:10],
    "behind the status line": lambda head: head[: head.index(b"\r\n") + 2],
    "within a name": lambda head: head[: head.index(b"X-Attempt") + 4],
    "behind a full line": lambda head: head[:-2],
    "behind an interim head": lambda head: INTERIM,
    "in the head behind an interim one": lambda head: INTERIM + head[:-2],
}


def head_of(headers):
    lines = [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "Content-Length: 4", "", ""])


@pytest.mark.parametrize("stop", STOPS.values(), ids=STOPS)
def test_callers_get_no_success_without_a_whole_head(deployment, stop):
    """Guards against a 200 with an empty or short body, framed as whole, at the owner's
    node and behind another one."""
    for server in deployment.servers.values():
        server.head_only = lambda headers: stop(head_of(headers).encode())
    for name in (deployment.holder(7), deployment.non_holder(7)):
        for method, path in (("GET", "/look/1"), ("POST", "/book/1")):
            body = b"b" if method == "POST" else b""
            answer = deployment.send_request(name, path, method=method, body=body)
            assert answer.status in (502, 504)
            assert "x-response-stamp" not in answer.headers
            assert deployment.ledger
