"""The spread of a lease's witnesses over failure domains, from the start on."""

import itertools
import random

import attrs
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from comfreywharf.ownership import LeaseTerms, choose_witnesses
from comfreywharf.ownership.tests import sim_node
from comfreywharf.ownership.tests.builders import (
    KEYS,
    SERVICE,
    World,
    make_world,
    owners_in_turn,
)
from comfreywharf.ownership.witnesses import depends_on_one_domain
from comfreywharf.ownership.witnessmoves import WitnessMoves
from comfreywharf.records import ClusterState
from comfreywharf.records.tests.builders import make_member

DOMAINS = sim_node.DOMAINS


def make_state(domains):
    """Return a state with one member for each of the given failure domains."""
    rng = random.Random(len(domains))
    members = [
        make_member(f"node-{rng.getrandbits(32):08x}", failure_domain=domain)
        for domain in domains
    ]
    return ClusterState(members={member.node_id: member for member in members})


@pytest.mark.parametrize("wanted", [3, 5])
@pytest.mark.parametrize("count", [6, 10, 11, 76])
def test_no_domain_has_a_majority_of_the_witnesses_of_any_node(count, wanted):
    """Guards against keys of healthy nodes that go dark with another domain's loss."""
    state = make_state([DOMAINS[index % 3] for index in range(count)])
    for node_id in state.members:
        group = choose_witnesses(state, node_id, wanted=wanted)
        assert len(group) == min(wanted, 5 if count > 5 else 3)
        assert not depends_on_one_domain(state, group)


@pytest.mark.parametrize(
    ("domains", "size"),
    [
        ("abcccccc", 3),  # Five would put three into one domain.
        ("abbbbbccccc", 5),  # Only with itself for the node that is alone.
        ("abbcc", 3),
    ],
)
def test_uneven_domains_still_leave_a_majority(domains, size):
    """Guards against a group that is as large as possible but in one domain."""
    state = make_state(domains)
    for node_id in state.members:
        group = choose_witnesses(state, node_id, wanted=5)
        assert len(group) >= size
        assert not depends_on_one_domain(state, group)


def test_kept_witnesses_stay_where_the_spread_allows_it():
    """Replacing one witness doesn't replace the others as well."""
    state = make_state("abcabcabcabc")
    for node_id in state.members:
        group = choose_witnesses(state, node_id, wanted=5)
        for lost in group:
            kept = set(group) - {lost}
            again = choose_witnesses(state, node_id, kept, {lost}, wanted=5)
            assert len(kept - set(again)) <= 1
            assert not depends_on_one_domain(state, again)


def moves_over_time(state, terms, duration_s):
    """Return ``(time, node)`` of each move of a fleet whose groups are all poor."""
    movers = {node_id: WitnessMoves(node_id, terms) for node_id in state.members}
    moves = []
    for tick in range(round(duration_s / 0.1)):
        now_s = tick * 0.1
        for node_id, mover in movers.items():
            member = state.members[node_id]
            group = mover.better_group(state, member.witnesses, set(), now_s)
            if group:
                state.members[node_id] = attrs.evolve(member, witnesses=group)
                moves.append((now_s, node_id))
    return moves


def with_poor_groups(state):
    """Return the state with witnesses of one domain for each member."""
    for node_id, member in list(state.members.items()):
        same = [m.node_id for m in state.members.values() if m.failure_domain == "b"]
        group = tuple(one for one in same if one != node_id)[:3]
        state.members[node_id] = attrs.evolve(member, witnesses=group)
    return state


def test_a_fleet_moves_its_witnesses_in_turns():
    """Guards against a burst of records by all nodes once a domain has joined."""
    state = with_poor_groups(make_state("abc" * 64))
    moves = moves_over_time(state, LeaseTerms(witnesses=5), 20.0)
    assert len(moves) == len(state.members) == len({node for _, node in moves})
    per_second = [
        sum(start <= at_s < start + 1.0 for at_s, _ in moves) for start in range(20)
    ]
    assert max(per_second) <= 3 * len(state.members) // 16
    for node_id, member in state.members.items():
        assert not depends_on_one_domain(state, member.witnesses)
        assert node_id not in member.witnesses


def test_a_node_that_cannot_move_delays_no_other_for_long():
    """Guards against poor groups that stay for good behind a lost node's."""
    state = with_poor_groups(make_state("abc" * 64))
    first = sorted(state.members)[:12]
    movers = {n: WitnessMoves(n, LeaseTerms()) for n in state.members if n not in first}
    last = max(movers)
    groups = [
        movers[last].better_group(
            state, state.members[last].witnesses, set(), tick * 0.1
        )
        for tick in range(100)
    ]
    assert groups[-1]


def test_a_group_that_cannot_be_spread_is_left_alone():
    """Two domains allow no better group than the one that there is."""
    state = make_state("aaabbb")
    for node_id in list(state.members):
        group = choose_witnesses(state, node_id, wanted=5)
        mover = WitnessMoves(node_id, LeaseTerms(witnesses=5))
        for tick in range(100):
            assert mover.better_group(state, group, set(), tick * 0.1) == ()


