"""A node that lost its witnesses: when it may choose others, and when it owns again."""

import pytest

from comfreywharf.ownership import LeaseTerms
from comfreywharf.ownership.lostwitnesses import LostWitnesses
from comfreywharf.records import ClusterState, LeaseStarted, WitnessesReset, fold
from comfreywharf.records.messages import NodeAnnounced
from comfreywharf.records.tests.builders import make_member

TERMS = LeaseTerms(lease_s=1.5, drift=0.025, stale_after_s=10.0)
WITNESSES = ("a", "b", "c")


def evaluate(lost, now_s, requesting=True, witnesses=WITNESSES):
    return lost.evaluate(witnesses, requesting, now_s)


def test_two_silent_witnesses_are_replaced():
    """Guards against a healthy node's keys being permanently unavailable.

    The machines of two of its witnesses are removed within seconds. Without a majority
    the node can neither own slices nor replace the witnesses in the regular way."""
    lost = LostWitnesses(TERMS)
    lost.answer_received("a", 10.0)
    assert evaluate(lost, 10.0) == (False, False)
    lost.answer_received("a", 10.6)
    assert evaluate(lost, 10.7) == (True, False)
    lost.members_probed({"a", "d", "e", "f"}, 10.8)
    lost.answer_received("a", 11.2)
    assert evaluate(lost, 11.3) == (False, False)
    lost.members_probed({"a", "d", "e", "f"}, 13.5)
    lost.answer_received("a", 13.7)
    assert evaluate(lost, 13.8) == (False, True)
    state = ClusterState(members={n: make_member(n) for n in "abcdefx"})
    assert set(lost.choose(state, "x")) <= {"a", "d", "e", "f"}


def test_witnesses_that_restart_are_waited_for():
    """Guards against nodes that own nothing for ten seconds after the loss of all
    nodes, seen on two of ten.

    All nodes are killed, and two witnesses of one node restart two seconds later than
    it. If the node recorded other witnesses after 1.2 s, it would have to wait until no
    grant of an earlier one can last."""
    lost = LostWitnesses(TERMS)
    for tenth in range(100, 120):
        now_s = tenth / 10
        lost.answer_received("a", now_s)
        lost.members_probed({"a", "d", "e", "f"}, now_s)
        assert evaluate(lost, now_s)[1] is False
    lost.answer_received("b", 12.0)
    assert evaluate(lost, 12.0) == (False, False)


def test_witnesses_that_refuse_are_not_lost():
    """A witness that refuses may have granted the lease to a taker."""
    lost = LostWitnesses(TERMS)
    for tenth in range(100, 160):
        now_s = tenth / 10
        lost.answer_received("a", now_s)
        lost.answer_received("b", now_s)
        assert evaluate(lost, now_s) == (False, False)


def test_node_that_sends_no_requests_has_lost_no_witnesses():
    """A surrendered node receives no answers, since it sends no requests."""
    lost = LostWitnesses(TERMS)
    assert evaluate(lost, 10.0, requesting=False) == (False, False)
    assert evaluate(lost, 20.0, requesting=False) == (False, False)


def test_no_witnesses_are_replaced_without_a_bound_on_stale_ones():
    """Nothing would then bound how long an earlier witness grants claims."""
    lost = LostWitnesses(LeaseTerms())
    assert evaluate(lost, 10.0) == evaluate(lost, 60.0) == (False, False)


def test_the_wait_covers_all_that_an_earlier_witness_may_grant():
    """Guards against two servers that hold a key.

    A taker and two witnesses are partitioned from the log and from the owner, and the
    owner chooses other witnesses. It must not serve at once: the earlier two haven't
    folded the record, and grant the claim until their fold is stale; the last grant
    lasts for a lease."""
    lost = LostWitnesses(TERMS)
    last_grant_s = 50.0 + TERMS.stale_after_s * (1 + TERMS.drift)
    claim_ends_s = TERMS.expires_s(last_grant_s, TERMS.lease_s)
    assert lost.must_wait(True, 50.0)
    assert lost.must_wait(True, claim_ends_s)
    assert not lost.must_wait(True, 50.0 + TERMS.reset_wait_s)


def test_new_process_starts_the_wait_again():
    """The earlier process left no record of when it folded the reset."""
    first, second = LostWitnesses(TERMS), LostWitnesses(TERMS)
    first.must_wait(True, 50.0)
    assert second.must_wait(True, 61.0)
    assert second.must_wait(True, 61.0 + TERMS.reset_wait_s - 0.1)


def announced(node_id):
    return NodeAnnounced(
        record_id=f"announce {node_id}",
        node_id=node_id,
        incarnation=1,
        host="h",
        caller_port=1,
        peer_port=2,
        operator_port=3,
        failure_domain="d",
        region="r",
    )


@pytest.mark.parametrize(("base", "accepted"), [(1, True), (0, False)])
def test_reset_is_based_on_the_latest_epoch_and_lasts_to_the_next_start(base, accepted):
    """A reset that is based on an earlier epoch is refused; the next start ends it."""
    state = ClusterState()
    fold(state, 0, announced("x"))
    start = LeaseStarted(
        record_id="s",
        node_id="x",
        incarnation=1,
        base_lease_epoch=-1,
        witnesses=WITNESSES,
    )
    fold(state, 1, start)
    reset = WitnessesReset(
        record_id="r",
        node_id="x",
        incarnation=1,
        base_lease_epoch=base,
        witnesses=("d", "e", "f"),
    )
    assert fold(state, 2, reset).accepted is accepted
    assert state.members["x"].reset_pending is accepted
    assert state.members["x"].witnesses == (("d", "e", "f") if accepted else WITNESSES)
    assert state.members["x"].earlier_witnesses == ()
    if accepted:
        again = LeaseStarted(
            record_id="t",
            node_id="x",
            incarnation=1,
            base_lease_epoch=2,
            witnesses=("d", "e", "f"),
        )
        fold(state, 3, again)
        assert not state.members["x"].reset_pending
