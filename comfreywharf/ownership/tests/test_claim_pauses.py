"""When a standby may begin its next claim on an owner's lease."""

import attrs

from comfreywharf.ownership import LeaseTerms
from comfreywharf.ownership.claim_pauses import DENIED_PAUSE_S, ClaimPauses
from comfreywharf.records.tests.builders import make_member

TERMS = LeaseTerms(lease_s=1.0, drift=0.0)
OWNER = make_member("a", lease_epoch=3, portfolio_epoch=5)
VIEW = (3, 5)


def test_a_denied_claim_is_not_repeated_on_the_same_view_for_a_while():
    """Guards against a claim with each notice, which is denied as the last one was."""
    pauses = ClaimPauses(TERMS)
    pauses.denied("a", VIEW, 10.0)
    assert not pauses.may_begin(OWNER, 10.0 + DENIED_PAUSE_S / 2)
    assert pauses.may_begin(OWNER, 10.0 + DENIED_PAUSE_S)


def test_a_denied_claim_is_repeated_at_once_on_a_newer_view():
    """Guards against a lost owner whose keys wait for a pause that has no reason."""
    pauses = ClaimPauses(TERMS)
    pauses.denied("a", VIEW, 10.0)
    assert pauses.may_begin(attrs.evolve(OWNER, lease_epoch=4), 10.0)
    assert pauses.may_begin(attrs.evolve(OWNER, portfolio_epoch=6), 10.0)


def test_a_contested_claim_waits_until_a_live_owner_could_renew():
    """Guards against a standby and an owner that block each other."""
    pauses = ClaimPauses(TERMS)
    pauses.contested("a", 10.0)
    assert not pauses.may_begin(attrs.evolve(OWNER, lease_epoch=4), 10.9)
    assert pauses.may_begin(OWNER, 11.0)


def test_the_pauses_of_one_owner_hold_up_no_claim_on_another():
    pauses = ClaimPauses(TERMS)
    pauses.contested("a", 10.0)
    pauses.denied("a", VIEW, 10.0)
    assert pauses.may_begin(make_member("b"), 10.0)
