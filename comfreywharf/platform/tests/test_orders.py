"""Orders to a backend server: grants in time, and few connections."""

import contextlib
import struct
from socket import SO_LINGER, SOL_SOCKET
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from comfreywharf.daemon.tests.builders import ScriptedServer, complete_answer
from comfreywharf.ownership.holds import GrantAnswer
from comfreywharf.platform import backends
from comfreywharf.platform.backends import PlatformOrders
from comfreywharf.platform.tests.builders import ignore

RESET = struct.pack("ii", 1, 0)


class Server:
    """A server that accepts all orders after a delay, and counts connections."""

    def __init__(self, delay_s=0.0, headers=()):
        self.delay_s = delay_s
        self.headers = [("Content-Length", "0"), *headers]
        self.steps = []
        self.connections = 0
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._answer, log=None, spawn=Pool()
        )
        accept = self._server.do_handle

        def count(*args):
            self.connections += 1
            return accept(*args)

        self._server.do_handle = count
        self._server.start()
        self.port = self._server.server_port

    def _answer(self, environ, start_response):
        environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/-/grant":
            gevent.sleep(self.delay_s)
            self.steps.append("answered")
        start_response("200 OK", self.headers)
        return [b""]

    def stop(self):
        self._server.stop(timeout=0)


@pytest.fixture
def serve():
    """Yield a function that starts a `Server`."""
    with contextlib.ExitStack() as stack:

        def start(**fields):
            server = Server(**fields)
            stack.callback(server.stop)
            return server

        yield start


def make_orders(port):
    return PlatformOrders("127.0.0.1", port, lambda: "/health", ignore)


def make_order(steps=None):
    """Return a grant's order; ``steps`` records when its hold is computed."""
    steps = [] if steps is None else steps
    return SimpleNamespace(
        fence=5, handover="", hold_s_at=lambda now_s: steps.append("computed") or 1.0
    )


def test_the_length_of_a_hold_is_computed_when_its_order_is_sent(serve, monkeypatch):
    """Guards against two holders of a key, one of them 0.29 s beyond its node's lease.

    This occurs with four orders on one connection of a server that takes 0.15 s for
    each, if the length of a hold is computed before the wait for the connection.
    """
    monkeypatch.setattr(backends, "GRANT_CONNECTIONS", 1)
    server = serve(delay_s=0.02)
    orders = make_orders(server.port)
    process = orders.connect_to_process()
    tasks = [
        gevent.spawn(orders.grant, process, (i, i), make_order(server.steps))
        for i in range(3)
    ]
    gevent.joinall(tasks)
    assert [task.value for task in tasks] == [GrantAnswer.TAKEN] * 3
    assert server.steps == ["computed", "answered"] * 3


def test_an_order_that_is_too_late_returns_its_connection(serve):
    """The next order needs the connection."""
    orders = make_orders(serve().port)
    process = orders.connect_to_process()
    late = SimpleNamespace(fence=5, handover="", hold_s_at=lambda now_s: 0.0)
    for _ in range(20):
        assert orders.grant(process, (0, 9), late) is GrantAnswer.UNSENT
    assert orders.grant(process, (0, 9), make_order()) is GrantAnswer.TAKEN


def test_a_connection_confirms_its_process_before_it_is_closed(serve):
    """Guards against unavailable keys, and a new lease each second, as a server leaves.

    The server closes each connection with its answer. The answer has to confirm the
    process before the connection is removed from the pool.
    """
    server = serve(headers=[("Connection", "close")])
    orders = make_orders(server.port)
    process = orders.connect_to_process()
    for _ in range(5):
        connect_all(orders)
        assert orders.connect_to_process() == process
        orders.grant(process, (0, 9), make_order())


def connect_all(orders):
    """Wait until all connections of the orders are open and confirmed."""
    pool = orders._grants._pool
    for _ in range(200):
        orders.connect_to_process()
        if pool.tracker.confirmed_count == backends.GRANT_CONNECTIONS:
            return
        gevent.sleep(0.01)


def test_concurrent_calls_of_reach_open_few_connections(serve):
    """Guards against a node that uses 47 of its server's connections.

    Callers' connections are then reset. While no process is known, 40 requests arrive
    at once, and each could open a first connection of its own.
    """
    server = serve()
    orders = make_orders(server.port)
    gevent.joinall([gevent.spawn(orders.connect_to_process) for _ in range(40)])
    connect_all(orders)
    assert server.connections <= backends.GRANT_CONNECTIONS


