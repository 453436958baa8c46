"""Leases that are longer than usual, since work at the backend server takes long."""

from unittest import mock

import pytest

from comfreywharf.ownership import Holder, OwnLease
from comfreywharf.ownership.holds import GrantAnswer, HoldBook, HoldTerms
from comfreywharf.ownership.terms import LeaseTerms
from comfreywharf.ownership.tests.builders import KEYS, Violation, make_world
from comfreywharf.ownership.tests.sim_node import SimNode
from comfreywharf.ownership.work_times import WorkTimes, lease_length_s
from comfreywharf.records import Slice

KEY = KEYS[0]
LONGEST_S = 3.0
LIMIT_S = 10.0
NOTICED_S = 0.9
"""Time from the end of a lease to the takeover, with the drift of the simulation."""


def work(node, duration_s, count=40):
    for _ in range(count):
        node.agent.work_times.add(duration_s)


def unavailable_s(world):
    """Return for how long the key is served by no node from now on."""
    began_s = world.real_s
    while not world.served(KEY) and world.real_s < began_s + LIMIT_S:
        world.run(0.05)
    return world.real_s - began_s


def long_world(work_s):
    """Return a world, and the key's owner, whose requests take ``work_s``."""
    world = make_world(fenced=True, longest_lease_ms=int(LONGEST_S * 1000))
    owner = world.nodes[world.role("owner", KEY)]
    work(owner, work_s)
    world.run(1.0)
    return world, owner


@pytest.mark.parametrize("work_s, lease_s", [(0.1, 1.0), (1.0, 1.5), (9.0, 3.0)])
def test_keys_of_a_silent_owner_are_unavailable_for_its_lease_only(work_s, lease_s):
    """Guards against a takeover that waits for longer than the work required."""
    world, owner = long_world(work_s)
    # The lease from before any work was seen is the longest, and ends no earlier.
    world.run(LONGEST_S)
    assert owner.agent.holder.lease_s == lease_s
    owner.frozen = True
    assert unavailable_s(world) <= lease_s * 1.2 + NOTICED_S


@pytest.mark.parametrize("work_s", [0.1, 1.0, 9.0])
def test_keys_of_a_crashed_server_are_taken_over_at_once(work_s):
    """Guards against a crash that costs as long as a silent loss."""
    world, owner = long_world(work_s)
    owner.carry_out(
        owner.agent.surrender(owner.state, "crashed", owner.now_s(), float("-inf"))
    )
    owner.backend_up = False
    world.forwarded = []
    assert unavailable_s(world) <= NOTICED_S


def cut_off_behind_restarted_witnesses():
    """Cut an owner off from all others, right before two of its witnesses restart."""
    world, owner = long_world(9.0)
    others = set(world.nodes) - {owner.node_id}
    world.cuts |= {(owner.node_id, other) for other in others}
    world.cuts |= {(other, owner.node_id) for other in others}
    for witness in world.witnesses_of(KEY)[:2]:
        world.nodes[witness].restart()
    world.run(LONGEST_S + 3.0)
    assert world.served(KEY)


def test_a_restarted_witness_is_silent_for_the_longest_lease():
    """Guards against a takeover while the owner still relies on a forgotten grant."""
    cut_off_behind_restarted_witnesses()
    with mock.patch(f"{SimNode.__module__}.longest_lease_s", lambda *_: 0.0):
        with pytest.raises(Violation):
            cut_off_behind_restarted_witnesses()


def cut_off_after_shorter_work():
    """Cut an owner off right after its work has become short."""
    world, owner = long_world(9.0)
    work(owner, 0.01, count=400)
    world.run(0.3)
    assert owner.agent.holder.lease_s < LONGEST_S
    others = set(world.nodes) - {owner.node_id}
    world.cuts |= {(other, owner.node_id) for other in others}
    world.cuts |= {(owner.node_id, other) for other in others}
    world.run(LONGEST_S + 3.0)
    assert world.served(KEY)


def test_a_shorter_lease_ends_no_earlier_than_what_the_owner_relies_on():
    """Guards against witnesses that count a shorter lease from a renewal whose grant
    the owner never received."""
    cut_off_after_shorter_work()
    with mock.patch.object(Holder, "_length_s", lambda self, now_s: self.lease_s):
        with pytest.raises(Violation):
            cut_off_after_shorter_work()


