"""Routes that nodes receive from each other, over real sockets."""

import attrs
import pytest

from comfreywharf.routes.tests.builders import make_route, make_table
from comfreywharf.transport import PeerClient
from comfreywharf.transport.gen.ttypes import ExchangeRequest
from comfreywharf_dev.standins.fleet import LogFleet, wait_for

ROUTES = tuple(make_route(f"r{n}", prefix=f"/{n}/") for n in range(200))


@pytest.fixture
def fleet():
    with LogFleet() as fleet:
        yield fleet


def exchange(node, routes_version, routes_form):
    """Return a node's reply to a peer that has a version and reads some form."""
    client = PeerClient("127.0.0.1", node.server.port)
    request = ExchangeRequest(
        node_id="peer",
        incarnation=1,
        next_offset=node.state.next_offset,
        notices=[],
        event_clock=0,
        routes_version=routes_version,
        wait_ms=0,
        host="127.0.0.1",
        peer_port=1,
        routes_form=routes_form,
    )
    return client.call("exchange", request, timeout_s=2.0)


def test_versions_reach_another_node_as_changes(fleet):
    first, second = fleet.start("a"), fleet.start("b")
    first.routes.apply(make_table(version=1, routes=ROUTES))
    wait_for(lambda: second.routes.version == 1)
    first.routes.apply(make_table(version=2, routes=ROUTES[1:]))
    wait_for(lambda: second.routes.version == 2)
    assert second.routes.table.routes == ROUTES[1:]
    assert len(exchange(first, 1, 2).routes_update) < 500


def test_a_peer_of_an_older_build_gets_the_table_as_before(fleet):
    """Guards against a fleet of two builds of which one gets no routes."""
    node = fleet.start("a")
    node.routes.apply(make_table(version=1, routes=ROUTES))
    reply = exchange(node, 0, None)
    assert reply.routes_update is None
    assert reply.routes == node.routes.document_after(0)


def test_routes_of_an_older_build_are_applied(fleet):
    """Guards against the same in the other direction."""
    old, new = fleet.start("a"), fleet.start("b")
    old.routes.update_after = lambda version, form: b""
    answer = old.gossip.answer

    def answer_as_before(request, now_s):
        request.routes_form = None
        return answer(request, now_s)

    old.gossip.answer = answer_as_before
    old.routes.apply(make_table(version=1, routes=ROUTES))
    wait_for(lambda: new.routes.version == 1)


def test_an_unusable_update_is_told_once_and_then_asked_for_whole(fleet):
    """Guards against a log that is filled by a peer with other tables."""
    forger, node = fleet.start("a"), fleet.start("b", gossip=False)
    for routes in (forger.routes, node.routes):
        routes.apply(make_table(version=1, routes=ROUTES))
    forger.routes.apply(make_table(version=2, routes=ROUTES[1:]))
    history = forger.routes._history
    history._kept[1] = attrs.evolve(history.table(1), digest=1)
    client = PeerClient("127.0.0.1", forger.server.port)
    before = node.routes.table
    node.gossip._exchange(client)
    assert node.routes.table is before
    assert node.metrics.unreadable_routes == 1
    assert len(node.events_named("unreadable_routes")) == 1
    node.gossip._exchange(client)
    assert node.routes.version == 2
