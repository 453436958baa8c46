"""Witnesses that restart: which requests they grant, and which grants count."""

import pytest

from comfreywharf.ownership import Claim, LeaseTerms, OwnerView, Witness
from comfreywharf.ownership.quorum import QuorumLease
from comfreywharf.ownership.tests.builders import KEYS, STEP_S, make_world

TERMS = LeaseTerms(lease_s=1.0, drift=0.0)
GROUP = ("a", "b", "c")
LONGEST_REQUEST_S = 5.0


def test_running_owner_keeps_its_keys_when_witnesses_restart_together():
    """Guards against keys of healthy nodes that are unavailable for a lease after many
    nodes were lost.

    Two of an owner's three witnesses are killed and restart at once. Each refuses
    requests until all grants of its earlier process have ended. It must not refuse the
    owner, whose renewals say that such a grant still counts."""
    world = make_world()
    key = KEYS[0]
    owner = world.role("owner", key)
    witnesses = [world.role(f"witness{index}", key) for index in range(3)]
    assert world.request(owner, key, 0.1)
    for node_id in witnesses[:2]:
        world.nodes[node_id].restart()
    for _ in range(round(3.0 / STEP_S)):
        world.run(STEP_S)
        assert world.request(owner, key, 0.01)


def test_restarted_witness_grants_no_taker_sooner():
    """Only the owner is granted the lease early: the witness refuses all takers."""
    world = make_world()
    key = KEYS[0]
    owner, standby = world.role("owner", key), world.role("standby", key)
    witnesses = [world.role(f"witness{index}", key) for index in range(3)]
    for node_id in {*witnesses} - {standby}:
        world.nodes[node_id].restart()
    world.nodes[owner].frozen = True
    world.run(1.0)
    assert not world.request(standby, key, 0.1)


@pytest.mark.parametrize(
    ("term", "received_s", "held"),
    [(2, 10.95, True), (2, 11.05, False), (1, 11.05, True)],
)
def test_a_restarted_witness_counts_only_while_its_earlier_grant_does(
    term, received_s, held
):
    """Guards against an owner and a taker that both hold a lease.

    The owner's grant ends while its next renewal is in transit. The witnesses grant the
    lease to a taker and restart, and then the renewal arrives. It says that an earlier
    grant still counts, which was true at the sending but not when the witnesses
    processed it."""
    lease = QuorumLease(TERMS, [GROUP])
    first = lease.begin_round(10.0, 0.0, 0)
    for witness in GROUP:
        lease.grant(witness, first, term=1, now_s=10.1)
    second = lease.begin_round(10.9, 0.0, 0)
    assert lease.had_grant("a", second)
    for witness in GROUP:
        lease.grant(witness, second, term=term, now_s=received_s)
    assert lease.held(11.1) is held


def claim_at(first_named, now_s):
    """Return a witness's answer to a claim on the lease that record 8 began.

    The witness started at 0, and the owner has never renewed there.
    """
    claim = Claim(
        owner_id="a",
        taker_id="b",
        taker_incarnation=1,
        lease_epoch=8,
        portfolio_epoch=10,
        lease_s=TERMS.lease_s,
        reach_s=0.0,
        round=1,
    )
    view = OwnerView(
        incarnation=1, lease_epoch=8, lease_incarnation=1, portfolio_epoch=10
    )
    witness = Witness(TERMS, 0.0, 1, first_named)
    return witness.claim(claim, view, LONGEST_REQUEST_S, now_s)


def test_a_new_witness_doesnt_wait_for_requests_that_it_never_granted():
    """Guards against a takeover that waits for the longest request, five seconds.

    An owner is lost before it has renewed with a node that has just been added and that
    its record names as a witness."""
    after_s = TERMS.silent_until_s(0.0) + 0.01
    assert after_s < LONGEST_REQUEST_S
    assert claim_at(first_named=5, now_s=after_s).granted
    assert not claim_at(first_named=5, now_s=TERMS.silent_until_s(0.0) - 0.01).granted


@pytest.mark.parametrize("first_named", [9, None])
def test_a_restarted_witness_waits_for_requests_that_it_may_have_granted(first_named):
    """The record may name an earlier process of the witness, which was told of them."""
    assert not claim_at(first_named, LONGEST_REQUEST_S - 0.01).granted
    assert claim_at(first_named, LONGEST_REQUEST_S + 0.01).granted