def test_requested_ends_never_move_back():
    holder = Holder("a", 0, LeaseTerms())
    holder.use_witnesses([("b", "c", "d")])
    ends_s = []
    for now_s, lease_s in ((1.0, 1.0), (1.2, 3.0), (1.4, 1.0), (4.0, 1.0)):
        holder.lease_s = lease_s
        renewal = holder.renewal(OwnLease(), now_s, now_s)
        ends_s.append(round(now_s + renewal.lease_s, 6))
    assert ends_s == [2.0, 4.2, 4.2, 5.0]


def test_lease_covers_work_and_the_time_to_the_next_renewal():
    terms = LeaseTerms(lease_s=1.5, renewal_room_s=0.9)
    assert lease_length_s(0.0, terms, 0.0) == 1.5
    assert lease_length_s(1.0, terms, 0.0) == 1.5
    assert lease_length_s(1.0, terms, 8.0) == 2.0
    assert lease_length_s(30.0, terms, 8.0) == 8.0


def test_leases_are_as_long_as_allowed_until_work_was_seen():
    """Guards against requests that are lost while a new node learns how long they
    take."""
    world, owner = long_world(0.1)
    assert owner.agent.holder.lease_s == 1.0
    owner.restart()
    world.run(LONGEST_S * 2)
    assert owner.agent.holder.lease_s == LONGEST_S


def test_work_times_grow_beyond_what_a_hold_cuts_short():
    """Guards against holds that stay short since longer work is never observed."""
    times, terms = WorkTimes(), LeaseTerms(lease_s=1.5, renewal_room_s=0.9)
    lease_s, cut = terms.lease_s, 0
    for _ in range(10):
        for work_s in (0.4, 0.4, 2.4):
            times.add(min(work_s, lease_s))
            cut += work_s > lease_s
        lease_s = lease_length_s(times.long_s, terms, longest_s=8.0)
    assert lease_s >= 2.4 + terms.renewal_room_s
    # The estimates are used from the eighth request on, and one in three is cut.
    assert cut <= 3


SLICE = Slice(start=0, end=1000, owner="a", epoch=5)


def hold_left_s(book, now_s):
    return book._holds[("booking", 0)].taken_until_s - now_s


def test_a_hold_is_renewed_before_it_is_shorter_than_the_work():
    """Guards against requests that end with their hold though the lease is long."""
    book = HoldBook(HoldTerms(lease_s=1.5, longest_s=10.0))
    for _ in range(40):
        book.work_times.add(1.6)
    left_s = []
    for step in range(100):
        now_s = step * 0.1
        lease_until_s = now_s - now_s % 0.375 + 2.6
        served = [("booking", SLICE, 10, lease_until_s)]
        for order in book.due_orders(served, now_s):
            book.answered(order, GrantAnswer.TAKEN, now_s)
        left_s.append(hold_left_s(book, now_s))
    assert min(left_s) >= 1.6


@pytest.mark.parametrize("work_s", [1.4, 60.0])
def test_requests_still_begin_if_all_work_outlasts_the_hold(work_s):
    """Guards against a server that gets no request for good after a slow time."""
    book = HoldBook(HoldTerms(lease_s=1.5, longest_s=10.0))
    for _ in range(40):
        book.work_times.add(work_s)
    (order,) = book.due_orders([("booking", SLICE, 10, 101.1)], 100.0)
    book.answered(order, GrantAnswer.TAKEN, 100.0)
    assert book.holds(("booking", 0), 10, 100.1)


def test_no_request_begins_under_a_hold_that_is_certainly_too_short():
    """Guards against work that is thrown away when its hold ends."""
    book = HoldBook(HoldTerms(lease_s=1.5, longest_s=10.0))
    for _ in range(40):
        book.work_times.add(0.7)
    (order,) = book.due_orders([("booking", SLICE, 10, 101.5)], 100.0)
    book.answered(order, GrantAnswer.TAKEN, 100.0)
    assert book.holds(("booking", 0), 10, 100.5)
    assert not book.holds(("booking", 0), 10, 100.9)
