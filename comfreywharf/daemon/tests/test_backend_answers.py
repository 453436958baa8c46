"""Each caller gets its own answer, and a truncated answer is an error.

A scripted server sends each kind of bad answer over a real socket.
"""

import itertools

import gevent
import orjson
import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.http import RequestClient
from comfreywharf.daemon.requests.wire import OwnDialect
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

NUMBERS = itertools.count()


def exchange(backend, timeout_s=5.0, method="GET", body=b"", request_id=""):
    """Return status and body of one request, which has an id of its own."""
    request_id = request_id or f"request-{next(NUMBERS)}"
    response = backend.exchange(
        forward_request(method, request_id=request_id),
        "",
        body,
        running_request(request_id, timeout_s),
    )
    return response.status_code, response.read(1000)


def failure(backend, **fields):
    """Return the reason of the `BackendError` that one request raises."""
    with pytest.raises(BackendError) as caught:
        exchange(backend, **fields)
    return caught.value.reason


def test_a_late_answer_is_not_returned_to_the_next_request():
    """A connection isn't reused after a timeout.

    Otherwise the next request would be sent on it, the late answer would arrive
    there, and its caller would read another caller's booking.
    """
    late = Reply(complete_answer(b"late"), wait_s=0.1)
    with ScriptedServer(late, Reply(complete_answer(b"own"))) as server:
        backend = backend_for(server)
        assert failure(backend, timeout_s=0.05) == Reason.DEADLINE_PASSED
        assert exchange(backend) == (200, b"own")
        assert server.connections == 2


@pytest.mark.parametrize(
    "surplus",
    [complete_answer(b"doubled"), b"rubbish", b"\r\n\r\nHTTP/1.1 500 No\r\n\r\n"],
)
def test_surplus_bytes_after_an_answer_change_no_answer(surplus):
    """Surplus bytes after an answer are ignored, and the connection is closed.

    A server may send two answers in one segment. If the HTTP library went on
    parsing, the first answer would get the status of the second and both bodies.
    If the connection went back to the pool, the next request would get the second.
    """
    two_answers = Reply(complete_answer(b"first") + surplus)
    with ScriptedServer(two_answers, Reply(complete_answer(b"second"))) as server:
        backend = backend_for(server)
        assert exchange(backend) == (200, b"first")
        assert exchange(backend) == (200, b"second")
        assert server.connections == 2


@pytest.mark.parametrize(
    ("length", "refused", "connections"),
    [(4096, True, 2), (4096, False, 1), (100, True, 1)],
)
def test_a_connection_is_closed_if_a_long_body_was_refused(
    length, refused, connections
):
    """A connection isn't reused while the server may still read a refused body.

    A server may refuse an upload before it has read the body, and then read on. A
    request that is sent next on that connection would reach the server only after
    that, possibly after its caller has disconnected. A complete answer alone doesn't
    prove that the server has finished the request.
    """
    first = complete_answer(b"full")
    if refused:
        first = first.replace(b"200 OK", b"503 Full")
    with ScriptedServer(Reply(first), Reply(complete_answer(b"next"))) as server:
        backend = backend_for(server)
        exchange(backend, method="POST", body=b"x" * length)
        assert exchange(backend) == (200, b"next")
        assert server.connections == connections


def test_bytes_on_an_idle_connection_close_it():
    """A second answer that arrives later is detected before the next send."""
    with ScriptedServer(
        Reply(complete_answer(b"1")), Reply(complete_answer(b"2"))
    ) as server:
        backend = backend_for(server)
        exchange(backend)
        server.sockets[0].sendall(complete_answer(b"late"))
        assert exchange(backend) == (200, b"2")
        assert server.connections == 2


@pytest.mark.parametrize(
    "truncated",
    [
        complete_answer(b"whole")[:-2],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length given",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nno last chunk",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"",
    ],
    ids=["length", "chunks", "no length", "no chunks", "headers", "nothing"],
)
def test_a_truncated_answer_is_an_error(truncated):
    """The end of the connection isn't accepted as the end of an answer.

    Otherwise a caller would get half of a measurement sheet with status 200 when
    the server's connection ends in the middle of an answer.
    """
    with ScriptedServer(Reply(truncated, close=True)) as server:
        with pytest.raises((BackendError, HTTPParseError)):
            exchange(backend_for(server))


def test_a_request_is_sent_once_whatever_its_method():
    """The HTTP library doesn't resend a request whose connection is closed.

    By default it resends requests with an idempotent method, so that one GET that
    crashes its server would crash it again after each restart.
    """
    closed = [Reply(b"", close=True)] * 3
    with ScriptedServer(Reply(complete_answer(b"1")), *closed) as server:
        backend = backend_for(server)
        exchange(backend)
        assert failure(backend) == Reason.BACKEND_LOST
        assert server.requests == 2


