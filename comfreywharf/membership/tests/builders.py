"""Builders of members by failure domain, and the order of the previous build."""

import xxhash
from hypothesis import strategies as st

from comfreywharf.membership.relays import Relays

MAX_AGE_S = 1.5
NOW_S = 50.0

FLEETS = st.dictionaries(
    st.integers(0, 2000).map(lambda number: f"node-{number}"),
    st.sampled_from("abcdef"),
    min_size=1,
    max_size=200,
)
"""Members with their failure domains."""


def even_fleet(count=640, domains="abcdef"):
    """Return ``count`` members, spread over the domains in turn."""
    return {f"node-{n}": domains[n % len(domains)] for n in range(count)}


def make_relays(node_id, domains, domain="a"):
    """Return the `Relays` of a node, of ``domain`` if it isn't a member."""
    return Relays(node_id, domains.get(node_id, domain), MAX_AGE_S)


def relays_of_all(domains, lost=()):
    """Return the relay of each member that isn't lost, after all failed queries."""
    return {
        node_id: relay_avoiding(make_relays(node_id, domains), domains, lost)
        for node_id in domains
        if node_id not in lost
    }


def relay_avoiding(relays, domains, lost):
    """Return the relay that a node finds when some members don't answer it."""
    while (chosen := relays.choose(domains, NOW_S)) in lost:
        relays.record_failure(chosen, NOW_S)
    return chosen


def previous_relay(node_id, domains):
    """Return the relay that the previous build chooses, which ignores domains."""
    order = sorted(domains, key=lambda n: (xxhash.xxh3_64_intdigest(n.encode()), n))
    rank = order.index(node_id)
    return order[(rank - 1) // 16] if rank else ""


def relay_path(node_id, relays):
    """Return the relays between a node and the log; raises on a cycle."""
    path = []
    while node_id := relays[node_id]:
        if node_id in path:
            raise AssertionError(f"{node_id} receives its own data")
        path.append(node_id)
    return path


def crossings(domains, relays):
    """Return how many copies of a record are sent into each domain from others."""
    counts = dict.fromkeys(domains.values(), 0)
    for node_id, relay in relays.items():
        if relay and domains[relay] != domains[node_id]:
            counts[domains[node_id]] += 1
    return counts
