"""What a claim keeps of the witnesses' answers."""

from comfreywharf.ownership import LeaseTerms
from comfreywharf.ownership.claims import HeldClaim
from comfreywharf.ownership.messages import Denial
from comfreywharf.records.tests.builders import make_member

TERMS = LeaseTerms(lease_s=1.0, drift=0.02)


def test_a_claim_names_the_witnesses_that_denied_it_last():
    """An operator sees why a takeover took long."""
    owner = make_member("a", witnesses=("w1", "w2", "w3"))
    claim = HeldClaim(owner, "b", 1, frozenset(), TERMS, 0.0, 0)
    number = claim.message(0.0, 0.0).round
    claim.denied("w2", Denial.SILENT)
    claim.denied("w1", Denial.HELD)
    assert claim.denials_text() == "w1:held w2:silent"
    claim.grant_received("w2", number, 1, 0.1)
    assert claim.denials_text() == "w1:held"