def test_a_connection_that_the_server_closed_while_idle_is_not_used():
    """The request goes out on a new connection instead of being lost."""
    closed = Reply(complete_answer(b"1"), close=True)
    with ScriptedServer(closed, Reply(complete_answer(b"2"))) as server:
        backend = backend_for(server)
        exchange(backend)
        assert exchange(backend) == (200, b"2")


def test_a_refused_connection_proves_that_nothing_ran():
    """The reason of the error is one that means "not run"."""
    with ScriptedServer() as server:
        backend = backend_for(server)
    assert failure(backend) == Reason.NO_BACKEND


@pytest.mark.parametrize("instance, trusted", [("1", True), ("2", False)])
def test_only_the_process_that_had_the_request_can_prove_it_not_run(instance, trusted):
    """A cancellation reply from another instance proves nothing.

    A server crashes while it runs a request, and is restarted at the same port. The
    node's cancellation reaches the new process, which has no record of the request
    and replies that it didn't run. If the node trusted that, the request would run
    again and book twice.
    """
    document = b'{"cancelled": true, "not_run": true, "instance": "%s"}'
    answer = complete_answer(document % instance.encode())
    with ScriptedServer(Reply(answer)) as server:
        reply = backend_for(server).cancel("attempt", "id")
    assert (reply.confirmed, reply.not_run) == (trusted, trusted)


def test_a_request_that_is_sent_again_uses_another_connection():
    """Guards against a repeated answer to the first send that is taken for the answer
    to the second. The pool has room for one connection."""
    answers = [Reply(complete_answer(b"%d" % number)) for number in range(3)]
    with ScriptedServer(*answers) as server:
        backend = backend_for(server)
        assert exchange(backend, request_id="first") == (200, b"0")
        assert exchange(backend, request_id="second") == (200, b"1")
        assert server.connections == 1
        assert exchange(backend, request_id="first") == (200, b"2")
        assert server.connections == 2


def test_connections_that_carried_a_request_are_kept_for_others():
    """Guards against a closed connection for each refused request that is resent."""
    with ScriptedServer() as server:
        client = RequestClient(
            "127.0.0.1", server.port, concurrency=3, connect_timeout_s=1.0
        )
        first, second = (client.connect_for(name, boottime_s()) for name in "ab")
        client.give_back(second)
        client.give_back(first)
        assert client.connect_for("a", boottime_s()) is second
        third = client.connect_for("a", boottime_s())
        assert third not in (first, second)
        assert client.connect_for("c", boottime_s()) is first


def test_resent_requests_at_the_connection_limit_dont_wait_for_each_other():
    """Guards against requests that each keep a connection that they can't use, and
    wait for another until their deadlines."""
    with ScriptedServer() as server:
        client = RequestClient(
            "127.0.0.1", server.port, concurrency=4, connect_timeout_s=1.0
        )
        ids = [f"request-{number}" for number in range(8)]

        def send(request_id):
            sock = client.connect_for(request_id, boottime_s())
            gevent.sleep(0.001)
            client.give_back(sock)

        with gevent.Timeout(5.0):
            for _ in range(6):
                gevent.joinall([gevent.spawn(send, i) for i in ids], raise_error=True)
        assert client.connect_for("another", boottime_s())


@pytest.mark.parametrize(
    ("named", "reason"),
    [
        ("Comfreywharf-Request-Id: id", Reason.REFUSED_BY_BACKEND),
        ("X-Other: 1", Reason.REFUSED_BY_BACKEND),
        ("Comfreywharf-Request-Id: other", None),
    ],
)
def test_a_refusal_of_another_request_proves_nothing(named, reason):
    """Guards against a request that counts as not run, and runs, since its server
    repeated the refusal of an earlier one."""
    data = complete_answer(b"", named, "Comfreywharf-Not-Run: 1")
    with ScriptedServer(Reply(data.replace(b"200 OK", b"503 Full"))) as server:
        backend = backend_for(server)
        response = backend.exchange(forward_request("POST"), "", b"", running_request())
        assert OwnDialect().refused(response, "id") is reason


def test_a_repeated_reply_proves_no_other_request_not_run():
    """Guards against a request that runs twice: the server repeats its reply to an
    earlier cancellation, where that to the next one is expected."""

    def reply_of(not_run):
        document = {"instance": "1", "cancelled": True, "not_run": not_run}
        return complete_answer(orjson.dumps(document))

    class Repeating(ScriptedServer):
        def _serve(self, sock, address):
            repeated = b""
            while b"\r\n\r\n" in sock.recv(65536):
                self.requests += 1
                own = reply_of(not_run=self.requests == 1)
                sock.sendall(repeated or own)
                repeated = own

    with Repeating() as server:
        backend = backend_for(server)
        replies = [backend.cancel("attempt", f"request-{n}") for n in range(2)]
    assert [reply.not_run for reply in replies] == [True, False]