def test_waiting_orders_open_no_connection_to_a_server_that_was_given_up(serve):
    """Guards against 2,200 connections within 0.4 s to a server that has just started.

    Orders wait for a connection while the server is given up. Each connection that
    closes wakes them, and they must not open the next one.
    """
    server = serve(delay_s=0.3)
    orders = make_orders(server.port)
    process = orders.connect_to_process()
    connect_all(orders)
    tasks = [
        gevent.spawn(orders.grant, process, (i, i), make_order()) for i in range(16)
    ]
    gevent.sleep(0.02)
    before = server.connections
    orders.close()
    gevent.joinall(tasks)
    assert server.connections == before


def test_a_server_that_resets_connections_isnt_flooded():
    """Guards against 3,300 connections within 0.4 s to a server that accepts only one.

    It accepts and resets all connections but the first, which stays silent. A
    connection that closes must not lead to a new one at once.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    accepted = []

    def accept():
        while True:
            sock, _ = listener.accept()
            accepted.append(sock)
            if len(accepted) > 1:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
                sock.close()

    accepting = gevent.spawn(accept)
    orders = make_orders(listener.getsockname()[1])
    process = orders.connect_to_process()
    tasks = [
        gevent.spawn(orders.grant, process, (i, i), make_order()) for i in range(8)
    ]
    for _ in range(20):
        orders.connect_to_process()
        gevent.sleep(0.01)
    gevent.joinall(tasks)
    accepting.kill()
    listener.close()
    assert len(accepted) < 60


def test_unanswered_orders_leave_a_connection_that_tracks_the_process():
    """Guards against unavailable keys and one new lease after the other.

    Some orders get no answer, and each of the eight connections carries orders until
    one is lost. If the last known connection carried orders as well, the node would
    lose track of the server's process.
    """
    silent = []

    def answer(environ, start_response):
        environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/-/grant" and len(silent) < 40:
            silent.append(environ["PATH_INFO"])
            gevent.sleep(60)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = WSGIServer(("127.0.0.1", 0), answer, log=None, spawn=Pool())
    server.start()
    orders = make_orders(server.server_port)
    process = orders.connect_to_process()
    connect_all(orders)
    for _ in range(3):
        tasks = [
            gevent.spawn(orders.grant, process, (i, i), make_order()) for i in range(12)
        ]
        gevent.joinall(tasks)
        connect_all(orders)
        assert orders.connect_to_process() == process
    server.stop(timeout=0)


class ReleasingServer(ScriptedServer):
    """A server that answers the nth release with the nth of some handovers.

    It ``repeats`` each answer in place of the next one on the connection.
    """

    repeats = False
    handovers = ("h1", "h2", "h3", "h4", "h5")

    def _serve(self, sock, address):
        self.sockets.append(sock)
        repeated = b""
        while b"\r\n\r\n" in sock.recv(65536):
            handover = self.handovers[self.requests]
            self.requests += 1
            sock.sendall(repeated)
            gevent.sleep(0.05)
            extra = (f"X-Handover: {handover}",) if handover else ()
            own = complete_answer(b"{}", *extra)
            sock.sendall(own)
            repeated = own if self.repeats else b""


def release_three(server):
    orders = make_orders(server.port)
    return [orders.release(i, i, fence=5, timeout_s=1.0) for i in range(3)]


def test_a_repeated_answer_ends_no_later_release():
    """Guards against keys that another server is granted while work on them goes on.

    A server answers a release a second time, where the answer to the next one is
    expected. Neither bears an id.
    """
    with ReleasingServer() as server:
        server.repeats = True
        # The second and the third of five are sent again on another connection.
        assert release_three(server) == ["h1", "h3", "h5"]


def test_releases_use_connections_again():
    """Guards against a new connection, which takes a slot, for each moved slice."""
    with ReleasingServer() as server:
        assert release_three(server) == ["h1", "h2", "h3"]
        assert server.connections == 1


def test_answers_without_a_handover_or_with_an_earlier_one_end_their_releases():
    """Guards against releases that never end: such an answer may be a copy, but isn't
    one on a connection of its own."""
    with ReleasingServer() as server:
        server.handovers = ("", "", "")
        assert release_three(server) == ["", "", ""]
        assert server.connections == 3
    with ReleasingServer() as server:
        server.handovers = 5 * ("same",)
        assert release_three(server) == ["same", "same", "same"]
        assert server.requests == 5
