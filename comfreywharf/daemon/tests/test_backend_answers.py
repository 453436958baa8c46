"""Answers on shared connections: never another caller's, never a part as the whole.

A scripted server sends each kind of bad answer over a real socket.
"""

import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    backend_for,
    request,
    running,
    whole,
)
from comfreywharf.routing import Reason


def exchange(backend, timeout_s=5.0, method="GET", body=b""):
    """Return status and body of one request."""
    response = backend.exchange(request(method), "", body, running(timeout_s=timeout_s))
    return response.status_code, response.read(1000)


def failure(backend, **fields):
    """Return the reason for which one request has no answer."""
    with pytest.raises(BackendError) as caught:
        exchange(backend, **fields)
    return caught.value.reason


def test_an_answer_after_the_timeout_is_not_the_next_callers():
    """Symptom: a caller reads a stranger's booking.

    Sequence: a request times out; the next one takes the same connection; the
    late answer arrives. Cause: the connection went back to the pool.
    """
    late = Reply(whole(b"late"), wait_s=0.1)
    with ScriptedServer(late, Reply(whole(b"own"))) as server:
        backend = backend_for(server)
        assert failure(backend, timeout_s=0.05) == Reason.DEADLINE_PASSED
        assert exchange(backend) == (200, b"own")
        assert server.connections == 2


@pytest.mark.parametrize(
    "surplus", [whole(b"doubled"), b"rubbish", b"\r\n\r\nHTTP/1.1 500 No\r\n\r\n"]
)
def test_bytes_behind_an_answer_change_neither_it_nor_the_next(surplus):
    """Symptom: an answer with another one's status, and both bodies.

    Sequence: a server sends one answer too many in the same segment. Cause: the
    library goes on parsing, and the connection is back in the pool by then.
    """
    doubled = Reply(whole(b"first") + surplus)
    with ScriptedServer(doubled, Reply(whole(b"second"))) as server:
        backend = backend_for(server)
        assert exchange(backend) == (200, b"first")
        assert exchange(backend) == (200, b"second")
        assert server.connections == 2


@pytest.mark.parametrize(
    ("length", "refused", "connections"),
    [(4096, True, 2), (4096, False, 1), (100, True, 1)],
)
def test_a_connection_with_half_a_body_on_it_is_given_up(length, refused, connections):
    """Symptom: a request reaches its server a second after its caller has left.

    Sequence: a server refuses an upload before it has read it, and reads on; the
    next request goes out on that connection; its caller leaves. Cause: a whole
    answer was taken for the sign that the server is done with the request.
    """
    first = whole(b"full")
    if refused:
        first = first.replace(b"200 OK", b"503 Full")
    with ScriptedServer(Reply(first), Reply(whole(b"next"))) as server:
        backend = backend_for(server)
        exchange(backend, method="POST", body=b"x" * length)
        assert exchange(backend) == (200, b"next")
        assert server.connections == connections


def test_bytes_that_come_while_a_connection_is_idle_retire_it():
    """A doubled answer that arrives later is seen before the next send."""
    with ScriptedServer(Reply(whole(b"1")), Reply(whole(b"2"))) as server:
        backend = backend_for(server)
        exchange(backend)
        server.sockets[0].sendall(whole(b"late"))
        assert exchange(backend) == (200, b"2")
        assert server.connections == 2


@pytest.mark.parametrize(
    "cut",
    [
        whole(b"whole")[:-2],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length given",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"",
    ],
    ids=["length", "chunks", "no length", "headers", "nothing"],
)
def test_a_cut_answer_is_an_error(cut):
    """Symptom: half of a measurement sheet, told as a success.

    Sequence: the server's connection ends in the middle of an answer. Cause: an
    end of the stream was taken for the end of the answer.
    """
    with ScriptedServer(Reply(cut, close=True)) as server:
        with pytest.raises((BackendError, HTTPParseError)):
            exchange(backend_for(server))


def test_a_request_is_sent_once_whatever_its_method():
    """Symptom: one GET that crashes a server crashes it again and again.

    Sequence: the server closes the connection instead of answering. Cause: the
    library sends requests with an idempotent method again by itself.
    """
    ends = [Reply(b"", close=True)] * 3
    with ScriptedServer(Reply(whole(b"1")), *ends) as server:
        backend = backend_for(server)
        exchange(backend)
        assert failure(backend) == Reason.BACKEND_LOST
        assert server.requests == 2


def test_a_connection_that_the_server_closed_while_idle_is_not_used():
    """The request goes out on a new connection instead of being lost."""
    closed = Reply(whole(b"1"), close=True)
    with ScriptedServer(closed, Reply(whole(b"2"))) as server:
        backend = backend_for(server)
        exchange(backend)
        assert exchange(backend) == (200, b"2")


def test_no_connection_means_not_run():
    """A refused connection proves that nothing ran."""
    with ScriptedServer() as server:
        backend = backend_for(server)
    assert failure(backend) == Reason.NO_BACKEND


@pytest.mark.parametrize("instance, believed", [("1", True), ("2", False)])
def test_only_the_process_that_had_the_request_can_prove_it_not_run(instance, believed):
    """Symptom: a request whose server died runs again, and books twice.

    Sequence: the server dies with the request and is restarted at the same
    port; the node's cancellation reaches the new process, which knows of no such
    request and says that it didn't run. Cause: the new process is taken for the
    one that had the request.
    """
    document = b'{"cancelled": true, "not_run": true, "instance": "%s"}'
    answer = whole(document % instance.encode())
    with ScriptedServer(Reply(answer)) as server:
        reply = backend_for(server).cancel("attempt", "id")
    assert (reply.confirmed, reply.not_run) == (believed, believed)
