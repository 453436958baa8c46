"""Routes: found by host and prefix, shared out by weight, passed on between nodes."""

import pytest
from hypothesis import given, strategies as st

from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.routes import Part, RouteTableError, Splitter, decode_table
from comfreywharf.routes.codec import encode_table
from comfreywharf.routes.tests.builders import make_route, make_table


def test_the_longest_prefix_wins():
    """A route for a part of another's paths goes before it."""
    table = make_table(
        routes=(make_route("short", prefix="/a/"), make_route("long", prefix="/a/b/"))
    )
    assert table.find("x.example", "/a/b/c").name == "long"
    assert table.find("x.example", "/a/c").name == "short"
    assert table.find("x.example", "/a/bc").name == "short"


@pytest.mark.parametrize(("host", "path"), [("y.example", "/a/"), ("x.example", "/a")])
def test_what_no_route_covers_isnt_found(host, path):
    """Another host, and a path that lacks the prefix's last slash."""
    assert make_table(routes=(make_route("r", prefix="/a/"),)).find(host, path) is None


@given(st.lists(st.integers(1, 100), min_size=2, max_size=5))
def test_each_part_gets_its_share_within_one_request(weights):
    """After as many requests as all weights together, each part had its weight."""
    parts = tuple(Part(service=str(i), weight=w) for i, w in enumerate(weights))
    splitter = Splitter()
    total = sum(weights)
    given_to = [splitter.choose("r", parts).service for _ in range(total)]
    for part in parts:
        assert given_to.count(part.service) == part.weight


def test_an_older_version_never_replaces_a_newer_one():
    """Symptom: a node handles requests by routes that were replaced.
    Sequence: a peer brings version 7; the store's answer with version 5 was slow.
    Cause: whatever came last was put in force."""
    routes = Routes()
    assert routes.apply(make_table(version=7))
    assert not routes.apply(make_table(version=5))
    assert not routes.apply_document(encode_table(make_table(version=7)))
    assert routes.version == 7


def test_a_peer_gets_the_routes_only_if_its_own_are_older():
    """The table travels once, and comes out as it went in."""
    routes = Routes()
    routes.apply(make_table(version=7))
    assert routes.document_after(7) == b""
    other = Routes()
    assert other.apply_document(routes.document_after(6))
    assert other.table == routes.table


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b'{"version":1}'])
def test_a_table_that_cant_be_read_changes_nothing(data):
    """A peer that sends nonsense doesn't take the routes away."""
    with pytest.raises(RouteTableError):
        decode_table(data)
    routes = Routes()
    routes.apply(make_table(version=7))
    assert not routes.apply_document(data)
    assert routes.version == 7