def isolate_domain(world, domain):
    """Cut a failure domain off from the others; the log is out of its reach too."""
    inside = {n for n, node in world.nodes.items() if node.failure_domain == domain}
    for one, other in itertools.permutations(world.nodes, 2):
        if (one in inside) != (other in inside):
            world.cuts.add((one, other))
    for node_id in inside:
        world.nodes[node_id].reads_log = False
        world.nodes[node_id].appends = False


def reconnect(world):
    world.cuts.clear()
    for node in world.nodes.values():
        node.reads_log = True
        node.appends = True


def dependent_nodes(world):
    """Return the nodes whose witnesses depend on one failure domain."""
    state = world.folded_log()
    return [
        node_id
        for node_id, member in state.members.items()
        if node_id in world.nodes
        and not world.nodes[node_id].frozen
        and any(depends_on_one_domain(state, g) for g in member.witness_groups)
    ]


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_witnesses_that_were_chosen_early_are_spread_later(order):
    """Guards against a start order that leaves a node with witnesses in one domain.

    Three nodes start, in one or two domains, and then the others."""
    domains = [DOMAINS[order[i]] for i in (0, 0, 1, 1, 2, 2)]
    names = [f"node-{index}" for index in range(6)]
    world = World(names[:3], [1.0] * 3, domains=domains[:3])
    world.run(2.0)
    for name, domain in zip(names[3:], domains[3:], strict=True):
        world.add_node(name, domain)
        world.run(0.3)
    world.run(6.0)
    assert dependent_nodes(world) == []


@pytest.mark.parametrize("domain", DOMAINS)
@pytest.mark.parametrize("five", [False, True])
def test_the_loss_of_a_domain_darkens_no_key_of_another(domain, five, monkeypatch):
    """Guards against healthy owners that lapse with the domain of their witnesses."""
    if five:
        terms = attrs.evolve(sim_node.TERMS, witnesses=5)
        monkeypatch.setattr(sim_node, "TERMS", terms)
    world = make_world(count=9, slices=9)
    world.run(4.0)
    owners_in_turn(world)
    world.run(1.0)
    isolate_domain(world, domain)
    outside = [n for n in world.nodes.values() if n.failure_domain != domain]
    for _ in range(40):
        world.run(0.1)
        assert [n.node_id for n in outside if n.agent.holder.phase != "held"] == []
    assert all(
        any(world.request(node.node_id, key, 0.001) for node in outside) for key in KEYS
    )


def test_a_move_of_the_witnesses_leaves_no_gap():
    """Guards against keys that go dark while their owner's witnesses are moved."""
    domains = [DOMAINS[index] for index in (0, 0, 1, 1)]
    names = [f"node-{index}" for index in range(6)]
    world = World(names[:4], [1.0] * 4, domains=domains)
    world.declare(SERVICE, slices=4)
    world.run(3.0)
    owners_in_turn(world)
    world.run(1.0)
    assert dependent_nodes(world)
    for name in names[4:]:
        world.add_node(name, DOMAINS[2])
    for _ in range(100):
        world.run(0.05)
        assert all(world.served(key) for key in KEYS)
    assert dependent_nodes(world) == []


class SpreadWitnesses(RuleBasedStateMachine):
    """Nodes join and are lost, and domains are cut off and return, in any order.

    After some seconds without a change no domain has a majority of a group, as long as
    nodes of three domains can be reached. No key has two owners meanwhile.
    """

    @initialize()
    def begin(self):
        self.world = make_world(count=6)
        self.added = itertools.count(7)

    @rule(domain=st.sampled_from(DOMAINS))
    def add(self, domain):
        if len(self.world.nodes) < 12:
            self.world.add_node(f"node-{next(self.added)}", domain)
            self.world.run(0.3)

    @rule(place=st.integers(0, 11))
    def lose(self, place):
        """Lose a node, unless it is one of the last two of its domain."""
        node = list(self.world.nodes.values())[place % len(self.world.nodes)]
        peers = [
            other
            for other in self.world.nodes.values()
            if other.failure_domain == node.failure_domain and not other.frozen
        ]
        if len(peers) > 2:
            node.frozen = True
            self.world.run(0.3)

    @rule(domain=st.sampled_from(DOMAINS), duration_s=st.sampled_from([0.5, 2.0, 5.0]))
    def cut_domain(self, domain, duration_s):
        isolate_domain(self.world, domain)
        self.world.run(duration_s)
        reconnect(self.world)

    @rule(duration_s=st.sampled_from([0.2, 1.0]))
    def run_world(self, duration_s):
        self.world.run(duration_s)

    @rule()
    def settle(self):
        self.world.run(14.0)
        assert dependent_nodes(self.world) == []

    @invariant()
    def no_key_has_two_owners(self):
        if hasattr(self, "world"):
            self.world.check()


TestSpreadWitnesses = SpreadWitnesses.TestCase
TestSpreadWitnesses.settings = settings(
    derandomize=True, deadline=None, max_examples=20, stateful_step_count=12
)
