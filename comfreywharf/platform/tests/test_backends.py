"""Answers of the platform's backend servers, on real sockets."""

import struct

import attrs
import gevent
import pytest
from gevent import socket

from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    backend_for,
    complete_answer,
    request,
    running,
)
from comfreywharf.platform.backends import PlatformBackend, PlatformDialect
from comfreywharf.routing import Reason

OWN = ("X-Attempt-Id: id", "X-Response-Stamp: s")
OTHER = ("X-Attempt-Id: other", "X-Response-Stamp: s")


def make_backend(server):
    return PlatformBackend(backend_for(server).announcement, lambda: "/health")


def exchange(server):
    """Return the response to one request, whose body was read."""
    backend = make_backend(server)
    response = backend.exchange(request("POST"), "Host: a\r\n", b"", running())
    body = response.read(1000)
    answers_request = PlatformDialect().answers_request(response, "id")
    return response.status_code, body, answers_request, backend


def test_an_answer_to_an_earlier_request_is_passed_over():
    """Symptom: a booking's outcome is unknown, and a moment later it is answered.
    Sequence: a server answers an earlier request a second time, where the next
    answer is expected. Cause: the first answer to come decided."""

    class Twice(ScriptedServer):
        def _serve(self, sock, address):
            sock.recv(65536)
            sock.sendall(complete_answer(b"earlier", *OTHER))
            gevent.sleep(0.05)
            sock.sendall(complete_answer(b"own", *OWN))

    with Twice() as server:
        assert exchange(server)[:3] == (200, b"own", True)


def test_only_answers_to_others_are_no_answer():
    """Nothing is made up where the own one never comes."""
    reply = Reply(complete_answer(b"x", *OTHER), close=True)
    with ScriptedServer(reply) as server, pytest.raises(BackendError) as caught:
        exchange(server)
    assert caught.value.reason == Reason.BACKEND_LOST


def test_an_answer_that_ends_with_its_connection_is_whole():
    """Symptom: callers get no answer of a server that gives no length.
    Sequence: head, body, and a close. Cause: only framed answers were taken."""
    head = "\r\n".join(["HTTP/1.1 200 OK", *OWN, "", ""]).encode()
    with ScriptedServer(Reply(head + b"all of it", close=True)) as server:
        assert exchange(server)[:3] == (200, b"all of it", True)


def test_one_that_is_reset_on_the_way_is_not():
    """Symptom: a caller takes a part for the whole.
    Sequence: as above, but the connection is reset. Cause: any end was an end."""

    class Resets(ScriptedServer):
        def _serve(self, sock, address):
            sock.recv(65536)
            head = "\r\n".join(["HTTP/1.1 200 OK", *OWN, "", ""]).encode()
            sock.sendall(head + b"a part")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()

    with Resets() as server, pytest.raises((BackendError, OSError)):
        exchange(server)


@pytest.mark.parametrize(
    ("status", "extra", "reason"),
    [
        (421, (), Reason.NOT_YET_OWNER),
        (503, ("X-Not-Executed: 1",), Reason.REFUSED_BY_BACKEND),
        (503, (), None),
        (500, (), None),
        (200, ("X-Not-Executed: 1",), None),
    ],
)
def test_only_what_says_so_has_not_run(status, extra, reason):
    """Symptom: a booking is run twice.
    Sequence: a server's failure is taken for a refusal, and the request sent again.
    Cause: a status alone was believed."""
    data = complete_answer(b"", *OWN, *extra).replace(b"200 OK", b"%d X" % status)
    with ScriptedServer(Reply(data)) as server:
        backend = make_backend(server)
        response = backend.exchange(request("POST"), "", b"", running())
        assert PlatformDialect().refused(response) is reason


def test_a_success_without_its_stamp_isnt_passed_on():
    """It is no whole answer of the server's."""
    data = complete_answer(b"x", "X-Attempt-Id: id")
    with ScriptedServer(Reply(data)) as server:
        assert exchange(server)[2] is False


def test_a_header_with_a_line_end_cant_reach_the_server():
    """Symptom: a caller writes headers that only the router may write.
    Sequence: a value with a line end in it. Cause: it was copied as it was."""
    message = request()
    message.headers = [attrs.make_class("H", ["name", "value"])("X", "a\r\nY: b")]
    assert PlatformDialect().request_lines(message, running(), "i") is None
