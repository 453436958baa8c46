"""Tests of the tree of relays over several failure domains."""

import random

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from comfreywharf.membership.relay_tree import FANOUT, RelayTree
from comfreywharf.membership.relays import AVOIDANCE_S, RelayedAge
from comfreywharf.membership.tests.builders import (
    FLEETS,
    MAX_AGE_S,
    NOW_S,
    crossings,
    even_fleet,
    make_relays,
    previous_relay,
    relay_path,
    relays_of_all,
)

FLEET = even_fleet()
MAX_LEVELS = 4
RANDOMS = st.randoms(use_true_random=False)


def heads_of(domains):
    """Return the head of each domain except the root's, and the root."""
    tree = RelayTree.of(domains)
    heads = {}
    for node_id in sorted(domains, key=tree.level):
        relays = tree.relays_of(node_id)
        if not relays or domains[relays[0]] != domains[node_id]:
            heads[domains[node_id]] = node_id
    return heads, next(n for n in domains if not tree.relays_of(n))


class FleetMachine(RuleBasedStateMachine):
    """A fleet whose members come, go, change their domain and are lost."""

    def __init__(self):
        super().__init__()
        self.domains = {"node-0": "a"}
        self.lost = set()

    @rule(fleet=FLEETS)
    def join(self, fleet):
        self.domains.update(fleet)

    @rule(domain=st.sampled_from("abcdef"))
    def leave_domain(self, domain):
        remaining = {n: d for n, d in self.domains.items() if d != domain}
        self.domains = remaining or self.domains
        self.lost &= set(self.domains)

    @precondition(lambda self: len(self.domains) > len(self.lost) + 1)
    @rule(rng=RANDOMS)
    def lose(self, rng):
        self.lost.add(rng.choice(sorted(set(self.domains) - self.lost)))

    @rule()
    def recover(self):
        self.lost.clear()

    @invariant()
    def all_receive_without_a_cycle(self):
        relays = relays_of_all(self.domains, self.lost)
        for node_id in relays:
            assert len(relay_path(node_id, relays)) <= MAX_LEVELS + len(self.lost)

    @invariant()
    def without_losses_each_domain_receives_once(self):
        relays = relays_of_all(self.domains)
        assert list(relays.values()).count("") == 1
        root = next(n for n, relay in relays.items() if not relay)
        counts = crossings(self.domains, relays)
        assert counts.pop(self.domains[root]) == 0
        assert all(count == 1 for count in counts.values())

    @invariant()
    def levels_are_those_of_the_tree(self):
        relays = relays_of_all(self.domains)
        tree = RelayTree.of(self.domains)
        for node_id in relays:
            assert tree.level(node_id) == len(relay_path(node_id, relays))


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(max_examples=20, stateful_step_count=8, deadline=None)


def test_640_members_in_6_domains_receive_within_four_levels():
    """Guards against records that cross domains twice or pass too many relays."""
    relays = relays_of_all(FLEET)
    tree = RelayTree.of(FLEET)
    assert max(map(tree.level, FLEET)) <= MAX_LEVELS
    assert sum(crossings(FLEET, relays).values()) == 5
    children = [list(relays.values()).count(node_id) for node_id in FLEET]
    assert max(children) <= FANOUT + 5


def test_one_large_domain_beside_small_ones_stays_within_four_levels():
    """Guards against a deep tree below the head of the largest domain."""
    domains = {n: "a" if i > 5 else "bcdefg"[i] for i, n in enumerate(FLEET)}
    assert max(map(RelayTree.of(domains).level, domains)) <= MAX_LEVELS


@given(st.sets(st.integers(0, 2000), min_size=1, max_size=300))
def test_with_one_domain_the_order_is_that_of_the_previous_build(numbers):
    """Guards against a changed order where there is nothing to gain."""
    domains = dict.fromkeys((f"node-{n}" for n in numbers), "a")
    relays = relays_of_all(domains)
    assert relays == {n: previous_relay(n, domains) for n in domains}


@given(st.sets(st.integers(0, 2000), min_size=1, max_size=300))
def test_domains_with_one_member_form_the_tree_of_a_single_domain(numbers):
    """Guards against a root that sends to each of many small domains."""
    domains = {f"node-{n}": f"domain-{n}" for n in numbers}
    relays = relays_of_all(domains)
    assert relays == {n: previous_relay(n, domains) for n in domains}


@given(FLEETS, RANDOMS)
def test_no_cycle_forms_with_nodes_of_the_previous_build(domains, rng):
    """Guards against two nodes of different builds that receive from each other."""
    relays = {
        node_id: previous_relay(node_id, domains)
        if rng.random() < 0.5
        else make_relays(node_id, domains).choose(domains, NOW_S)
        for node_id in domains
    }
    for node_id in domains:
        relay_path(node_id, relays)


