"""The last grant of a server ends before a standby may claim its keys.

A grant may outlast the lease that it was based on: the lease is given up and acquired
anew, its process restarts, its witnesses change, or the next lease is shorter.
"""

import itertools
from unittest import mock

import attrs
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from comfreywharf.ownership import (
    Append,
    Holder,
    LeaseTerms,
    OwnershipAgent,
    OwnLease,
)
from comfreywharf.ownership.tests.builders import KEYS, Violation, make_world
from comfreywharf.records import ClusterState
from comfreywharf.records.tests.builders import make_member

KEY = KEYS[0]
LONGEST_S = 6.0
TERMS = LeaseTerms(lease_s=1.0)
WORK_SAMPLES = 400
"""Requests after which an estimate has forgotten what it was before."""


def work(node, work_s):
    """Have a node see requests that take ``work_s`` seconds at its server."""
    for _ in range(WORK_SAMPLES):
        node.agent.work_times.add(work_s)


def make_long_world():
    """Return a world whose servers have grants for as long as is allowed."""
    world = make_world(count=7, fenced=True, longest_lease_ms=int(LONGEST_S * 1000))
    for node in world.nodes.values():
        work(node, LONGEST_S)
    world.run(1.0)
    return world


def reacquire(node):
    """Give the lease up and acquire it anew, as after a reset of connections."""
    ends_s = node.held_until_s()
    node.carry_out(node.agent.surrender(node.state, "anew", node.now_s(), ends_s))
    if node.agent.holder.phase == "surrendered":
        node.agent.recover()


def without_named_ends():
    """Have renewals name no end of a grant."""
    renewal = Holder.renewal

    def unnamed(self, *arguments, held_until_s=None, **fields):
        return renewal(self, *arguments, **fields)

    return mock.patch.object(Holder, "renewal", unnamed)


def lose_owner_that_reacquires():
    """Lose an owner while it acquires a shorter lease, which isn't on record."""
    world = make_long_world()
    owner = world.nodes[world.role("owner", KEY)]
    work(owner, 0.0)
    world.log_up = False
    reacquire(owner)
    world.run(0.5)
    owner.frozen = True
    world.run(LONGEST_S + 3.0)
    assert world.served(KEY)


def test_standbys_wait_for_a_grant_that_outlasts_a_reacquired_lease():
    """Guards against two servers that hold the same keys after an owner is lost."""
    lose_owner_that_reacquires()
    with without_named_ends(), pytest.raises(Violation):
        lose_owner_that_reacquires()


def make_holder(recovered=True):
    """Return a `Holder` that has given up a lease at 10.0 s, and its renewal."""
    holder = Holder("a", 1, TERMS)
    holder.use_witnesses([("b", "c", "d")])
    holder.renewal(OwnLease(), 0.0, 9.9)
    ending = holder.surrender(OwnLease(), 0.0, 10.0, held_until_s=13.0)
    if recovered:
        holder.recover()
    return holder, ending


def test_each_renewal_lasts_until_the_end_of_the_last_grant():
    """Guards against a witness that counts by a renewal without that end."""
    holder, ending = make_holder()
    ends_s = [10.0 + ending.lease_s]
    for now_s in (10.0, 10.5, 11.9, 12.5):
        renewal = holder.renewal(OwnLease(), 0.0, now_s, held_until_s=13.0)
        ends_s.append(now_s + renewal.lease_s)
    assert ends_s == pytest.approx([13.0, 13.0, 13.0, 13.0, 13.5])


def test_a_pause_names_the_end_of_the_last_grant():
    """Guards against standbys that claim keys during a pause of the requests, while
    the server still holds them."""
    holder, _ = make_holder()
    ending = holder.pause(OwnLease(), 0.0, 11.0, held_until_s=13.0)
    assert ending.lease_s == pytest.approx(2.0)
    assert holder.pause(OwnLease(), 0.0, 14.0, held_until_s=13.0).lease_s == 0.0


def test_no_end_of_a_grant_is_named_for_a_crashed_server():
    """Guards against keys that stay unavailable after a crash, for up to a lease."""
    holder, _ = make_holder()
    holder.renewal(OwnLease(), 0.0, 10.5, held_until_s=13.0)
    ending = holder.surrender(OwnLease(), 0.0, 10.6, held_until_s=float("-inf"))
    assert ending.lease_s == 0.0
    holder.recover()
    renewal = holder.renewal(OwnLease(), 0.0, 10.7, held_until_s=10.7)
    assert renewal.lease_s == pytest.approx(TERMS.lease_s)


