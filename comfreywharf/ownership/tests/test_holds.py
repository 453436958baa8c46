"""The holds of a backend server, and the grants and releases that change them."""

import attrs
import pytest

from comfreywharf.ownership.holds import GrantAnswer, HoldBook, HoldTerms
from comfreywharf.records import Slice

TERMS = HoldTerms(lease_s=1.5, longest_s=10.0)
NOW_S = 100.0
SLICE = Slice(start=0, end=1000, owner="a", epoch=5)


def served(slice_=SLICE, fence=10, until_s=NOW_S + 1.5):
    return [("booking", slice_, fence, until_s)]


def granted(book, slice_=SLICE, fence=10, now_s=NOW_S, answer=GrantAnswer.TAKEN):
    (order,) = book.due_orders(served(slice_, fence, now_s + 1.5), now_s)
    book.answered(order, answer, now_s)
    return order


def test_a_hold_ends_within_the_lease_on_a_clock_that_runs_slow():
    """Guards against a server that runs a request after its node's lease was taken
    over: by a server's clock that runs 2% slow, a hold as long as the lease ends too
    late."""
    (order,) = HoldBook(TERMS).due_orders(served(), NOW_S)
    assert order.hold_s * 1.02 <= 1.5


def test_delay_of_an_order_shortens_its_hold():
    """Guards against two servers that hold a key after a takeover.

    Many slices are due at once, and only a few grants are sent at a time. The last ones
    must not be granted for as long as they were when they were decided on."""
    (order,) = HoldBook(TERMS).due_orders(served(), NOW_S)
    assert (NOW_S + 0.7 + order.hold_s_at(NOW_S + 0.7) * 1.02) <= NOW_S + 1.5
    assert order.hold_s_at(NOW_S + 1.48) == 0


def test_a_hold_is_never_longer_than_the_server_accepts():
    """A server refuses a hold that exceeds its limit."""
    (order,) = HoldBook(TERMS).due_orders(served(until_s=NOW_S + 60), NOW_S)
    assert order.hold_s <= TERMS.longest_s


def test_a_hold_is_renewed_in_time_and_not_before():
    """Renewals are rare, and are sent while the server still holds the range."""
    book = HoldBook(TERMS)
    granted(book)
    assert book.due_orders(served(until_s=NOW_S + 1.7), NOW_S + 0.2) == []
    (order,) = book.due_orders(served(until_s=NOW_S + 2.4), NOW_S + 0.9)
    assert order.fence == 10


def test_nothing_is_sent_twice_while_an_answer_is_awaited():
    """A frozen server isn't sent a grant at each check."""
    book = HoldBook(TERMS)
    assert len(book.due_orders(served(), NOW_S)) == 1
    assert book.due_orders(served(), NOW_S + 0.1) == []


def test_a_released_range_is_granted_again_only_under_a_higher_fence():
    """Guards against a renewal that grants a released range again.

    After the release the lease loop checks the grants before it folds the move, while
    the range still is among those served."""
    book = HoldBook(TERMS)
    granted(book)
    assert book.stop("booking", 0, 1000, 12, NOW_S) == 10
    assert book.due_orders(served(until_s=NOW_S + 3), NOW_S + 1.4) == []
    assert len(book.due_orders(served(fence=14, until_s=NOW_S + 3), NOW_S + 1.4)) == 1


def test_release_waits_for_the_end_of_a_grant_without_an_answer():
    """Guards against two servers that hold a key, the first by a hold that began after
    its release.

    The answer to a grant is lost, the range is released, and then the grant is applied.
    The release doesn't end such a hold."""
    book = HoldBook(TERMS)
    order = granted(book, answer=GrantAnswer.LOST)
    book.stop("booking", 0, 1000, 12, NOW_S)
    assert book.lost_until_s("booking", 0, 1000) >= NOW_S + order.hold_s * 1.02


@pytest.mark.parametrize("half", [(0, 500), (500, 1000)])
def test_a_part_of_a_range_that_was_split_is_still_held(half):
    """Guards against two servers that hold half a slice, seen for 1.1 s.

    A slice is granted and split, and its second half is moved at once. The half has no
    grant of its own, and is held by the grant of the whole."""
    book = HoldBook(TERMS)
    granted(book)
    assert book.stop("booking", *half, 12, NOW_S + 0.1) == 10
    assert book.held_until_s("booking", *half) > NOW_S + 1


def test_the_hold_before_a_split_counts_after_the_first_half_was_granted_anew():
    """Guards against the same fault when the first half already has a new grant."""
    book = HoldBook(TERMS)
    granted(book)
    left = attrs.evolve(SLICE, end=500, epoch=7)
    granted(book, left, fence=14, now_s=NOW_S + 0.1)
    assert book.stop("booking", 500, 1000, 20, NOW_S + 0.2) == 10


