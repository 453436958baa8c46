"""When a witness has to look for leases that have lapsed."""

import math

import attrs
import pytest
from hypothesis import given, strategies as st

from comfreywharf.ownership import Claim, LeaseTerms, OwnerView, Renewal, Witness
from comfreywharf.ownership.messages import Denial
from comfreywharf.ownership.witness import NOTICE_INTERVAL_S

TERMS = LeaseTerms(lease_s=1.0, drift=0.0)
OWNERS = ("a", "b", "c")
VIEW = OwnerView(incarnation=1, lease_epoch=1, lease_incarnation=1, checks_fences=True)


def renew(witness, owner_id, number, now_s, longest_lease_s=0.0):
    view = attrs.evolve(VIEW, longest_lease_s=longest_lease_s)
    renewal = Renewal(
        owner_id=owner_id,
        incarnation=1,
        lease_epoch=1,
        portfolio_epoch=1,
        lease_s=1.0,
        reach_s=0.0,
        round=number,
    )
    return witness.renew(renewal, view, 5.0, now_s).granted


def test_a_witness_of_nobody_has_nothing_due():
    assert Witness(TERMS, 0.0, 1).next_notice_s(()) == math.inf


def test_an_owner_that_chose_a_new_witness_is_given_time_to_renew_there():
    """Guards against claims on live owners that their new witness then denies."""
    witness = Witness(TERMS, 0.0, 1)
    witness.watch({"a": 0.0}, 5.0)
    assert witness.lapsed_owners(("a",), 5.0) == []
    assert witness.next_notice_s(("a",)) == 5.0 + NOTICE_INTERVAL_S
    assert renew(witness, "a", 1, 5.1)
    assert witness.next_notice_s(("a",)) == 6.1


def test_a_lost_owner_is_noticed_though_it_never_renewed_with_a_new_witness():
    """Guards against an owner that is lost while its witnesses are replaced."""
    witness = Witness(TERMS, 0.0, 1)
    witness.watch({"a": 0.0}, 5.0)
    assert witness.lapsed_owners(("a",), 5.0 + NOTICE_INTERVAL_S) == ["a"]


@pytest.mark.parametrize("longest_lease_s", [0.0, 2.5])
def test_an_owner_may_renew_with_a_restarted_witness_before_standbys_are_told(
    longest_lease_s,
):
    """Guards against live owners that lose their keys after all nodes restarted."""
    witness = Witness(TERMS, 0.0, 1)
    witness.watch({"a": longest_lease_s}, 0.1)
    grants_from_s = max(TERMS.lease_s, longest_lease_s)
    last_refused_s = grants_from_s - 0.01
    assert not renew(witness, "a", 1, last_refused_s, longest_lease_s)
    next_s = last_refused_s + TERMS.renew_interval_s
    assert witness.lapsed_owners(("a",), next_s - 0.001) == []
    assert renew(witness, "a", 2, next_s, longest_lease_s)
    assert witness.lapsed_owners(("a",), next_s) == []


def test_a_restarted_witness_grants_the_owner_before_it_grants_a_claim():
    """Guards against a claim by another witness's notice on a live owner's lease."""
    witness = Witness(TERMS, 0.0, 1)
    witness.watch({"a": 2.5}, 0.1)
    assert not claim(witness, "a", 1, 2.51).granted
    assert renew(witness, "a", 1, 2.52, 2.5)
    assert claim(witness, "a", 2, 2.53).denial is Denial.HELD


def test_a_restarted_witness_grants_a_claim_on_an_owner_that_doesnt_renew():
    """Guards against keys of a lost owner that stay dark behind a restarted witness."""
    witness = Witness(TERMS, 0.0, 1)
    witness.watch({"a": 2.5}, 0.1)
    assert claim(witness, "a", 1, 2.5 + TERMS.renew_interval_s).granted


def claim(witness, owner_id, number, now_s):
    """Return a witness's answer to a standby's claim."""
    request = Claim(
        owner_id=owner_id,
        taker_id="t",
        taker_incarnation=1,
        lease_epoch=1,
        portfolio_epoch=1,
        lease_s=1.0,
        reach_s=0.0,
        round=number,
    )
    view = attrs.evolve(VIEW, longest_lease_s=2.5)
    return witness.claim(request, view, 5.0, now_s)


def test_standbys_of_an_owner_that_never_renews_with_a_restarted_witness_are_told():
    """Guards against an owner that is lost together with its witnesses for good."""
    witness = Witness(TERMS, 0.0, 1)
    witness.watch({"a": 2.5}, 0.1)
    assert witness.lapsed_owners(("a",), 2.5 + TERMS.renew_interval_s) == ["a"]


def test_owners_that_renew_cost_one_look_a_lease():
    """Guards against witnesses that walk through all members many times a second."""
    witness, looks = Witness(TERMS, 0.0, 1), 0
    now_s = 1.0
    due_s = now_s
    while now_s < 11.0:
        for number, owner_id in enumerate(OWNERS):
            assert renew(witness, owner_id, round(now_s * 100) + number, now_s)
        if now_s >= due_s:
            looks += 1
            assert witness.lapsed_owners(OWNERS, now_s) == []
            due_s = witness.next_notice_s(OWNERS)
        now_s += 0.25
    assert looks <= 11


@given(st.lists(st.tuples(st.sampled_from(OWNERS), st.integers(1, 30)), max_size=30))
def test_no_lapse_is_missed_by_sleeping_until_the_next_is_due(renewals):
    """Guards against an owner that is lost and whose standbys are never told."""
    sleeping, ticking = Witness(TERMS, 0.0, 1), Witness(TERMS, 0.0, 1)
    due_s, told, wanted = 0.0, [], []
    step, number = 100, 0
    schedule = []
    for owner_id, wait in renewals:
        step += wait
        schedule.append((step, owner_id))
    for now in range(100, step + 200):
        now_s = now / 100
        for _, owner_id in [entry for entry in schedule if entry[0] == now]:
            number += 1
            for witness in (sleeping, ticking):
                renew(witness, owner_id, number, now_s)
        wanted += [(o, now) for o in ticking.lapsed_owners(OWNERS, now_s)]
        if now_s >= due_s:
            told += [(o, now) for o in sleeping.lapsed_owners(OWNERS, now_s)]
            due_s = sleeping.next_notice_s(OWNERS)
    assert told == wanted
