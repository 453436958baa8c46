"""What a backend server holds: each test is a way for two servers to hold a key."""

import attrs
import pytest

from comfreywharf.ownership.holds import GrantAnswer, HoldBook, HoldTerms
from comfreywharf.records import Slice

TERMS = HoldTerms(lease_s=1.5, longest_s=10.0)
NOW_S = 100.0
PIECE = Slice(start=0, end=1000, owner="a", epoch=5)


def served(piece=PIECE, fence=10, until_s=NOW_S + 1.5):
    return [("booking", piece, fence, until_s)]


def granted(book, piece=PIECE, fence=10, now_s=NOW_S, answer=GrantAnswer.TAKEN):
    (order,) = book.due(served(piece, fence, now_s + 1.5), now_s)
    book.answered(order, answer, now_s)
    return order


def test_a_hold_ends_within_the_lease_on_a_clock_that_runs_slow():
    """Symptom: a server runs a request after its node's lease was taken over.
    Sequence: a grant until the lease's end; the server's clock runs 2% slow.
    Cause: the hold was as long as the lease by the node's clock."""
    (order,) = HoldBook(TERMS).due(served(), NOW_S)
    assert order.hold_s * 1.02 <= 1.5


def test_an_order_that_waited_is_granted_for_as_much_shorter():
    """Symptom: two servers hold a key after a takeover.
    Sequence: many slices are due at once, and only a few grants go out at a time.
    Cause: the last of them was granted for as long as when it was decided on."""
    (order,) = HoldBook(TERMS).due(served(), NOW_S)
    assert (NOW_S + 0.7 + order.hold_s_at(NOW_S + 0.7) * 1.02) <= NOW_S + 1.5
    assert order.hold_s_at(NOW_S + 1.48) == 0


def test_a_hold_is_never_longer_than_the_server_takes():
    """A server refuses a hold beyond its longest."""
    (order,) = HoldBook(TERMS).due(served(until_s=NOW_S + 60), NOW_S)
    assert order.hold_s <= TERMS.longest_s


def test_a_hold_is_renewed_in_time_and_not_before():
    """Renewals are few, and come while the server still holds the range."""
    book = HoldBook(TERMS)
    granted(book)
    assert book.due(served(until_s=NOW_S + 1.7), NOW_S + 0.2) == []
    (order,) = book.due(served(until_s=NOW_S + 2.4), NOW_S + 0.9)
    assert order.fence == 10


def test_nothing_is_sent_twice_while_an_answer_is_awaited():
    """A frozen server isn't sent a grant with each look."""
    book = HoldBook(TERMS)
    assert len(book.due(served(), NOW_S)) == 1
    assert book.due(served(), NOW_S + 0.1) == []


def test_a_released_range_is_granted_again_only_under_a_higher_fence():
    """Symptom: a renewal brings back a range that was released.
    Sequence: release; the lease loop looks again before it folds the move.
    Cause: the range was still among those served."""
    book = HoldBook(TERMS)
    granted(book)
    assert book.stop("booking", 0, 1000, 12, NOW_S) == 10
    assert book.due(served(until_s=NOW_S + 3), NOW_S + 1.4) == []
    assert len(book.due(served(fence=14, until_s=NOW_S + 3), NOW_S + 1.4)) == 1


def test_a_grant_without_an_answer_is_waited_for():
    """Symptom: two servers hold a key; the first one's hold began after its release.
    Sequence: a grant's answer is lost, the range is released, the grant is
    carried out. Cause: the release was taken for the end of the hold."""
    book = HoldBook(TERMS)
    order = granted(book, answer=GrantAnswer.LOST)
    book.stop("booking", 0, 1000, 12, NOW_S)
    assert book.lost_until_s("booking", 0, 1000) >= NOW_S + order.hold_s * 1.02


@pytest.mark.parametrize("half", [(0, 500), (500, 1000)])
def test_a_part_of_a_range_that_was_split_is_still_held(half):
    """Symptom: two servers held half a slice for 1.1 s.
    Sequence: a slice is granted, split, and its second half moves at once.
    Cause: the half had no grant of its own, and counted as free."""
    book = HoldBook(TERMS)
    granted(book)
    assert book.stop("booking", *half, 12, NOW_S + 0.1) == 10
    assert book.held_until_s("booking", *half) > NOW_S + 1


def test_the_hold_before_a_split_counts_after_the_first_half_was_granted_anew():
    """Symptom and cause as above; here the first half has its new grant already."""
    book = HoldBook(TERMS)
    granted(book)
    left = attrs.evolve(PIECE, end=500, epoch=7)
    granted(book, left, fence=14, now_s=NOW_S + 0.1)
    assert book.stop("booking", 500, 1000, 20, NOW_S + 0.2) == 10


