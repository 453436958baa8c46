"""At no time do two nodes own one key: the decision code under faults."""

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from comfreywharf.ownership.tests.builders import KEYS, SERVICE, make_world, move
from comfreywharf.ownership.work_times import SAMPLES
from comfreywharf.records import SliceMove, key_hash

KEY = KEYS[0]
ROLES = ("owner", "standby", "previous", "witness0", "witness1", "witness2", "other")

roles = st.sampled_from(ROLES)


class SoleOwnership(RuleBasedStateMachine):
    """Faults of every kind, in any order, on agents and witnesses of the product.

    Faults are injected into nodes that have a role for one key, since faults on other
    nodes have no effect on it.
    """

    @initialize()
    def begin(self):
        self.world = make_world()

    def node(self, role):
        return self.world.nodes[self.world.role(role, KEY)]

    @rule(duration_s=st.sampled_from([0.05, 0.1, 0.3, 0.7, 1.2, 3.5]))
    def run_world(self, duration_s):
        self.world.run(duration_s)

    @rule(role=roles)
    def freeze(self, role):
        self.node(role).frozen = True

    @rule(role=roles, duration_s=st.sampled_from([0.3, 1.2, 1.6]))
    def freeze_for_a_while(self, role, duration_s):
        node = self.node(role)
        node.frozen = True
        self.world.run(duration_s)
        node.frozen = False

    @rule()
    def thaw_all(self):
        for node in self.world.nodes.values():
            node.frozen = False

    @rule(role=roles)
    def restart(self, role):
        self.node(role).restart()

    @rule(first=st.integers(0, 2), second=st.integers(0, 2))
    def restart_witnesses(self, first, second):
        restarted = [self.node(f"witness{index}") for index in {first, second}]
        for node in restarted:
            node.restart()

    @rule(role=roles)
    def lose_or_return_backend(self, role):
        node = self.node(role)
        if not node.frozen:
            self.lose_or_return_backend_of(node)

    def lose_or_return_backend_of(self, node):
        if node.backend_up:
            node.backend_up = False
            now_s = node.now_s()
            ends_s = self.last_grant_end_s(node)
            node.carry_out(node.agent.surrender(node.state, "lost", now_s, ends_s))
        else:
            node.backend_up = True
            node.agent.recover()

    def last_grant_end_s(self, node):
        """Return until when a node's server may hold keys; ``None`` if unknown."""
        return node.held_until_s()

    @rule(source=roles, sink=roles)
    def cut(self, source, sink):
        self.world.cuts.add((self.node(source).node_id, self.node(sink).node_id))

    @rule(role=roles)
    def cut_off(self, role):
        node_id = self.node(role).node_id
        self.world.cuts |= {(node_id, other) for other in self.world.nodes}
        self.world.cuts |= {(other, node_id) for other in self.world.nodes}

    @rule()
    def heal(self):
        self.world.cuts.clear()
        self.world.slow_s.clear()

    @rule(role=roles, delay_s=st.sampled_from([0.15, 0.6, 1.5]))
    def slow_sender(self, role, delay_s):
        self.world.slow_s[self.node(role).node_id] = delay_s

    @rule(up=st.booleans())
    def log_service(self, up):
        self.world.log_up = up

    @rule(role=roles)
    def stop_or_go_on_reading_the_log(self, role):
        node = self.node(role)
        node.reads_log = not node.reads_log

    @rule(role=roles)
    def lose_or_pass_appends(self, role):
        node = self.node(role)
        node.appends = not node.appends

    @rule(every=st.integers(2, 4))
    def duplicate_and_reorder(self, every):
        again = self.world.messages[::every]
        self.world.messages = [*reversed(self.world.messages), *again]

    @rule(every=st.integers(1, 3))
    def lose_messages(self, every):
        del self.world.messages[::every]

    @rule(role=roles, forced=st.booleans())
    def tick_alone(self, role, forced):
        self.node(role).tick(forced)

    @rule(role=roles, wanted_s=st.sampled_from([0.1, 0.9, 2.9]))
    def request(self, role, wanted_s):
        self.world.request(self.node(role).node_id, KEY, wanted_s)

    @rule(owner=roles, standby=roles, reader=roles)
    def plan(self, owner, standby, reader):
        """Move a slice, as a planner with a fresh or stale fold would."""
        slice_ = self.node(reader).state.slice_at(SERVICE, key_hash(KEY))
        owner, standby = self.node(owner).node_id, self.node(standby).node_id
        if slice_ is None or owner == standby:
            return
        change = SliceMove(
            service=SERVICE,
            start=slice_.start,
            base_epoch=slice_.epoch,
            owner=owner,
            standby=standby,
        )
        move(self.world, [change])

    @invariant()
    def no_key_has_two_owners(self):
        if hasattr(self, "world"):
            self.world.check()


TestSoleOwnership = SoleOwnership.TestCase
TestSoleOwnership.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


class FencedSoleOwnership(SoleOwnership):
    """The same where servers check fences, with restarts in place among the faults.

    A node's server keeps its grants when the node's process is killed.
    """

    @initialize()
    def begin(self):
        self.world = make_world(count=6, fenced=True, longest_lease_ms=3000)

    @rule(role=roles, work_s=st.sampled_from([0.01, 1.0]))
    def reacquire(self, role, work_s):
        """Acquire a lease anew, as after a reset of all connections to a server.

        The new lease may be shorter than the one before.
        """
        node = self.node(role)
        if node.frozen or not node.backend_up or not node.caught_up:
            return
        for _ in range(SAMPLES):
            node.agent.work_times.add(work_s)
        now_s, ends_s = node.now_s(), node.held_until_s()
        node.carry_out(node.agent.surrender(node.state, "anew", now_s, ends_s))
        if node.agent.holder.phase == "surrendered":
            node.agent.recover()

    @rule(role=roles)
    def restart_in_place(self, role):
        self.node(role).restart(predecessor_ended=True)

    @rule(role=roles, duration_s=st.sampled_from([0.05, 0.1, 0.4]))
    def restart_in_place_and_lose_backend(self, role, duration_s):
        node = self.node(role)
        node.restart(predecessor_ended=True)
        self.world.run(duration_s)
        if node.backend_up:
            self.lose_or_return_backend_of(node)

    @rule(duration_s=st.sampled_from([0.1, 0.7]))
    def restart_all_in_place(self, duration_s):
        for node in self.world.nodes.values():
            node.restart(predecessor_ended=True)
        self.world.run(duration_s)


TestFencedSoleOwnership = FencedSoleOwnership.TestCase
TestFencedSoleOwnership.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)


def test_the_world_serves_every_key():
    """The other tests aren't vacuous: each key has an owner in the world."""
    world = make_world()
    assert all(world.served(key) for key in KEYS)


@pytest.mark.parametrize("log_up", [True, False])
def test_standby_takes_over(log_up):
    """A lost owner's keys are served by its standby, with and without the log."""
    world = make_world()
    slice_ = world.nodes["node-1"].state.slice_at(SERVICE, key_hash(KEYS[0]))
    world.log_up = log_up
    world.nodes[slice_.owner].frozen = True
    world.run(2.0)
    assert world.request(slice_.standby, KEYS[0])
    world.run(5.0)
    assert all(world.served(key) for key in KEYS)
