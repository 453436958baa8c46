"""A backend server that refuses requests for keys that it was granted."""

from comfreywharf.ownership.holds import (
    REFUSAL_PAUSE_S,
    GrantAnswer,
    HoldBook,
    HoldTerms,
)
from comfreywharf.records.slices import Slice

SLICE_ID = ("booking", 0)
FENCE = 4


def due(book, now_s):
    slice_ = Slice(start=0, end=1 << 63, owner="a", epoch=2)
    return book.due_orders([("booking", slice_, FENCE, now_s + 1.5)], now_s)


def granted_book():
    book = HoldBook(terms=HoldTerms(lease_s=1.5, longest_s=10.0))
    (order,) = due(book, 0.0)
    book.answered(order, GrantAnswer.TAKEN, 0.01)
    return book


def test_a_range_is_granted_again_after_its_server_refused_a_request():
    """Guards against requests for a lost hold until the next renewal."""
    book = granted_book()
    assert not due(book, 0.1)
    assert book.request_refused(SLICE_ID, FENCE, sent_s=0.1, now_s=0.11)
    assert not book.holds(SLICE_ID, FENCE, 0.11)
    assert len(due(book, 0.11)) == 1


def test_a_refusal_from_before_the_latest_grant_is_ignored():
    """Guards against a grant for each request that a late grant overtook."""
    book = granted_book()
    assert not book.request_refused(SLICE_ID, FENCE, sent_s=0.005, now_s=0.02)
    assert book.holds(SLICE_ID, FENCE, 0.02)


def test_a_server_that_refuses_everything_gets_few_grants():
    """Guards against a grant with each request."""
    book = granted_book()
    assert book.request_refused(SLICE_ID, FENCE, sent_s=0.1, now_s=0.11)
    (order,) = due(book, 0.12)
    book.answered(order, GrantAnswer.TAKEN, 0.13)
    assert not book.request_refused(SLICE_ID, FENCE, sent_s=0.14, now_s=0.15)
    later_s = 0.11 + REFUSAL_PAUSE_S
    assert book.request_refused(SLICE_ID, FENCE, sent_s=later_s, now_s=later_s + 0.01)


def test_a_refused_range_may_still_be_held_until_its_grants_end():
    """Guards against a next owner that begins while the server may hold the keys."""
    book = granted_book()
    held_until_s = book.held_until_s("booking", 0, 1 << 63)
    book.request_refused(SLICE_ID, FENCE, sent_s=0.1, now_s=0.11)
    assert book.held_until_s("booking", 0, 1 << 63) == held_until_s
