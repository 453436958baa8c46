"""Requests that a node reads, or sends on, after it could not run for a while."""

import contextlib
import socket as std_socket
import time

import gevent
import pytest

from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    backend_for,
    complete_answer,
    forward_request,
    running_request,
)
from comfreywharf.platform.tests.builders import LONG_TIMEOUT_MS, wait_for
from comfreywharf.routing import Reason

KEY = 7
STOPPED_MS = 200
SETTLE_S = 0.3
"""Longer than a request without a fault takes from its arrival to its server."""


def send_unread(port, request_id, deadline_ms):
    """Send a request before any greenlet runs; return its connection."""
    sock = std_socket.create_connection(("127.0.0.1", port))
    lines = (
        "GET /look/1 HTTP/1.1",
        "Host: a.example",
        f"X-Attempt-Id: {request_id}",
        f"X-Shard-Key: {KEY}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Connection: close",
    )
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    return sock


def stop_node():
    """Let no greenlet run for `STOPPED_MS`."""
    time.sleep(STOPPED_MS / 1000)


def test_a_request_that_is_read_after_its_deadline_is_not_run(deployment):
    """Guards against work for callers that gave up while their node was stopped."""
    deployment.allow_long_requests()
    deployment.ledger.clear()
    for number, name in enumerate(deployment.nodes):
        port = deployment.ports[name][1]
        send_unread(port, f"late-{number}", deadline_ms=STOPPED_MS // 2).close()
    stop_node()
    gevent.sleep(SETTLE_S)
    assert not deployment.ledger
    headers = {"X_Deadline_Ms": str(LONG_TIMEOUT_MS)}
    assert deployment.send_request("n0", key=KEY, **headers).status == 200


def test_the_time_that_a_request_lay_unread_counts(deployment):
    """Guards against a server that works until after its caller's deadline."""
    deployment.allow_long_requests()
    sock = send_unread(deployment.ports["n0"][1], "read-late", LONG_TIMEOUT_MS)
    stop_node()
    with contextlib.closing(sock):
        wait_for(
            lambda: any(run.request_id == "read-late" for run in deployment.ledger)
        )
    (seen,) = (
        headers
        for server in deployment.servers.values()
        for headers in server.headers
        if headers["HTTP_X_ATTEMPT_ID"] == "read-late"
    )
    assert int(seen["HTTP_X_DEADLINE_MS"]) <= LONG_TIMEOUT_MS - STOPPED_MS


@pytest.mark.parametrize("late_s", [0.0, 1.0])
def test_a_request_is_not_sent_to_its_server_after_its_deadline(late_s):
    """Guards against a node that stops between the admission and the send."""
    with ScriptedServer(*[Reply(complete_answer(b"a"))] * 2) as server:
        backend = backend_for(server)
        on_time = running_request()
        assert backend.exchange(forward_request(), "", b"", on_time).read(9) == b"a"
        with pytest.raises(BackendError) as caught:
            late = running_request(timeout_s=-late_s)
            backend.exchange(forward_request(), "", b"", late)
        assert caught.value.reason == Reason.DEADLINE_BEFORE_START
        gevent.sleep(SETTLE_S)
        assert server.requests == 1