@given(FLEETS, RANDOMS)
def test_no_cycle_forms_if_nodes_know_different_members_and_domains(domains, rng):
    """Guards against a cycle between nodes that folded different records."""
    relays = {}
    for node_id, domain in domains.items():
        known = {
            other: there if rng.random() < 0.9 else "moved"
            for other, there in domains.items()
            if rng.random() < 0.7
        }
        lost = [other for other in known if rng.random() < 0.3]
        own = make_relays(node_id, known, domain)
        for other in lost:
            own.record_failure(other, NOW_S)
        relays[node_id] = own.choose(known, NOW_S)
    for node_id in domains:
        relay_path(node_id, relays)


def test_a_domain_whose_head_is_lost_or_frozen_receives_once_by_another_member():
    """Guards against a domain that receives a copy for each member from then on."""
    heads, root = heads_of(FLEET)
    for domain, head in heads.items():
        relays = relays_of_all(FLEET, {head})
        counts = crossings(FLEET, relays)
        if head == root:
            assert counts[domain] <= 1
            assert sum(counts.values()) <= len(heads)
        else:
            assert counts[domain] == 1
        assert list(relays.values()).count("") <= 2


def test_a_frozen_head_is_used_again_after_a_while():
    """Guards against a domain that receives through a substitute forever."""
    heads, root = heads_of(FLEET)
    head = next(head for head in heads.values() if head != root)
    member = next(n for n, relay in relays_of_all(FLEET).items() if relay == head)
    relays = make_relays(member, FLEET)
    relays.record_failure(head, NOW_S)
    assert relays.choose(FLEET, NOW_S + AVOIDANCE_S / 2) != head
    assert relays.choose(FLEET, NOW_S + AVOIDANCE_S + 0.1) == head


@pytest.mark.parametrize(("late_s", "fresh"), [(-0.1, True), (0.1, False)])
def test_a_stale_head_is_noticed_by_its_level(late_s, fresh):
    """Guards against a domain that keeps the old data of a cut-off head."""
    heads, root = heads_of(FLEET)
    head = next(head for head in heads.values() if head != root)
    member = next(n for n, relay in relays_of_all(FLEET).items() if relay == head)
    age = RelayedAge(records_s=MAX_AGE_S + 0.6 + late_s, routes_s=0.0)
    assert make_relays(member, FLEET).is_fresh(FLEET, head, age) is fresh


def test_of_a_domain_that_is_cut_off_one_member_reads_the_log():
    """Guards against a cut-off domain whose members all read the log."""
    for domain in "abcdef":
        outside = {n for n, there in FLEET.items() if there != domain}
        relays = {
            n: relay
            for n, relay in relays_of_all(FLEET, outside).items()
            if n not in outside
        }
        assert list(relays.values()).count("") == 1
        others = relays_of_all(FLEET, set(FLEET) - outside)
        assert list(others.values()).count("") == 1


def test_without_its_own_relays_a_member_receives_from_another_domain():
    """Guards against many log reads when the first members of a domain are lost."""
    heads, root = heads_of(FLEET)
    domain = next(there for there, head in heads.items() if head != root)
    relays = relays_of_all(FLEET)
    second = next(n for n, relay in relays.items() if relay == heads[domain])
    for node_id, relay in relays_of_all(FLEET, {heads[domain], second}).items():
        assert relay or node_id == root


def test_nodes_that_arent_members_yet_receive_within_their_domain():
    """Guards against a starting domain that receives each record across domains."""
    domains = even_fleet(60)
    newcomers = {f"new-{n}": "abcdef"[n % 6] for n in range(200)}
    relays = {
        n: make_relays(n, {}, d).choose(domains, NOW_S) for n, d in newcomers.items()
    }
    far = [n for n, r in relays.items() if r and domains[r] != newcomers[n]]
    assert len(far) <= len(newcomers) / 10
    assert max(list(relays.values()).count(n) for n in domains) <= len(newcomers) / 10


def test_the_first_nodes_of_a_domain_receive_from_other_domains():
    """Guards against a domain that starts and has each record read by each node."""
    domains = even_fleet(20, "ab")
    relays = [
        make_relays(f"new-{n}", {}, "c").choose(domains, NOW_S) for n in range(99)
    ]
    assert relays.count("") <= 20


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("count", "names"), [(640, "abcdef"), (66, "abc")])
def test_relays_of_another_build_are_at_most_a_level_deeper_than_expected(
    seed, count, names
):
    """Guards against log reads by all nodes while a build replaces another.

    A relay of the other build has a different level there. The margin of the oldest
    read covers data that is one level older than expected.
    """
    rng = random.Random(seed)
    domains = even_fleet(count, names)
    old = {node_id: previous_relay(node_id, domains) for node_id in domains}
    new = relays_of_all(domains)
    of_old = {node_id for node_id in domains if rng.random() < 0.5}
    mixed = {n: old[n] if n in of_old else new[n] for n in domains}
    for node_id, relay in mixed.items():
        expected = relay_path(relay, old if node_id in of_old else new) if relay else []
        assert not relay or len(relay_path(relay, mixed)) <= len(expected) + 1
