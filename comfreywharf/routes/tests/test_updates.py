"""Updates that carry what changed between two versions of the routes."""

import zlib

import attrs
import orjson
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.routes import RoutedService, RouteTableError, UpdateForm
from comfreywharf.routes.history import KEPT_TABLES
from comfreywharf.routes.tests.builders import make_route, make_table

FLEET_ROUTES = 2000
MAX_DELTA_BYTES = 2048


def numbered_routes(count, **fields):
    return tuple(
        make_route(f"r{number}", prefix=f"/p{number}/", **fields)
        for number in range(count)
    )


def routes_with(*tables):
    routes = Routes()
    for table in tables:
        assert routes.apply(table)
    return routes


def fields_of(data):
    return orjson.loads(zlib.decompress(data))


def packed(fields):
    return zlib.compress(orjson.dumps(fields))


def test_one_changed_route_of_many_is_sent_as_one_route():
    """Guards against links that are filled by the whole table at each version."""
    before = make_table(version=1, routes=numbered_routes(FLEET_ROUTES))
    changed = attrs.evolve(before.routes[7], timeout_ms=1234)
    after = make_table(
        version=2, routes=(*before.routes[:7], changed, *before.routes[8:])
    )
    sender, receiver = routes_with(before, after), routes_with(before)
    data = sender.update_after(1, UpdateForm.DELTA)
    assert len(data) <= MAX_DELTA_BYTES
    assert [entry[0] for entry in fields_of(data)["routes"]] == ["r7"]
    assert receiver.apply_update(data)
    assert receiver.table.find("x.example", "/p7/a").timeout_ms == 1234


def test_a_service_without_a_cold_rate_is_encoded_as_before():
    """Nodes of a version that knows no such rate can read the table, and its digest."""
    table = make_table(version=1, services=(RoutedService(name="booking"),))
    fields = fields_of(routes_with(table).update_after(0, UpdateForm.WHOLE))
    assert set(fields["services"][0]) == {
        "name",
        "divided_by_number",
        "connections",
        "health_path",
        "grant_way",
    }


def test_an_update_is_encoded_once_for_all_peers():
    """Guards against a relay that spends its processor on encoding for each member."""
    sender = routes_with(make_table(version=1), make_table(version=2, routes=()))
    first = sender.update_after(1, UpdateForm.DELTA)
    assert sender.update_after(1, UpdateForm.DELTA) is first


def test_added_dropped_and_changed_entries_arrive():
    services = (RoutedService(name="booking"), RoutedService(name="old"))
    before = make_table(version=1, routes=numbered_routes(5), services=services)
    after = make_table(
        version=4,
        routes=(*before.routes[2:], make_route("new", prefix="/new/")),
        services=(RoutedService(name="booking", connections=7),),
        limits=attrs.evolve(before.limits, body_bytes=5),
    )
    sender, receiver = routes_with(before, after), routes_with(before)
    assert receiver.apply_update(sender.update_after(1, UpdateForm.DELTA))
    assert set(receiver.table.routes) == set(after.routes)
    assert receiver.table.services == after.services
    assert receiver.table.limits == after.limits


def test_a_peer_whose_version_isnt_kept_gets_the_whole_table():
    tables = [
        make_table(version=v, routes=numbered_routes(v))
        for v in range(1, KEPT_TABLES + 3)
    ]
    sender, receiver = routes_with(*tables), routes_with(tables[0])
    data = sender.update_after(1, UpdateForm.DELTA)
    assert fields_of(data)["base_version"] == 0
    assert receiver.apply_update(data)
    assert set(receiver.table.routes) == set(tables[-1].routes)


def test_a_peer_of_an_older_build_gets_uncompressed_tables():
    sender = routes_with(make_table(version=3))
    assert sender.update_after(1, UpdateForm.named(None)) == b""
    assert Routes().apply_document(sender.document_after(1))
    assert UpdateForm.named(9) is UpdateForm.DELTA


def test_routes_for_one_prefix_are_chosen_by_name_whatever_their_order():
    """Guards against nodes that route differently by the same version."""
    pair = (make_route("a", prefix="/p/"), make_route("b", prefix="/p/"))
    for routes in (pair, pair[::-1]):
        assert make_table(routes=routes).find("x.example", "/p/").name == "b"


def delta():
    """Return a receiver, and the fields of an update that it could apply."""
    before = make_table(version=1, routes=numbered_routes(20))
    after = make_table(version=2, routes=before.routes[1:])
    data = routes_with(before, after).update_after(1, UpdateForm.DELTA)
    return routes_with(before), fields_of(data)