def test_grants_of_an_earlier_process_are_released_or_awaited():
    """Guards against two servers that hold a slice, seen for 1.1 s after a restart of
    all nodes.

    A node is killed and restarts while its server keeps running, and the planner moves
    a slice. The node has granted nothing itself, but must not release the slice at
    once: a hold that the earlier process granted may still last."""
    book = HoldBook(TERMS, unknown_until_s=NOW_S + 1.6)
    assert book.stop("booking", 0, 1000, 12, NOW_S) == 12
    assert book.held_until_s("booking", 0, 1000) == NOW_S + 1.6
    assert book.stop("booking", 0, 1000, 12, NOW_S + 1.7) is None


def test_a_new_instance_holds_nothing():
    """A restarted server has nothing to release."""
    book = HoldBook(TERMS)
    granted(book)
    book.clear()
    assert book.stop("booking", 0, 1000, 12, NOW_S) is None


@pytest.mark.parametrize("change", [HoldBook.process_changed, HoldBook.clear])
def test_no_fence_is_used_for_two_processes_of_a_server(change):
    """Guards against a key that a server holds under the fence of a crashed one.

    After a grant the server crashes, another process listens at the address, and the
    grant is renewed. A fence must be bound to the process, not only to the lease, which
    continues."""
    book = HoldBook(TERMS)
    granted(book)
    change(book)
    assert book.has_used_fence([14, 10])
    assert book.due_orders(served(until_s=NOW_S + 3), NOW_S + 0.1) == []
    assert not book.has_used_fence([12])
    assert len(book.due_orders(served(fence=12, until_s=NOW_S + 3), NOW_S + 0.1)) == 1


def test_a_fence_counts_as_used_from_when_its_order_is_decided_on():
    """The order may have reached the earlier process, with or without an answer."""
    book = HoldBook(TERMS)
    book.due_orders(served(), NOW_S)
    book.process_changed()
    assert book.has_used_fence([10])


def test_grants_still_count_if_the_process_may_be_the_same():
    """Guards against two servers that hold a slice after all connections to the first
    were reset, before a planned move.

    The loss of the connections is no proof of a crash, so that the slice must not be
    handed over at once."""
    book = HoldBook(TERMS)
    order = granted(book)
    book.process_changed()
    assert book.held_until_s("booking", 0, 1000) >= NOW_S + order.hold_s
    assert book.stop("booking", 0, 1000, 12, NOW_S + 0.1) == 10


def test_release_doesnt_wait_for_an_order_that_was_never_sent():
    """Its hold ends with the lease, and no late order can arrive."""
    book = HoldBook(TERMS)
    granted(book, answer=GrantAnswer.UNSENT)
    assert book.lost_until_s("booking", 0, 1000) < NOW_S
    assert not book.awaits_answer("booking", 0, 1000)


def test_an_outdated_grant_isnt_repeated():
    """The server has seen a higher fence, so that a new lease epoch is needed."""
    book = HoldBook(TERMS)
    granted(book, answer=GrantAnswer.OUTDATED)
    assert book.due_orders(served(until_s=NOW_S + 3), NOW_S + 1.4) == []
    assert len(book.due_orders(served(fence=12, until_s=NOW_S + 3), NOW_S + 1.4)) == 1


def test_handover_is_sent_until_a_grant_is_taken():
    """A lost grant is repeated with its handover; a taken one consumes it."""
    book = HoldBook(TERMS)
    book.take_handover(("booking", 0), "token")
    assert granted(book, answer=GrantAnswer.LOST).handover == "token"
    (order,) = book.due_orders(served(until_s=NOW_S + 1.6), NOW_S + 0.1)
    assert order.handover == "token"
    book.answered(order, GrantAnswer.TAKEN, NOW_S + 0.1)
    (order,) = book.due_orders(served(until_s=NOW_S + 2.6), NOW_S + 1.1)
    assert order.handover == ""


def test_release_waits_for_a_grant_in_transit():
    """Guards against two servers that hold a slice, seen for 1.4 s after a move.

    After a planned move, a renewal is sent, and then the release on another connection,
    which the server processes first. The renewal with the same fence would grant the
    slice again."""
    book = HoldBook(TERMS)
    granted(book)
    (order,) = book.due_orders(served(until_s=NOW_S + 2.4), NOW_S + 0.9)
    book.stop("booking", 0, 1000, 12, NOW_S + 0.9)
    assert book.awaits_answer("booking", 0, 1000)
    assert book.awaits_answer("booking", 500, 600)
    book.answered(order, GrantAnswer.TAKEN, NOW_S + 0.91)
    assert not book.awaits_answer("booking", 0, 1000)


def test_answer_to_a_grant_counts_though_the_slice_was_split_meanwhile():
    """The order's hold isn't the current one when its answer arrives."""
    book = HoldBook(TERMS)
    (order,) = book.due_orders(served(), NOW_S)
    (newer,) = book.due_orders(served(attrs.evolve(SLICE, end=500), fence=14), NOW_S)
    book.answered(order, GrantAnswer.LOST, NOW_S + 0.4)
    book.answered(newer, GrantAnswer.TAKEN, NOW_S + 0.4)
    assert not book.awaits_answer("booking", 0, 1000)
    assert book.lost_until_s("booking", 500, 1000) > NOW_S + 1
