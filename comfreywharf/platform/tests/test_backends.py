"""Answers of the platform's backend servers over real sockets."""

import struct

import attrs
import gevent
import pytest
from gevent import socket

from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    complete_answer,
    forward_request,
    running_request,
)
from comfreywharf.platform.backends import PlatformDialect
from comfreywharf.platform.tests.builders import make_backend
from comfreywharf.routing import Reason

OWN = ("X-Attempt-Id: id", "X-Response-Stamp: s")
OTHER = ("X-Attempt-Id: other", "X-Response-Stamp: s")


def exchange(server):
    """Return the response to one request, with its body read."""
    backend = make_backend(server)
    response = backend.exchange(
        forward_request("POST"), "Host: a\r\n", b"", running_request()
    )
    body = response.read(1000)
    answers_request = PlatformDialect().answers_request(response, "id")
    return response.status_code, body, answers_request, backend


def test_an_answer_to_an_earlier_request_is_skipped():
    """Guards against a request that ends as unknown although its answer follows.

    A server answers an earlier request a second time, where the next answer is
    expected.
    """

    class Twice(ScriptedServer):
        def _serve(self, sock, address):
            sock.recv(65536)
            sock.sendall(complete_answer(b"earlier", *OTHER))
            gevent.sleep(0.05)
            sock.sendall(complete_answer(b"own", *OWN))

    with Twice() as server:
        assert exchange(server)[:3] == (200, b"own", True)


def refusal_of(request_id):
    """Return the bytes of an answer that says that a request wasn't run."""
    lines = [f"X-Attempt-Id: {request_id}", "X-Not-Executed: 1"]
    return complete_answer(b"", *lines).replace(b"200 OK", b"503 Full")


@pytest.mark.parametrize("first", [refusal_of("id"), complete_answer(b"first", *OWN)])
def test_a_repeated_answer_isnt_taken_for_that_to_the_next_send(first):
    """Guards against a booking that is answered 503 and runs, or runs twice.

    A server answers the first send of a request a second time where the answer to the
    second send is expected. Both answers bear the request's id.
    """

    class Repeating(ScriptedServer):
        runs = 0

        def _serve(self, sock, address):
            repeated = b""
            while b"\r\n\r\n" in sock.recv(65536):
                self.requests += 1
                if self.requests == 1:
                    sock.sendall(first)
                    repeated = first
                    continue
                sock.sendall(repeated)
                self.runs += 1
                sock.sendall(complete_answer(b"second", *OWN))

    with Repeating() as server:
        backend = make_backend(server)
        answers = []
        for _ in range(2):
            response = backend.exchange(
                forward_request("POST"), "Host: a\r\n", b"", running_request()
            )
            answers.append((response.status_code, response.read(1000)))
        assert server.runs == 1
        assert answers[1] == (200, b"second")


def test_a_request_is_lost_if_only_other_answers_arrive():
    """If the own answer never arrives, the request is lost."""
    reply = Reply(complete_answer(b"x", *OTHER), close=True)
    with ScriptedServer(reply) as server, pytest.raises(BackendError) as caught:
        exchange(server)
    assert caught.value.reason == Reason.BACKEND_LOST


def test_a_connection_with_an_answer_without_an_id_isnt_used_again():
    """Guards against a copy of that answer that is taken for one to a later request."""
    nameless = complete_answer(b"", "X-Not-Executed: 1").replace(b"200 OK", b"503 Full")
    with ScriptedServer(*3 * [Reply(nameless)]) as server:
        backend = make_backend(server)
        for number in range(3):
            request = forward_request("POST", request_id=f"request-{number}")
            running = running_request(request.request_id)
            response = backend.exchange(request, "Host: a\r\n", b"", running)
            refused = PlatformDialect().refused(response, request.request_id)
            assert refused is Reason.REFUSED_BY_BACKEND
        assert server.connections == 3


def test_refusals_of_other_requests_prove_nothing():
    """Guards against a request that counts as not run since a server repeats its
    refusals of others more often than answers are skipped."""

    class Repeating(ScriptedServer):
        def _serve(self, sock, address):
            sock.recv(65536)
            for _ in range(4):
                sock.sendall(refusal_of("other"))
                gevent.sleep(0.02)

    with Repeating() as server, pytest.raises(BackendError) as caught:
        backend = make_backend(server)
        response = backend.exchange(forward_request("POST"), "", b"", running_request())
        response.read(1000)
        pytest.fail(f"{PlatformDialect().refused(response, 'id')} for another request")
    assert caught.value.reason == Reason.BACKEND_LOST


def test_an_answer_without_a_length_ends_with_its_connection():
    """Guards against callers without an answer from a server that sends no length.

    The server sends a head and a body, and closes the connection.
    """
    head = "\r\n".join(["HTTP/1.1 200 OK", *OWN, "", ""]).encode()
    with ScriptedServer(Reply(head + b"all of it", close=True)) as server:
        assert exchange(server)[:3] == (200, b"all of it", True)


def test_an_answer_that_a_reset_cuts_off_is_an_error():
    """Guards against a partial answer that is taken for a complete one.

    The connection is reset within a body without a length.
    """

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
def test_only_explicit_refusals_count_as_not_run(status, extra, reason):
    """Guards against a request that runs twice although it isn't repeatable.

    A server's failure must not be taken for a refusal because of its status alone,
    since the request would then be sent again.
    """
    data = complete_answer(b"", *OWN, *extra).replace(b"200 OK", b"%d X" % status)
    with ScriptedServer(Reply(data)) as server:
        backend = make_backend(server)
        response = backend.exchange(forward_request("POST"), "", b"", running_request())
        assert PlatformDialect().refused(response, "id") is reason


def test_a_success_without_its_stamp_is_rejected():
    """Without the stamp it isn't a complete answer of the server."""
    data = complete_answer(b"x", "X-Attempt-Id: id")
    with ScriptedServer(Reply(data)) as server:
        assert exchange(server)[2] is False


def test_a_header_with_a_line_break_isnt_sent():
    """Guards against callers who inject headers that only the router may set.

    A header's value contains a line break.
    """
    message = forward_request()
    message.headers = [attrs.make_class("H", ["name", "value"])("X", "a\r\nY: b")]
    assert PlatformDialect().request_lines(message, running_request(), "i") is None
