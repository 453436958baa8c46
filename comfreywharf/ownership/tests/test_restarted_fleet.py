"""How soon keys are served again once all nodes have been killed and started."""

import pytest

from comfreywharf.ownership import LeaseTerms, OwnershipAgent
from comfreywharf.ownership.holder import Holder, OwnLease
from comfreywharf.ownership.messages import Denial, Grant
from comfreywharf.ownership.tests import sim_node
from comfreywharf.ownership.tests.builders import KEYS, STEP_S, make_world

LONGEST_S = 3.0
TERMS = LeaseTerms(lease_s=1.0, drift=0.0)
GROUP = ("a", "b", "c")


def seconds_to_last_key(longest_lease_ms, predecessor_ended=False):
    """Return the time from the start of all nodes until each key is served."""
    world = make_world(count=7, fenced=True, longest_lease_ms=longest_lease_ms)
    owners = {key: world.role("owner", key) for key in KEYS}
    world.messages.clear()
    for node in world.nodes.values():
        node.restart(predecessor_ended)
    world.forwarded.clear()
    started_s = world.real_s
    while not all(world.served(key) for key in KEYS):
        world.run(STEP_S)
    served_after_s = world.real_s - started_s
    world.run(2.0)
    assert {key: world.role("owner", key) for key in KEYS} == owners
    return served_after_s


def silence_s(longest_s):
    """Return how long a restarted witness is silent, by its own clock."""
    return sim_node.TERMS.silent_until_s(0.0, longest_s)


@pytest.mark.parametrize("longest_lease_ms", [0, 1000 * LONGEST_S])
def test_keys_are_served_right_after_the_witnesses_silence(longest_lease_ms):
    """Guards against a wait for the next regular renewal after all nodes restarted."""
    allowed_s = silence_s(longest_lease_ms / 1000) + 4 * STEP_S
    assert seconds_to_last_key(int(longest_lease_ms)) <= allowed_s


def test_no_lease_of_an_ended_process_is_waited_for():
    """Guards against a wait for the longest lease after all nodes restarted in place.

    Only claims may still count that the witnesses granted before, and they are as long
    as the shortest lease."""
    allowed_s = silence_s(0.0) + 4 * STEP_S
    assert seconds_to_last_key(int(1000 * LONGEST_S), True) <= allowed_s


@pytest.mark.parametrize("fenced", [True, False])
def test_a_process_that_restarts_in_place_has_its_keys_back_at_once(fenced):
    """Guards against keys that wait for the lease of a process that was killed.

    Where servers check no fences, requests of that process may still take effect."""
    world = make_world(count=7, fenced=fenced, longest_lease_ms=int(1000 * LONGEST_S))
    owner = world.nodes[world.role("owner", KEYS[0])]
    owner.restart(predecessor_ended=True)
    world.run(0.4)
    assert world.request(owner.node_id, KEYS[0]) is fenced


def test_a_process_on_another_machine_waits_for_the_one_before():
    """Guards against two owners after a frozen machine was replaced."""
    world = make_world(count=7, fenced=True, longest_lease_ms=int(1000 * LONGEST_S))
    owner = world.nodes[world.role("owner", KEYS[0])]
    owner.restart(predecessor_ended=False)
    world.run(0.8)
    assert not world.request(owner.node_id, KEYS[0])


def holder_of_group():
    holder = Holder("x", 1, TERMS)
    holder.use_witnesses([GROUP])
    return holder


def test_the_next_renewal_is_due_when_a_majority_may_grant_it():
    """Guards against a renewal that comes up to an interval after the refusals' end."""
    holder = holder_of_group()
    holder.renewal(OwnLease(), 10.0, 10.0)
    for witness, retry_after_s in zip(GROUP, (0.05, 0.12, 0.9), strict=True):
        holder.refused(witness, retry_after_s, 10.01)
    assert holder.next_round_s == pytest.approx(10.13)
    assert not holder.renewal_due(10.12)
    assert holder.renewal_due(10.14)
    holder.renewal(OwnLease(), 10.14, 10.14)
    assert holder.next_round_s == pytest.approx(10.14 + TERMS.renew_interval_s)


def test_a_refusal_that_lasts_long_delays_no_renewal():
    """The regular interval holds where a majority refuses for longer."""
    holder = holder_of_group()
    holder.renewal(OwnLease(), 10.0, 10.0)
    for witness in GROUP:
        holder.refused(witness, 5.0, 10.01)
    assert holder.next_round_s == 10.0 + TERMS.renew_interval_s


def test_a_node_that_witnesses_refuse_for_long_doesnt_pause_its_requests():
    """Guards against keys that stay dark for two leases longer than the silence."""
    holder = holder_of_group()
    for tenth in range(100, 160):
        now_s = tenth / 10
        holder.renewal(OwnLease(), now_s, now_s)
        for witness in GROUP[:2]:
            holder.refused(witness, 16.0 - now_s, now_s)
        assert not holder.majority_overdue(now_s)