def test_what_an_earlier_process_granted_is_released_or_waited_for():
    """Symptom: two servers held a slice for 1.1 s after all nodes were restarted.
    Sequence: a node is killed beside its living server and returns; the planner
    moves a slice; the node, which granted nothing itself, releases it at once.
    Cause: the hold that the earlier process granted was still running."""
    book = HoldBook(TERMS, unknown_until_s=NOW_S + 1.6)
    assert book.stop("booking", 0, 1000, 12, NOW_S) == 12
    assert book.held_until_s("booking", 0, 1000) == NOW_S + 1.6
    assert book.stop("booking", 0, 1000, 12, NOW_S + 1.7) is None


def test_a_new_instance_holds_nothing():
    """A server that was started again has nothing to release."""
    book = HoldBook(TERMS)
    granted(book)
    book.clear()
    assert book.stop("booking", 0, 1000, 12, NOW_S) is None


@pytest.mark.parametrize("change", [HoldBook.process_changed, HoldBook.clear])
def test_no_fence_is_used_for_two_processes_of_a_server(change):
    """Symptom: a key goes to a server under the fence that the crashed one had.
    Sequence: a grant, a crash, another process at the address, the grant's renewal.
    Cause: a fence was bound to a lease, which went on, and not to the process."""
    book = HoldBook(TERMS)
    granted(book)
    change(book)
    assert book.has_used_fence([14, 10])
    assert book.due(served(until_s=NOW_S + 3), NOW_S + 0.1) == []
    assert not book.has_used_fence([12])
    assert len(book.due(served(fence=12, until_s=NOW_S + 3), NOW_S + 0.1)) == 1


def test_a_fence_counts_as_used_from_when_its_order_is_decided_on():
    """The order may have reached the earlier process, answered or not."""
    book = HoldBook(TERMS)
    book.due(served(), NOW_S)
    book.process_changed()
    assert book.has_used_fence([10])


def test_what_was_granted_counts_on_where_the_process_may_be_the_same():
    """Symptom: two servers hold a slice after all connections to one were reset.
    Sequence: a grant, the resets, a planned move. Cause: the loss of the connections
    was taken for the server's death, and the slice was given away at once."""
    book = HoldBook(TERMS)
    order = granted(book)
    book.process_changed()
    assert book.held_until_s("booking", 0, 1000) >= NOW_S + order.hold_s
    assert book.stop("booking", 0, 1000, 12, NOW_S + 0.1) == 10


def test_an_order_that_was_never_sent_is_not_waited_for():
    """Its hold ends when the lease does, and nothing comes late."""
    book = HoldBook(TERMS)
    granted(book, answer=GrantAnswer.UNSENT)
    assert book.lost_until_s("booking", 0, 1000) < NOW_S
    assert not book.awaits_answer("booking", 0, 1000)


def test_an_outdated_grant_isnt_repeated():
    """The server has seen a higher fence: only a new term of the lease helps."""
    book = HoldBook(TERMS)
    granted(book, answer=GrantAnswer.OUTDATED)
    assert book.due(served(until_s=NOW_S + 3), NOW_S + 1.4) == []
    assert len(book.due(served(fence=12, until_s=NOW_S + 3), NOW_S + 1.4)) == 1


def test_a_handover_goes_with_the_first_grant_that_is_taken():
    """A lost grant is repeated with its handover; a taken one needs it no more."""
    book = HoldBook(TERMS)
    book.take_handover(("booking", 0), "token")
    assert granted(book, answer=GrantAnswer.LOST).handover == "token"
    (order,) = book.due(served(until_s=NOW_S + 1.6), NOW_S + 0.1)
    assert order.handover == "token"
    book.answered(order, GrantAnswer.TAKEN, NOW_S + 0.1)
    (order,) = book.due(served(until_s=NOW_S + 2.6), NOW_S + 1.1)
    assert order.handover == ""


def test_a_release_waits_for_a_grant_that_is_on_its_way():
    """Symptom: two servers held a slice for 1.4 s, after a planned move.
    Sequence: a renewal is sent, then the release on another connection, which the
    server takes first. Cause: the renewal, of the same fence, brought it back."""
    book = HoldBook(TERMS)
    granted(book)
    (order,) = book.due(served(until_s=NOW_S + 2.4), NOW_S + 0.9)
    book.stop("booking", 0, 1000, 12, NOW_S + 0.9)
    assert book.awaits_answer("booking", 0, 1000)
    assert book.awaits_answer("booking", 500, 600)
    book.answered(order, GrantAnswer.TAKEN, NOW_S + 0.91)
    assert not book.awaits_answer("booking", 0, 1000)


def test_a_grant_of_a_slice_that_was_split_meanwhile_is_still_answered():
    """The order's hold is an earlier one by the time its answer comes."""
    book = HoldBook(TERMS)
    (order,) = book.due(served(), NOW_S)
    (newer,) = book.due(served(attrs.evolve(PIECE, end=500), fence=14), NOW_S)
    book.answered(order, GrantAnswer.LOST, NOW_S + 0.4)
    book.answered(newer, GrantAnswer.TAKEN, NOW_S + 0.4)
    assert not book.awaits_answer("booking", 0, 1000)
    assert book.lost_until_s("booking", 500, 1000) > NOW_S + 1
