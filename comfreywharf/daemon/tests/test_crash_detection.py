"""Whether a server whose port refuses connections counts as crashed."""

import gevent
import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    announcement,
    backend_for,
    complete_answer,
    node_settings,
)
from comfreywharf.ownership.holds import GrantOrder, HoldTerms
from comfreywharf.platform.backends import PlatformBackend
from comfreywharf.platform.tests.builders import ignore, unreported_names

SLOW_S = 30.0
PAUSE_S = 0.2
TERMS = HoldTerms(lease_s=1.5, longest_s=10.0)


def make_node():
    settings = node_settings()
    return Node(settings, OwnPorts(settings))


def test_server_with_a_grant_in_flight_doesnt_count_as_crashed():
    """Guards against two servers that hold a key at the same time.

    A server closes its port, and its heartbeats are late. A grant is in flight on an
    open connection while the port refuses. The answer to the grant has to count as
    awaited, as that to a release does: otherwise the server accepts the grant after its
    node has reported that it holds nothing.
    """
    order = GrantOrder(
        slice_id=("booking", 0),
        start=0,
        end=1 << 64,
        fence=10,
        lease_until_s=float("inf"),
        until_s=float("inf"),
        hold_s=1.0,
        handover="",
        terms=TERMS,
    )
    with ScriptedServer(Reply(complete_answer(b""), wait_s=SLOW_S)) as server:
        announced = backend_for(server).announcement
        backend = PlatformBackend(announced, lambda: "/", unreported_names(), ignore)
        process = backend.orders.connect_to_process()
        granting = gevent.spawn(backend.orders.grant, process, (0, 9), order)
        while not server.requests:
            gevent.sleep(0.01)
        assert not granting.ready()
        assert backend.awaits_answer
        granting.kill()
        backend.close()


def test_answer_on_a_closed_connection_isnt_awaited():
    """Guards against keys without a server until a crashed server's grants expire.

    The server crashes during a long answer to a caller that reads slowly. While the
    node waits for the caller it doesn't read from the server's connection, which
    nevertheless must not count as open.
    """
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n"
    with ScriptedServer(Reply(head, close=True)) as server:
        client = backend_for(server)._client
        response = client.request("GET", "/look")
        gevent.sleep(PAUSE_S)
        assert not client.awaits_answer
        with pytest.raises(HTTPParseError):
            response.read(1000)


def test_stopping_node_acquires_no_lease_for_a_new_server():
    """Guards against keys without a server for a lease after a planned stop.

    The node has handed over and given up its lease. Before the process ends, the next
    instance of the server is announced, which must not acquire the lease again.
    """
    node = make_node()
    node.backend_announced(announcement("i-1"))
    node.follower.reachable = True
    node.stopping = True
    node.leases.surrender("stopping")
    assert node.leases.holder.phase == "surrendered"
    node.backend_announced(announcement("i-2"))
    assert node.leases.holder.phase == "surrendered"
