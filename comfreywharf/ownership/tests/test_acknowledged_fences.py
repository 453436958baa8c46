"""No fence is used before the witnesses have acknowledged the record that raised it."""

import pytest

from comfreywharf.ownership.quorum import QuorumLease
from comfreywharf.ownership.tests.builders import (
    KEYS,
    SERVICE,
    STEP_S,
    make_world,
    move,
)
from comfreywharf.records import (
    LeaseStarted,
    SliceMove,
    SlicesMerged,
    SliceSplit,
    key_hash,
)

KEY = KEYS[0]


def fence_of(world, node):
    """Return the fence under which a node's server may be granted the key now."""
    serving = node.agent.table.serving(node.state, node.now_s())
    value = key_hash(KEY)
    fences = [f for _, slice_, f, _ in serving if slice_.start <= value < slice_.end]
    return max(fences, default=-1)


def isolate(world, node):
    others = [name for name in world.nodes if name != node.node_id]
    world.cuts |= {(node.node_id, other) for other in others}
    world.cuts |= {(other, node.node_id) for other in others}


def restart_lease(node):
    """Restart a node's lease, as after its server's process changed."""
    now_s = node.now_s()
    node.carry_out(node.agent.surrender(node.state, "anew", now_s, now_s + 0.8))
    node.agent.recover()


def owner_of(world):
    return world.nodes[world.role("owner", KEY)]


def only_reader(world, node):
    """Have only one node read the log from now on."""
    for other in world.nodes.values():
        other.reads_log = other is node


def fences_around_a_partition(world):
    """Return the highest fence of the owner and that of its taker.

    The log is down while records are being sent to it, and only the owner reads it. The
    owner is partitioned from the others when the records are written.
    """
    owner = owner_of(world)
    standby = world.nodes[world.role("standby", KEY)]
    owned = fence_of(world, owner)
    taken = -1
    isolate(world, owner)
    world.log_up = True
    for _ in range(round(3.0 / STEP_S)):
        world.run(STEP_S)
        owned = max(owned, fence_of(world, owner))
        taken = max(taken, fence_of(world, standby))
    return owned, taken


def test_taker_has_a_higher_fence_than_an_unacknowledged_lease():
    """Guards against a taker's server that holds a key under a fence below the owner's.

    A lease restarts, and its record is written. The owner is partitioned before its
    next renewal, and the others read the log with a delay of a lease. The owner must
    not use the fence as soon as its record is read back: the witnesses receive the
    new lease epoch only by the next renewal, and until then grant a claim on the
    earlier one, whose takeover fence is lower."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    before = fence_of(world, owner)
    only_reader(world, owner)
    world.log_up = False
    restart_lease(owner)
    while owner.agent.holder.phase != "starting":
        world.run(STEP_S)
    world.run(STEP_S)
    owned, taken = fences_around_a_partition(world)
    assert taken > max(before, owned)


def change_standby(world, slice_):
    other = world.role("other", KEY)
    change = SliceMove(
        service=SERVICE,
        start=slice_.start,
        base_epoch=slice_.epoch,
        owner=slice_.owner,
        standby=other,
    )
    move(world, [change])


def split_slice(world, slice_):
    at = (slice_.start + slice_.end) // 2
    append(
        world,
        SliceSplit(
            record_id=world.make_id(),
            service=SERVICE,
            start=slice_.start,
            base_epoch=slice_.epoch,
            at=at,
        ),
    )


def split_and_merge(world, slice_):
    split_slice(world, slice_)
    epoch = len(world.log)
    append(
        world,
        SlicesMerged(
            record_id=world.make_id(),
            service=SERVICE,
            start=slice_.start,
            base_epoch=epoch,
            next_base_epoch=epoch,
        ),
    )


def record_witnesses(world, slice_):
    member = world.folded_log().members[slice_.owner]
    append(
        world,
        LeaseStarted(
            record_id=world.make_id(),
            node_id=slice_.owner,
            incarnation=member.incarnation,
            base_lease_epoch=member.lease_epoch,
            witnesses=member.witnesses,
        ),
    )


def append(world, record):
    world.waiting_appends.append(record)
    if world.log_up:
        world.append_waiting()


RANGE_CHANGES = (split_slice, split_and_merge)
"""Changes after which the owner's fence is a new one."""