def test_a_process_mentions_its_predecessor_until_it_has_had_the_lease():
    """Guards against a process that was replaced and still counts as the newest."""
    holder = holder_of_group()
    holder.set_incarnation(2, ended_predecessor=1)
    own_lease = OwnLease(incarnation=2, lease_incarnation=1)
    first = holder.renewal(own_lease, 10.0, 10.0)
    assert first.predecessor_ended
    for witness in GROUP:
        holder.grant_received(witness, first.round, 1, 10.1)
    assert not holder.renewal(own_lease, 10.2, 10.2).predecessor_ended


def test_a_process_mentions_no_predecessor_that_was_replaced_meanwhile():
    """Guards against two owners where a start's fold lacked the last holder."""
    holder = holder_of_group()
    holder.set_incarnation(3, ended_predecessor=1)
    own_lease = OwnLease(incarnation=3, lease_incarnation=2)
    assert not holder.renewal(own_lease, 10.0, 10.0).predecessor_ended


def test_a_node_whose_witnesses_dont_answer_pauses_its_requests():
    """Guards against a lease that is extended forever by requests without answers."""
    holder = holder_of_group()
    for tenth in range(100, 132):
        holder.renewal(OwnLease(), tenth / 10, tenth / 10)
    holder.refused("a", 5.0, 13.0)
    assert holder.majority_overdue(13.1)


def test_a_node_that_heard_from_nobody_replaces_no_witness_at_once():
    """Guards against other witnesses for each node behind a link that was full."""
    holder = holder_of_group()
    grant_all(holder, 10.0, GROUP)
    for tenth in range(101, 140):
        holder.renewal(OwnLease(), tenth / 10, tenth / 10)
        holder.tick(tenth / 10)
    assert holder.phase == "lapsed"
    assert holder.silent_witnesses(13.9 + TERMS.replace_witness_after_s)
    after_s = 14.0 + TERMS.replace_witness_after_s
    for half_seconds in range(28, round(2 * after_s)):
        grant_all(holder, half_seconds / 2, GROUP[:2])
        assert holder.silent_witnesses(half_seconds / 2) == set()
    assert holder.silent_witnesses(after_s + 0.1) == {"c"}


def grant_all(holder, now_s, witnesses):
    renewal = holder.renewal(OwnLease(), now_s, now_s)
    for witness in witnesses:
        holder.grant_received(witness, renewal.round, 1, now_s)


def test_a_witness_that_answers_with_a_takeover_isnt_replaced():
    """Guards against other witnesses for each owner whose server has crashed."""
    agent = OwnershipAgent("x", 1, TERMS, make_id=str)
    agent.holder.use_witnesses([GROUP])
    taken = Grant(granted=False, denial=Denial.TAKEN, retry_after_s=0.2)
    late_s = 10.0 + 2 * TERMS.replace_witness_after_s
    for now_s in (10.0, late_s):
        agent.holder.renewal(OwnLease(), now_s, now_s)
        agent.renewal_denied("a", taken, now_s)
    assert agent.holder.silent_witnesses(late_s) == {"b", "c"}


def test_a_witness_in_its_silence_isnt_replaced():
    """Guards against other witnesses for all nodes after all nodes restarted."""
    holder = holder_of_group()
    for tenth in range(100, 140):
        holder.renewal(OwnLease(), tenth / 10, tenth / 10)
        holder.refused("a", 14.0 - tenth / 10, tenth / 10)
    after_s = TERMS.replace_witness_after_s
    assert holder.silent_witnesses(10.0 + after_s + 0.1) == {"b", "c"}
    assert holder.silent_witnesses(14.0 + after_s + 0.1) == set(GROUP)


@pytest.mark.parametrize("run_s", [0.05, 0.1, 0.2, 0.4])
def test_a_taker_waits_for_the_grants_of_an_ended_process(run_s):
    """Guards against two servers that hold a key after a restart in place.

    The new process gives its lease up, before or after it has had it. It knows what it
    has granted to the server itself, and not what its predecessor has."""
    world = make_world(count=7, fenced=True, longest_lease_ms=int(1000 * LONGEST_S))
    owner = world.nodes[world.role("owner", KEYS[0])]
    standby = world.role("standby", KEYS[0])
    assert world.request(owner.node_id, KEYS[0])
    owner.restart(predecessor_ended=True)
    world.run(run_s)
    owner.backend_up = False
    now_s = owner.now_s()
    serving = owner.agent.table.serving(owner.state, now_s)
    ends_s = max([until_s for *_, until_s in serving], default=None)
    owner.carry_out(owner.agent.surrender(owner.state, "lost", now_s, ends_s))
    world.run(LONGEST_S)
    world.run(LONGEST_S)
    assert world.request(standby, KEYS[0])
