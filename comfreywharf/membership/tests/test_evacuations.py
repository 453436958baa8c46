"""What nodes know of evacuations, and when the evacuated domains are closed."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from comfreywharf.membership.evacuations import MIN_MOVE_S, Evacuations
from comfreywharf.placement.tests.builders import DOMAINS, PlannedCluster

BOUND_S = 5.0
NODES = 6
NEVER_S = float("-inf")


def known(version=0, current_s=0.0):
    """Return evacuations of a node that knows that there are none."""
    evacuations = Evacuations(BOUND_S)
    evacuations.apply(version, (), current_s, current_s)
    return evacuations


def test_a_domain_is_closed_before_the_bound_of_the_oldest_possible_order():
    """Guards against requests after the bound where the order was received late."""
    evacuations = known(current_s=10.0)
    evacuations.apply(1, {"teika"}, current_s=10.0, now_s=13.0)
    assert not evacuations.is_closed("teika", 14.0)
    assert evacuations.is_closed("teika", 10.0 + BOUND_S)


def test_keys_have_time_to_move_though_the_bound_is_over():
    """The store was away for longer than the bound."""
    evacuations = known(current_s=10.0)
    evacuations.apply(1, {"teika"}, current_s=10.0, now_s=20.0)
    assert not evacuations.is_closed("teika", 20.0)
    assert evacuations.is_closed("teika", 20.0 + MIN_MOVE_S)


def test_a_new_process_serves_nothing_in_a_domain_that_is_evacuated():
    """Guards against a node that restarts and doesn't know how old the order is."""
    evacuations = Evacuations(BOUND_S)
    assert not evacuations.is_known
    evacuations.apply(4, {"teika"}, NEVER_S, now_s=10.0)
    assert evacuations.is_closed("teika", 10.0)


def test_an_older_version_changes_nothing():
    """Guards against a domain that opens since a slow peer still lacks the order."""
    evacuations = known(version=4)
    evacuations.apply(6, {"teika"}, 0.0, 0.0)
    assert evacuations.apply(5, (), 1.0, 1.0) is None
    assert set(evacuations.domains) == {"teika"}


class Node:
    """What one node knows, and since when that was the newest."""

    def __init__(self, domain):
        self.domain = domain
        self.evacuations = Evacuations(BOUND_S)
        self.current_s = NEVER_S
        self.learned = []

    def learn(self, version, domains, current_s, now_s):
        """Apply what was read or received, which was the newest at ``current_s``."""
        self.evacuations.apply(version, domains, self.current_s, now_s)
        self.learned.append((version, now_s))
        if version >= self.evacuations.version:
            self.current_s = max(self.current_s, current_s)

    def learned_s(self, version):
        """Return when a version, or a later one, was learned; ``None`` if never."""
        return min(
            (at_s for known, at_s in self.learned if known >= version), default=None
        )


class EvacuationMachine(RuleBasedStateMachine):
    """Orders, their ends, reads, gossip, moves, losses and restarts in any order."""

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.end = 0
        self.ordered_s = {}
        self.ordered_version = {}
        self.nodes = {}
        self.cluster = PlannedCluster(nodes=NODES, slices=12)
        for number in range(NODES):
            domain = DOMAINS[number % len(DOMAINS)]
            self.nodes[f"node-{number}"] = Node(domain)
        self.cluster.run_rounds()

    @rule(domain=st.sampled_from(DOMAINS))
    def order(self, domain):
        self.end += 1
        self.ordered_s.setdefault(domain, self.now_s)
        self.ordered_version.setdefault(domain, self.end)

    @rule(domain=st.sampled_from(DOMAINS))
    def end_order(self, domain):
        self.end += 1
        self.ordered_s.pop(domain, None)
        self.ordered_version.pop(domain, None)

    @rule(node_id=st.sampled_from(range(NODES)))
    def read(self, node_id):
        node = self.nodes[f"node-{node_id}"]
        node.learn(self.end, self.ordered_s, self.now_s, self.now_s)
        assert set(node.evacuations.domains) == set(self.ordered_s)

    @rule(teller=st.sampled_from(range(NODES)), hearer=st.sampled_from(range(NODES)))
    def gossip(self, teller, hearer):
        teller, hearer = self.nodes[f"node-{teller}"], self.nodes[f"node-{hearer}"]
        told = teller.evacuations
        if told.is_known:
            hearer.learn(told.version, told.domains, teller.current_s, self.now_s)
            assert hearer.evacuations.version >= told.version

    @rule(elapsed_s=st.sampled_from((0.1, 1.0, 3.0)))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s

    @rule(node_id=st.sampled_from(range(NODES)))
    def restart(self, node_id):
        node = self.nodes[f"node-{node_id}"]
        self.nodes[f"node-{node_id}"] = Node(node.domain)

    @precondition(lambda self: len(self.cluster.live) > 3)
    @rule(node_id=st.sampled_from(range(NODES)))
    def lose(self, node_id):
        if f"node-{node_id}" in self.cluster.live:
            self.cluster.lose(f"node-{node_id}")

    @rule(node_id=st.sampled_from(range(NODES)))
    def come_back(self, node_id):
        name = f"node-{node_id}"
        if name not in self.cluster.live:
            self.cluster.start(name, self.nodes[name].domain)

    @rule(planner=st.sampled_from(range(NODES)))
    def plan(self, planner):
        known_domains = set(self.nodes[f"node-{planner}"].evacuations.domains)
        self.cluster.evacuated = frozenset(known_domains)
        before = {s.start: s.owner for s in self.cluster.slices}
        self.cluster.run_rounds(rounds=2)
        for slice_ in self.cluster.slices:
            moved = slice_.owner != before.get(slice_.start)
            assert not (moved and self.domain_of(slice_.owner) in known_domains)
        live = set(self.cluster.live)
        if any(self.domain_of(node_id) not in known_domains for node_id in live):
            left = {
                slice_.owner
                for slice_ in self.cluster.slices
                if self.domain_of(slice_.owner) in known_domains
            }
            assert not left & live, "keys stay in an evacuated domain"

    def domain_of(self, node_id):
        return self.nodes[node_id].domain if node_id in self.nodes else None

    @invariant()
    def nothing_new_after_the_bound(self):
        """A node that knows of an order keeps its bound, however it was told."""
        for node in getattr(self, "nodes", {}).values():
            if node.domain not in self.ordered_s:
                continue
            learned_s = node.learned_s(self.ordered_version[node.domain])
            if learned_s is None:
                continue
            ordered_s = self.ordered_s[node.domain]
            if self.now_s >= max(ordered_s + BOUND_S, learned_s + MIN_MOVE_S):
                assert node.evacuations.is_closed(node.domain, self.now_s)

    @invariant()
    def open_once_the_end_is_known(self):
        for node in getattr(self, "nodes", {}).values():
            if node.evacuations.version == self.end:
                expected = node.domain in self.ordered_s
                assert (node.domain in node.evacuations.domains) == expected


TestEvacuations = EvacuationMachine.TestCase
TestEvacuations.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None
)
