"""Requests that a node reads, or sends on, after it could not run for a while."""

import contextlib
import socket as std_socket
from unittest import mock

import gevent
import pytest

from comfreywharf.daemon.requests import ingress
from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    backend_for,
    complete_answer,
    forward_request,
    running_request,
)
from comfreywharf.routing import Reason

KEY = 7
SETTLE_S = 0.3
"""Longer than a request without a fault takes from its arrival to its server."""


def leave_request(port, request_id):
    """Send a request and close its connection before any greenlet runs."""
    with contextlib.closing(std_socket.create_connection(("127.0.0.1", port))) as sock:
        lines = (
            "GET /look/1 HTTP/1.1",
            "Host: a.example",
            f"X-Attempt-Id: {request_id}",
            f"X-Shard-Key: {KEY}",
            "X-Deadline-Ms: 1000",
        )
        sock.sendall("\r\n".join([*lines, "", ""]).encode())


def test_a_request_that_is_read_after_its_caller_left_is_not_run(deployment):
    """Guards against work for callers that gave up while their node was stopped."""
    deployment.ledger.clear()
    for number, name in enumerate(deployment.nodes):
        leave_request(deployment.ports[name][1], f"left-{number}")
    gevent.sleep(SETTLE_S)
    assert not deployment.ledger
    assert deployment.send_request("n0", key=KEY).status == 200


def test_an_upload_whose_caller_closed_its_sending_side_is_read_on(deployment):
    """Guards against uploads that are refused since their last bytes have arrived."""
    lines = (
        "POST /book/1 HTTP/1.1",
        "Host: a.example",
        "X-Attempt-Id: upload",
        f"X-Shard-Key: {KEY}",
        "Transfer-Encoding: chunked",
    )
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    data = "\r\n".join([*lines, "", ""]).encode() + chunk * 20 + b"0\r\n\r\n"
    with mock.patch.object(ingress, "has_disconnected", return_value=True):
        assert deployment.send("n0", data).status == 413


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
