"""A node's process that restarts, with a backend server that checks fences."""

from comfreywharf.ownership import LeaseTerms, OwnerView, Renewal, Witness

TERMS = LeaseTerms(lease_s=1.5, drift=0.025)
LONGEST_S = 5.0


def renew(checks_fences, now_s):
    """Return a witness's answer to a new process; the witness restarted at 0."""
    view = OwnerView(
        incarnation=2,
        lease_epoch=7,
        lease_incarnation=1,
        portfolio_epoch=7,
        checks_fences=checks_fences,
    )
    renewal = Renewal(
        owner_id="a",
        incarnation=2,
        lease_epoch=7,
        portfolio_epoch=7,
        lease_s=1.5,
        reach_s=0.0,
        round=1,
    )
    return Witness(TERMS, 0.0, 1).renew(renewal, view, LONGEST_S, now_s)


def test_new_process_of_a_fenced_server_skips_the_wait_for_the_longest_request():
    """Guards against 8 s without service after all machines lost power.

    All processes start at once, and their witnesses have no memory. They must not wait
    for the longest request: the backend server stops work whose grant has ended, and
    the grants ended with the earlier lease."""
    after_s = TERMS.silent_until_s(0.0) + 0.01
    assert after_s < LONGEST_S
    assert not renew(checks_fences=True, now_s=TERMS.silent_until_s(0.0) - 0.01).granted
    assert renew(checks_fences=True, now_s=after_s).granted


def test_new_process_waits_for_the_longest_request_without_fences():
    """Requests that an earlier process forwarded may still take effect."""
    after_s = TERMS.silent_until_s(0.0) + 0.01
    assert not renew(checks_fences=False, now_s=after_s).granted
    assert renew(checks_fences=False, now_s=LONGEST_S + 0.01).granted