@pytest.mark.parametrize(
    "change, found",
    [
        ({"base_version": 9}, "base version 9 isn't known"),
        ({"base_digest": 1}, "base version 1 differs"),
        ({"digest": 1}, "version 2 differs from the sender's"),
        ({"dropped_routes": ["r0", "none"]}, "'none' is dropped, but isn't there"),
        ({"routes": [["r1", "h", "/", [], True, 1, 1, 1, 1]] * 2}, "named twice"),
        ({"routes": [["r1", "h"]]}, "route 0"),
        ({"version": -2}, "version"),
        ({"services": [{"nme": "x"}]}, "services"),
        ({"limits": {"bytes": 1}}, "limits"),
    ],
)
def test_an_invalid_update_changes_nothing_and_says_where(change, found):
    """Guards against routes that are lost or wrong after a peer's invalid message."""
    receiver, fields = delta()
    before = receiver.table
    with pytest.raises(RouteTableError, match=found):
        receiver.apply_update(packed({**fields, **change}))
    assert receiver.table is before
    assert receiver.form is UpdateForm.WHOLE


@pytest.mark.parametrize(
    "data",
    [b"", b"no zlib", packed([]), packed({})[:-3], zlib.compress(bytes(17 << 20))],
)
def test_bytes_that_are_no_update_change_nothing(data):
    """Guards against a message that unpacks to more than the memory of a node."""
    receiver, _ = delta()
    with pytest.raises(RouteTableError):
        receiver.apply_update(data)
    assert receiver.version == 1


def test_a_whole_table_is_asked_for_until_one_arrived():
    """Guards against a node that gets the same unusable delta for good."""
    receiver, fields = delta()
    with pytest.raises(RouteTableError):
        receiver.apply_update(packed({**fields, "base_digest": 1}))
    sender = routes_with(make_table(version=1), make_table(version=2))
    assert receiver.apply_update(sender.update_after(1, receiver.form))
    assert receiver.form is UpdateForm.DELTA


def test_many_and_large_routes_are_exchanged():
    large = make_route("large", prefix="/" + "x" * 65536 + "/")
    table = make_table(version=1, routes=(*numbered_routes(10_000), large))
    receiver = Routes()
    assert receiver.apply_update(routes_with(table).update_after(0, UpdateForm.DELTA))
    assert set(receiver.table.routes) == set(table.routes)


NODES = ("store reader", "relay", "member", "old build")


class Exchanges(RuleBasedStateMachine):
    """Nodes that exchange routes by messages that are lost, doubled and reordered."""

    def __init__(self):
        super().__init__()
        self.tables = {0: make_table(version=0, routes=(), services=())}
        self.nodes = {name: Routes() for name in NODES}
        self.seen = dict.fromkeys(NODES, 0)
        self.messages = []

    @rule(
        step=st.integers(1, 3), drawn=st.sets(st.integers(0, 6)), ms=st.integers(1, 3)
    )
    def change(self, step, drawn, ms):
        version = max(self.tables) + step
        routes = tuple(
            make_route(f"r{n}", prefix=f"/{n}/", timeout_ms=ms) for n in sorted(drawn)
        )
        self.tables[version] = make_table(version=version, routes=routes)
        self.nodes["store reader"].apply(self.tables[version])

    @rule(sender=st.sampled_from(NODES), receiver=st.sampled_from(NODES))
    def answer(self, sender, receiver):
        """Let one node answer another's request; the message is delivered later."""
        asked, answering = self.nodes[receiver], self.nodes[sender]
        if "old build" in (sender, receiver):
            data, old = answering.document_after(asked.version), True
        else:
            data, old = answering.update_after(asked.version, asked.form), False
        if data:
            self.messages.append((receiver, data, old))

    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        receiver, update, old = self.messages[index]
        if not keep:
            del self.messages[index]
        node = self.nodes[receiver]
        if old:
            node.apply_document(update)
            return
        try:
            node.apply_update(update)
        except RouteTableError:
            # The base is missing after a restart; a whole table has to help.
            assert node.form is UpdateForm.WHOLE
            source = self.nodes["store reader"]
            if source.version > node.version:
                assert node.apply_update(source.update_after(node.version, node.form))

    @rule(name=st.sampled_from(NODES))
    def restart(self, name):
        self.nodes[name] = Routes()
        self.seen[name] = 0
        if name == "store reader":
            self.nodes[name].apply(self.tables[max(self.tables)])

    @invariant()
    def versions_never_go_back_and_are_the_operators(self):
        for name, node in self.nodes.items():
            assert node.version >= self.seen[name]
            self.seen[name] = node.version
            table = self.tables[node.version]
            assert set(node.table.routes) == set(table.routes)
            assert set(node.table.services) == set(table.services)


TestExchanges = Exchanges.TestCase
TestExchanges.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
