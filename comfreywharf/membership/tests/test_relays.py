"""Tests of which member reads the log and which relays the others choose."""

import pytest
from hypothesis import given, strategies as st

from comfreywharf.membership.relay_tree import FANOUT
from comfreywharf.membership.relays import RelayedAge, Relays
from comfreywharf.routes import max_relayed_age_s

NAMES = st.sets(st.integers(0, 2000), min_size=1, max_size=700).map(
    lambda numbers: [f"node-{number}" for number in numbers]
)
DOMAIN = "teika"
MAX_AGE_S = 1.5
NOW_S = 50.0


def in_one_domain(members):
    return dict.fromkeys(members, DOMAIN)


def relay_of(node_id, members):
    relays = Relays(node_id, DOMAIN, MAX_AGE_S)
    return relays.choose(in_one_domain(members), NOW_S)


@given(NAMES)
def test_one_member_reads_the_log_and_relays_lead_to_it(members):
    """Each member receives the records through at most three relays."""
    relays = {name: relay_of(name, members) for name in members}
    assert list(relays.values()).count("") == 1
    for name in members:
        steps = 0
        while relays[name]:
            name = relays[name]
            steps += 1
        assert steps <= 3


@given(NAMES, st.randoms(use_true_random=False))
def test_no_cycle_forms_when_relays_fail(members, rng):
    """Guard against two nodes that keep an outdated configuration forever.

    If relays are lost and nodes may choose members of any rank, two nodes can
    choose each other.
    """
    relays, domains = {}, in_one_domain(members)
    for name in members:
        own = Relays(name, DOMAIN, MAX_AGE_S)
        while (chosen := own.choose(domains, NOW_S)) and rng.random() < 0.5:
            own.record_failure(chosen, NOW_S)
        relays[name] = chosen
    for name in members:
        seen = set()
        while name:
            assert name not in seen
            seen.add(name)
            name = relays[name]


@given(NAMES, st.randoms(use_true_random=False))
def test_no_cycle_forms_with_nodes_that_only_some_know_as_members(members, rng):
    """Guards against a new node and a member that receive only from each other."""
    relays = {}
    for name in members:
        known = [other for other in members if other == name or rng.random() < 0.7]
        if rng.random() < 0.5:
            known.remove(name)
        relays[name] = relay_of(name, known)
    for name in members:
        seen = set()
        while name:
            assert name not in seen
            seen.add(name)
            name = relays[name]


def test_nodes_that_arent_members_yet_receive_from_different_members():
    """Guards against a fleet that starts and has each record read by each node."""
    members = [f"node-{number}" for number in range(20)]
    newcomers = [f"node-{number}" for number in range(20, 200)]
    relays = [relay_of(name, members) for name in newcomers]
    assert relays.count("") <= len(newcomers) / 10
    assert max(relays.count(name) for name in members) <= len(newcomers) / 4


def test_few_members_arent_asked_by_a_whole_fleet():
    """Guards against one member that a starting fleet receives its records from."""
    assert relay_of("node-9", ["node-1", "node-2", "node-3"]) == ""


def test_a_member_relays_to_few_others():
    """At 640 nodes no member relays to more than `FANOUT` others."""
    members = [f"node-{number}" for number in range(640)]
    relays = [relay_of(name, members) for name in members]
    assert max(relays.count(name) for name in members) <= FANOUT


def test_a_failed_relay_is_not_queried_for_a_while():
    """Each query of a lost relay would cost its timeout."""
    members = in_one_domain(["a", "b", "c", "d"])
    order = sorted(members, key=lambda name: len(relay_of(name, members)))
    reader = next(name for name in members if not relay_of(name, members))
    last = Relays(order[-1], DOMAIN, MAX_AGE_S)
    assert last.choose(members, NOW_S) == reader
    last.record_failure(reader, NOW_S)
    second = last.choose(members, NOW_S + 1)
    assert second not in ("", reader, order[-1])
    last.record_failure(second, NOW_S + 1)
    assert last.choose(members, NOW_S + 2) == ""
    assert last.choose(members, NOW_S + 5.1) == reader


@pytest.mark.parametrize(("age_s", "fresh"), [(0.2, True), (1.4, True), (1.7, False)])
def test_data_of_a_reader_that_the_log_refuses_is_not_used(age_s, fresh):
    """Guard against a healthy node that uses outdated routes during an outage.

    If the store refuses the only reader but serves all others, the reader keeps
    answering with data that gets older and older.
    """
    members = in_one_domain(["a", "b"])
    reader = next(name for name in members if not relay_of(name, members))
    age = RelayedAge(records_s=age_s, routes_s=0.0)
    assert Relays("c", DOMAIN, MAX_AGE_S).is_fresh(members, reader, age) is fresh


@pytest.mark.parametrize(("age_s", "fresh"), [(0.2, True), (1.7, True), (1.9, False)])
def test_old_routes_of_a_relay_with_new_records_are_not_used(age_s, fresh):
    """Guard against a relay that is considered fresh by its records alone."""
    members = in_one_domain(["a", "b"])
    reader = next(name for name in members if not relay_of(name, members))
    relays = Relays("c", DOMAIN, MAX_AGE_S, max_relayed_age_s(apply_s=2.5))
    age = RelayedAge(records_s=0.0, routes_s=age_s)
    assert relays.is_fresh(members, reader, age) is fresh


def test_a_node_that_is_no_member_reads_the_log_itself():
    """Its rank is unknown until the log names it as a member."""
    assert relay_of("new", ["a", "b"]) == ""