OTHER_CHANGES = (change_standby, record_witnesses)
"""Changes that leave the owner its range and its lease, and so its fence."""

CHANGES = RANGE_CHANGES + OTHER_CHANGES


def slice_of(world):
    return world.folded_log().slice_at(SERVICE, key_hash(KEY))


def fences_around_a_change(change):
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    only_reader(world, owner)
    world.log_up = False
    change(world, slice_of(world))
    return fences_around_a_partition(world)


@pytest.mark.parametrize("change", CHANGES)
def test_taker_has_a_higher_fence_than_an_unacknowledged_change(change):
    """Guards against a taker's server that holds a key under a fence below the owner's.

    A record changes a slice that its owner keeps. The owner is partitioned before its
    next renewal, and the others read the log with a delay of a lease. As for a lease
    that restarts, the owner must not use a fence that the record raised at once."""
    owned, taken = fences_around_a_change(change)
    assert -1 < owned < taken


@pytest.mark.parametrize("change", RANGE_CHANGES)
def test_taker_has_a_lower_fence_without_the_wait_for_witnesses(change, monkeypatch):
    """Each such change would otherwise give the owner a higher fence than its taker."""
    monkeypatch.setattr(QuorumLease, "acknowledged_epoch", lambda self: 1 << 60)
    owned, taken = fences_around_a_change(change)
    assert -1 < taken < owned


@pytest.mark.parametrize("change", OTHER_CHANGES)
def test_a_change_that_leaves_range_and_lease_leaves_the_fence(change):
    """Guards against a server that refuses work which it was sent before a record.

    A slice gets another standby, or its owner other witnesses, while requests are on
    their way. Each node's fold and each witness has the record at the end."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    before = fence_of(world, owner)
    change(world, slice_of(world))
    for _ in range(round(3.0 / STEP_S)):
        world.run(STEP_S)
        assert fence_of(world, owner) == before
    state = world.folded_log()
    assert state.fence(slice_of(world)) > before
    assert 2 * owner.agent.holder.lease.acknowledged_epoch() > before


@pytest.mark.parametrize("change", OTHER_CHANGES)
def test_a_fence_that_stayed_is_below_that_of_the_next_taker(change):
    """Guards against a taker that is granted a key under a fence of its lost owner."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    change(world, slice_of(world))
    world.run(1.0)
    owned = fence_of(world, owner)
    standby = world.nodes[world.role("standby", KEY)]
    owner.frozen = True
    world.run(2.5)
    assert fence_of(world, standby) > owned > -1


@pytest.mark.parametrize("change", OTHER_CHANGES)
def test_a_slice_is_moved_under_the_fence_that_stayed(change):
    """Guards against a server that refuses work while its slice waits for a move."""
    world = make_world(count=7, fenced=True)
    owner, target = owner_of(world), world.nodes[world.role("other", KEY)]
    before = fence_of(world, owner)
    change(world, slice_of(world))
    world.run(1.0)
    target.reads_log = False
    slice_ = slice_of(world)
    moved = SliceMove(
        service=SERVICE,
        start=slice_.start,
        base_epoch=slice_.epoch,
        owner=target.node_id,
        standby=owner.node_id,
    )
    move(world, [moved])
    for _ in range(round(1.0 / STEP_S)):
        world.run(STEP_S)
        assert fence_of(world, owner) == before
    target.reads_log = True
    world.run(1.0)
    assert fence_of(world, target) > before


