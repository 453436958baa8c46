"""Tests of the choice among backend servers, and of ejection."""

import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from comfreywharf.load.choice import LeastInFlight, NearFirst, RoundRobin, TwoChoices
from comfreywharf.load.ejection import MAX_PAUSE_S, Ejector
from comfreywharf.load.tests.builders import member


class EjectionMachine(RuleBasedStateMachine):
    """Servers join, leave, fail, slow down and recover in any order."""

    def __init__(self):
        super().__init__()
        self.ejector = Ejector()
        self.members = [member(f"m{n}", samples=0) for n in range(3)]
        self.latency_s = {}
        self.failing = set()
        self.in_flight = []
        self.now_s = 0.0
        self.made = len(self.members)

    def pick(self, index):
        usable = self.ejector.usable(self.members, self.now_s)
        assert usable
        chosen = usable[index % len(usable)]
        if self.ejector.is_ejected(chosen.node_id):
            probes = [m for m, probe in self.in_flight if probe and m is chosen]
            assert not probes, "an ejected server got two requests"
        return chosen

    @rule(index=st.integers(0, 9))
    def begin(self, index):
        chosen = self.pick(index)
        self.in_flight.append((chosen, self.ejector.is_ejected(chosen.node_id)))
        chosen.begin()
        self.ejector.record_sent(chosen, self.now_s)

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data())
    def finish(self, data):
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        self.end(*self.in_flight.pop(index))

    def end(self, chosen, probe):
        failed = chosen.node_id in self.failing
        latency_s = self.latency_s.get(chosen.node_id, 0.01)
        chosen.finish(latency_s, failed)
        changed = self.ejector.record_outcome(
            chosen, self.members, latency_s, failed, self.now_s, probe
        )
        if changed == (chosen.node_id, True):
            ejected = [m for m in self.members if self.ejector.is_ejected(m.node_id)]
            assert len(ejected) <= len(self.members) // 2

    @rule()
    def use_all(self):
        """Send a few requests to each server that isn't ejected."""
        usable = self.ejector.usable(self.members, self.now_s)
        for chosen in usable * 6:
            if not self.ejector.is_ejected(chosen.node_id):
                chosen.begin()
                self.end(chosen, False)

    @rule(index=st.integers(0, 2), failing=st.booleans(), slow=st.booleans())
    def change(self, index, failing, slow):
        name = self.members[index % len(self.members)].node_id
        self.failing.discard(name)
        if failing:
            self.failing.add(name)
        self.latency_s[name] = 0.1 if slow else 0.01

    @rule(index=st.integers(0, 9))
    def leave(self, index):
        if len(self.members) > 1:
            self.members.pop(index % len(self.members))

    @precondition(lambda self: len(self.members) < 5)
    @rule()
    def join(self):
        self.members.append(member(f"m{self.made}", samples=0))
        self.made += 1

    @rule(elapsed_s=st.floats(0.0, 4.0))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s

    @invariant()
    def ejected_fraction_is_bounded(self):
        usable = self.ejector.usable(self.members, self.now_s)
        ejected = [m for m in self.members if self.ejector.is_ejected(m.node_id)]
        assert usable
        assert len(ejected) <= len(self.members) // 2

    def teardown(self):
        """All servers are reinstated once they have recovered."""
        self.failing.clear()
        self.latency_s.clear()
        while self.in_flight:
            self.end(*self.in_flight.pop())
        for number in range(200):
            self.begin(number)
            self.end(*self.in_flight.pop())
            self.now_s += MAX_PAUSE_S / 10
        assert not any(self.ejector.is_ejected(m.node_id) for m in self.members)


TestEjectionMachine = EjectionMachine.TestCase
TestEjectionMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


def test_server_that_fails_every_request_is_ejected():
    """Ejection follows from measurements, not from the server's own reports."""
    bad = member("bad", failed=True)
    members = [bad, member("good"), member("well")]
    ejector = Ejector()
    assert ejector.record_outcome(bad, members, 0.001, True, 0.0, False) == (
        "bad",
        True,
    )
    assert bad not in ejector.usable(members, 0.5)
    assert ejector.usable(members, 1.5) == [bad]
    assert bad not in ejector.usable(members, 1.5, idempotent=False)


@pytest.mark.parametrize("chooser", [LeastInFlight(), TwoChoices()])
def test_chooser_prefers_the_less_loaded(chooser):
    """Of two equally fast servers the idle one is chosen."""
    busy, idle = member("busy"), member("idle")
    for _ in range(5):
        busy.begin()
    rng = random.Random(0)
    assert {chooser.choose([busy, idle], rng) for _ in range(20)} == {idle}


def test_two_choices_avoid_the_slow_and_round_robin_does_not():
    """`TwoChoices` avoids a slow server; `RoundRobin` ignores latency."""
    members = [member("slow", latency_s=0.1), member("fast")]
    rng = random.Random(0)
    by_latency = [TwoChoices().choose(members, rng) for _ in range(20)]
    assert members[0] not in by_latency
    turns = RoundRobin()
    assert members[0] in [turns.choose(members, rng) for _ in range(2)]


def three_members():
    """Return a near server and two far ones with equal measurements."""
    members = [member("near"), member("far"), member("away")]
    members[0].near = True
    return members


def choices(members, count=60):
    """Return the servers chosen by a node in the near server's failure domain."""
    chooser, rng = NearFirst(), random.Random(0)
    return {chooser.choose(members, rng).node_id for _ in range(count)}


def test_near_server_is_preferred_while_it_has_idle_slots():
    """A server in the node's failure domain is chosen while it has idle slots.

    Guards against needless traffic between failure domains, which was two thirds of
    all bytes when a near server wasn't preferred.
    """
    members = three_members()
    members[0].begin()
    assert choices(members) == {"near"}


@pytest.mark.parametrize("trouble", ["in flight", "slow", "refuses", "fails"])
def test_a_near_server_in_trouble_is_not_preferred(trouble):
    """A near server that is busy, slow, refusing or failing isn't preferred.

    Guards against refusals while servers in other failure domains are idle: all
    callers move to one failure domain, and its server has no idle slot.
    """
    members = three_members()
    near = members[0]
    for _ in range(5 if trouble == "in flight" else 1):
        near.begin()
    if trouble == "slow":
        near.mean_latency_s *= 4
    if trouble in ("refuses", "fails"):
        if trouble == "refuses":
            near.finish_refused()
        else:
            near.finish(0.001, True)
        assert "far" in choices(members)
        for _ in range(10):
            near.begin()
            near.finish(near.mean_latency_s, False)
        assert choices(members) == {"near"}
    else:
        assert "near" not in choices(members)


def test_cold_server_gets_a_part_of_the_load():
    """The weight of a server that has just restarted follows its answers."""
    warm, cold = member("warm", samples=60), member("cold", samples=60)
    cold.reset_measurements(announced_offset=7)
    rng = random.Random(0)
    for _ in range(2):
        warm.begin()
    assert LeastInFlight().choose([warm, cold], rng) is warm