def reset_after_s(held_s):
    """Return when a node chooses other witnesses than those that are all silent.

    Its server holds keys for ``held_s`` by grants of an earlier lease.
    """
    terms = LeaseTerms(lease_s=1.0, stale_after_s=10.0)
    state = ClusterState(members={name: make_member(name) for name in "abcdefx"})
    state.members["x"] = attrs.evolve(
        state.members["x"], incarnation=1, witnesses=("a", "b", "c")
    )
    ids = map(str, itertools.count())
    agent = OwnershipAgent("x", 1, terms, lambda: next(ids), fenced=True)
    for tenth in range(100):
        now_s = tenth / 10
        agent.lost_witnesses.members_probed(set("defx"), now_s)
        actions = agent.tick(state, now_s, True, held_until_s=max(now_s, held_s))
        if any(isinstance(a, Append) for a in actions):
            return now_s
    return None


def test_witnesses_are_not_reset_before_the_last_grant_ends():
    """Guards against standbys whose claims the new witnesses grant while the server
    still holds the keys: only the lost ones were told until when."""
    assert reset_after_s(held_s=0.0) == pytest.approx(2.5)
    assert reset_after_s(held_s=6.0) == pytest.approx(6.0)


class LastGrants(RuleBasedStateMachine):
    """Whatever happens to a lease, its server's last grant is waited for.

    Each sequence ends with the loss of the owner. `World.check` raises `Violation` if a
    node may serve the key while another node's server still holds it.
    """

    @initialize()
    def begin(self):
        self.world = make_long_world()
        self.owner = self.world.nodes[self.world.role("owner", KEY)]

    @rule(duration_s=st.sampled_from([0.05, 0.4, 1.2]))
    def run_world(self, duration_s):
        self.world.run(duration_s)

    @rule(work_s=st.sampled_from([0.0, LONGEST_S]), log_up=st.booleans())
    def reacquire(self, work_s, log_up):
        """Acquire a lease of another length, with or without a record of it."""
        self.world.log_up = log_up
        work(self.owner, work_s)
        if self.owner.caught_up and not self.owner.frozen:
            reacquire(self.owner)

    @rule()
    def pause(self):
        """Pause the requests, as after too long without a majority."""
        owner = self.owner
        if owner.agent.holder.phase in ("acquiring", "lapsed"):
            owner.agent.holder._majority_due_s = owner.now_s()
            owner.tick()

    @rule(ended=st.booleans())
    def restart(self, ended):
        self.owner.restart(predecessor_ended=ended)

    @rule(duration_s=st.sampled_from([0.4, 2.5]))
    def freeze(self, duration_s):
        self.owner.frozen = True
        self.world.run(duration_s)
        self.owner.frozen = False

    @rule(index=st.integers(0, 2), frozen=st.booleans())
    def freeze_or_thaw_witness(self, index, frozen):
        """Freeze a witness; the owner replaces it if it stays silent."""
        self.world.nodes[self.world.role(f"witness{index}", KEY)].frozen = frozen

    @rule(index=st.integers(0, 2))
    def restart_witness(self, index):
        self.world.nodes[self.world.role(f"witness{index}", KEY)].restart()

    @rule(to_owner=st.booleans())
    def cut(self, to_owner):
        """Lose what is sent to the owner, or what it sends."""
        own, others = self.owner.node_id, set(self.world.nodes) - {self.owner.node_id}
        self.world.cuts |= {(o, own) if to_owner else (own, o) for o in others}

    @rule()
    def heal(self):
        self.world.cuts.clear()

    def teardown(self):
        if hasattr(self, "world"):
            self.owner.frozen = True
            self.world.run(LONGEST_S + 2.0)

    @invariant()
    def no_standby_serves_before_the_last_grant_ends(self):
        if hasattr(self, "world"):
            self.world.check()


TestLastGrants = LastGrants.TestCase
TestLastGrants.settings = settings(
    derandomize=True, deadline=None, max_examples=50, stateful_step_count=10
)