def test_a_recorded_takeover_leaves_the_takers_fence():
    """Guards against a taker's server that refuses work once the takeover is recorded.

    The standby serves under its claim while it can't append, and then appends."""
    world = make_world(count=7, fenced=True)
    owner, standby = owner_of(world), world.nodes[world.role("standby", KEY)]
    owned = fence_of(world, owner)
    standby.appends = False
    owner.frozen = True
    world.run(2.0)
    taken = fence_of(world, standby)
    assert taken > owned
    standby.appends = True
    for _ in range(round(3.0 / STEP_S)):
        world.run(STEP_S)
        assert fence_of(world, standby) == taken
    assert slice_of(world).owner == standby.node_id
    assert world.folded_log().fence(slice_of(world)) > taken
    owner.frozen = False
    world.run(2.0)
    assert fence_of(world, owner) == -1


@pytest.mark.parametrize("change", RANGE_CHANGES)
def test_witnesses_learn_of_a_change_at_once_in_one_round(change):
    """Guards against keys that are unavailable for a quarter of a lease after a split.

    A record raises the fence of a slice that its owner keeps. The owner must
    send the new epoch to the witnesses before the next regular renewal is due."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    while owner.agent.holder.renewal_due(owner.now_s() + 3 * STEP_S):
        world.run(STEP_S)
    before = fence_of(world, owner)
    rounds = count_rounds(owner)
    change(world, slice_of(world))
    world.run(2 * STEP_S)
    assert fence_of(world, owner) > before
    assert len(rounds) == 1


@pytest.mark.parametrize("change", OTHER_CHANGES)
def test_witnesses_learn_of_any_change_at_once_in_one_round(change):
    """Guards against a release that waits for the next regular renewal."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    while owner.agent.holder.renewal_due(owner.now_s() + 3 * STEP_S):
        world.run(STEP_S)
    before = owner.agent.holder.lease.acknowledged_epoch()
    rounds = count_rounds(owner)
    change(world, slice_of(world))
    world.run(2 * STEP_S)
    assert owner.agent.holder.lease.acknowledged_epoch() > before
    assert len(rounds) == 1


def count_rounds(node):
    """Return a list to which the number of each of a node's rounds is added."""
    rounds = []
    renewal = node.agent.holder.renewal

    def recorded(*args, **options):
        message = renewal(*args, **options)
        rounds.append(message.round)
        return message

    node.agent.holder.renewal = recorded
    return rounds


def test_restarted_lease_is_used_one_round_after_it_was_read_back():
    """Guards against keys that are unavailable for a quarter of a lease after each
    restart in place.

    A lease restarts and is recorded. Its fences wait for a renewal with the new
    epoch, which must not wait until the next regular one."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    before = fence_of(world, owner)
    restart_lease(owner)
    while owner.agent.holder.phase != "held":
        world.run(STEP_S)
    assert fence_of(world, owner) > before


def test_slice_that_was_merged_and_split_again_keeps_no_earlier_fence():
    """Guards against a server that is granted a key under a lower fence than before.

    Two slices are merged, served, and split again at the same place. The owner is
    partitioned, so that the witnesses don't receive the new epoch. The owner must not
    continue under the fence that it last used for a slice with that start."""
    world = make_world(count=7, fenced=True)
    owner = owner_of(world)
    slice_ = slice_of(world)
    highest = -1
    for change in (split_slice, merge_again, split_slice):
        if change is split_slice and highest > -1:
            isolate(world, owner)
        change(world, slice_of(world) if change is split_slice else slice_)
        for _ in range(6):
            world.run(STEP_S)
            fences = [fence_of(world, owner), *fences_within(owner, slice_)]
            served = [fence for fence in fences if fence > -1]
            assert all(fence >= highest for fence in served)
        highest = max([highest, *served])


def fences_within(node, slice_):
    serving = node.agent.table.serving(node.state, node.now_s())
    return [f for _, p, f, _ in serving if slice_.start <= p.start < slice_.end]


def merge_again(world, slice_):
    """Merge the two parts of a slice that was split."""
    slice_map = world.folded_log().slices[SERVICE]
    first = slice_map.at_start(slice_.start)
    append(
        world,
        SlicesMerged(
            record_id=world.make_id(),
            service=SERVICE,
            start=slice_.start,
            base_epoch=first.epoch,
            next_base_epoch=slice_map.at_start(first.end).epoch,
        ),
    )
