"""Tests of the lookup of routes, their division by weight and their exchange."""

import pytest
from hypothesis import given, strategies as st

from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.routes import Part, RouteTableError, Splitter, decode_table
from comfreywharf.routes.codec import encode_table
from comfreywharf.routes.tests.builders import make_route, make_table


def test_the_longest_prefix_wins():
    """A route for a subset of another route's paths takes precedence."""
    table = make_table(
        routes=(make_route("short", prefix="/a/"), make_route("long", prefix="/a/b/"))
    )
    assert table.find("x.example", "/a/b/c").name == "long"
    assert table.find("x.example", "/a/c").name == "short"
    assert table.find("x.example", "/a/bc").name == "short"


@pytest.mark.parametrize(("host", "path"), [("y.example", "/a/"), ("x.example", "/a")])
def test_requests_without_a_route_are_not_found(host, path):
    """Neither another host nor a path without the prefix's last slash matches."""
    assert make_table(routes=(make_route("r", prefix="/a/"),)).find(host, path) is None


@given(st.lists(st.integers(1, 100), min_size=2, max_size=5))
def test_each_part_gets_exactly_its_weight_in_each_cycle(weights):
    """After as many requests as the sum of the weights, each part got its weight."""
    parts = tuple(Part(service=str(i), weight=w) for i, w in enumerate(weights))
    splitter = Splitter()
    total = sum(weights)
    given_to = [splitter.choose("r", parts).service for _ in range(total)]
    for part in parts:
        assert given_to.count(part.service) == part.weight


def test_an_older_version_does_not_replace_a_newer_one():
    """Guard against handling requests by routes that were already replaced.

    A peer sends version 7 before the store's slow answer with version 5 arrives.
    """
    routes = Routes()
    assert routes.apply(make_table(version=7))
    assert not routes.apply(make_table(version=5))
    assert not routes.apply_document(encode_table(make_table(version=7)))
    assert routes.version == 7


def test_a_peer_gets_the_routes_only_if_its_own_are_older():
    """The table isn't sent if the peer has it, and is unchanged by the transfer."""
    routes = Routes()
    routes.apply(make_table(version=7))
    assert routes.document_after(7) == b""
    other = Routes()
    assert other.apply_document(routes.document_after(6))
    assert other.table == routes.table


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b'{"version":1}'])
def test_an_invalid_table_changes_nothing(data):
    """A peer that sends invalid data doesn't remove the routes."""
    with pytest.raises(RouteTableError):
        decode_table(data)
    routes = Routes()
    routes.apply(make_table(version=7))
    assert not routes.apply_document(data)
    assert routes.version == 7


class CountingPath(str):
    """A path that counts how often a part of it was taken."""

    slices = 0

    def __getitem__(self, part):
        self.slices += 1
        return super().__getitem__(part)


def test_a_path_of_slashes_is_looked_up_only_as_far_as_prefixes_reach():
    """Guards against a caller whose long paths take a node's processor time."""
    table = make_table(routes=(make_route(prefix="/a/"), make_route("s", prefix="/")))
    path = CountingPath("/" * 8000)
    assert table.find("x.example", path).name == "s"
    assert path.slices <= len("/a/")
    assert table.find("x.example", "/a/" + "/" * 8000).name == "r"
