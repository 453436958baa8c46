"""Connections to other nodes count their bytes by the failure domain of the node."""

from types import SimpleNamespace

from comfreywharf.daemon.membership.peers import Peers


def make_member(domain, port=1):
    return SimpleNamespace(host="127.0.0.1", peer_port=port, failure_domain=domain)


def make_peers(members):
    follower = SimpleNamespace(state=SimpleNamespace(members=members))
    return Peers(follower, None, "teika")


def distance_of(peers, client):
    """Return the distance under which the calls of a client are counted."""
    client._count_bytes("renew", 1, 1)
    distances = {distance for _, distance, _ in peers.traffic.size_bytes}
    peers.traffic.size_bytes.clear()
    return distances


def test_a_node_of_the_own_domain_is_near_and_an_unknown_one_far():
    """Guards against traffic between domains that no counter shows."""
    peers = make_peers({"a": make_member("teika"), "b": make_member("hinau")})
    assert distance_of(peers, peers.client("a")) == {"near"}
    assert distance_of(peers, peers.client("b")) == {"far"}
    assert distance_of(peers, peers.client_at("127.0.0.1", 3)) == {"far"}


def test_a_node_that_returns_in_another_domain_is_counted_there():
    """Guards against a node that stays near after it was replaced elsewhere."""
    members = {"a": make_member("teika")}
    peers = make_peers(members)
    before = peers.client("a")
    assert peers.client("a") is before
    members["a"] = make_member("hinau")
    assert distance_of(peers, peers.client("a")) == {"far"}
