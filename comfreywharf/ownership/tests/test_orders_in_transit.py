"""The end that is reported for the holds of a server with an order in transit."""

from comfreywharf.ownership import SendUnclaim
from comfreywharf.ownership.holds import GrantAnswer, HoldBook, HoldTerms
from comfreywharf.ownership.tests.builders import KEYS, make_world
from comfreywharf.records import Slice

TERMS = HoldTerms(lease_s=1.5, longest_s=10.0)
SLICE = Slice(start=0, end=1000, owner="a", epoch=5)
LEFT_S = 1.2
WAITED_S = 0.35
"""Shorter than the timeout of an order's answer."""


def test_reported_end_covers_an_order_in_transit():
    """Guards against two servers that hold a key at the same time.

    A server is slow to accept a grant. Before the answer counts as lost, the node gives
    up its lease and reports until when the server holds anything. A hold counts from
    the arrival of the grant, so that the lease's end at the time of the decision isn't
    sufficient."""
    book = HoldBook(TERMS)
    now_s = 100.0
    (order,) = book.due_orders([("booking", SLICE, 10, now_s + LEFT_S)], now_s)
    reported_s = book.all_held_until_s(now_s + WAITED_S)
    book.answered(order, GrantAnswer.LOST, now_s + WAITED_S)
    assert reported_s >= book.all_held_until_s(now_s + WAITED_S)


def test_claims_end_covers_an_order_in_transit():
    """Guards against the same fault for an order that is based on a claim, which is
    renewed meanwhile.

    The claim's own end is late enough, and must not be replaced by the earlier one."""
    world = make_world(fenced=True)
    owner = world.nodes[world.role("owner", KEYS[0])]
    standby = world.nodes[world.role("standby", KEYS[0])]
    standby.appends = False
    owner.frozen = True
    world.run(2.5)
    (claim,) = standby.agent.claims.values()
    book = HoldBook(TERMS)
    until_s = claim.lease.until_s()
    (order,) = book.due_orders([("booking", SLICE, 11, until_s)], standby.now_s())
    world.run(WAITED_S)
    now_s = standby.now_s()
    claim_left_s = claim.lease.until_s() - now_s
    assert claim.lease.until_s() > until_s
    actions = standby.agent.surrender(
        standby.state, "backend lost", now_s, book.all_held_until_s(now_s)
    )
    (reported_s,) = {a.claim.reach_s for a in actions if isinstance(a, SendUnclaim)}
    book.answered(order, GrantAnswer.LOST, now_s)
    held_s = book.all_held_until_s(now_s) - now_s
    assert reported_s >= min(held_s, claim_left_s)
