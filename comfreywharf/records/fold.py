"""The fold: apply records in order, deterministically, and refuse stale ones."""

from enum import Enum
from functools import singledispatch

import attrs

from comfreywharf.records import messages
from comfreywharf.records.services import Configuration
from comfreywharf.records.slices import KEY_SPACE, SliceMap
from comfreywharf.records.state import FoldOutcome, Member
from comfreywharf.records.validation import MAX_SERVICES, check_patch

__all__ = ["FoldResult", "Refusal", "fold"]


class Refusal(Enum):
    """Why the fold refused a record, or a part of one."""

    STALE_VERSION = "stale_version"
    STALE_EPOCH = "stale_epoch"
    STALE_LEASE = "stale_lease"
    STALE_TERM = "stale_term"
    STALE_INCARNATION = "stale_incarnation"
    UNKNOWN_NODE = "unknown_node"
    UNKNOWN_SLICE = "unknown_slice"
    NOT_ALLOWED = "not_allowed"
    REPEATED = "repeated"
    UNREADABLE = "unreadable"


@attrs.frozen(kw_only=True)
class FoldResult:
    """The effect of a record: whether it was accepted, and the slices it changed."""

    accepted: bool
    refusal: Refusal | None = None
    changed: tuple[tuple[str, int], ...] = ()


_ACCEPTED = FoldResult(accepted=True)


def _refuse(refusal):
    return FoldResult(accepted=False, refusal=refusal)


def fold(state, offset, record):
    """Apply a record to the state, in place, and return a `FoldResult`.

    ``offset`` must be the state's ``next_offset``: another offset raises a
    `ValueError`, since a state with missing records would differ from that of
    all other nodes. A record whose id was folded before is refused, so that a
    second append after a lost answer changes nothing.
    """
    if offset != state.next_offset:
        raise ValueError(f"record at offset {offset}; expected {state.next_offset}")
    state.next_offset = offset + 1
    if record.record_id in state.outcomes:
        return _refuse(Refusal.REPEATED)
    result = _apply(record, state, offset)
    reason = result.refusal.value if result.refusal else ""
    state.keep_outcome(
        record.record_id,
        FoldOutcome(offset=offset, accepted=result.accepted, reason=reason),
    )
    return result


@singledispatch
def _apply(record, state, offset):
    return _refuse(Refusal.UNREADABLE)


@_apply.register
def _(record: messages.ConfigPatched, state, offset):
    if record.base_version != state.config.version:
        return _refuse(Refusal.STALE_VERSION)
    if check_patch(record.services):
        return _refuse(Refusal.NOT_ALLOWED)
    services = dict(state.config.services)
    for name, service in record.services.items():
        if service is None:
            services.pop(name, None)
        else:
            services[name] = service
    if len(services) > MAX_SERVICES:
        return _refuse(Refusal.NOT_ALLOWED)
    state.keep_version(state.config)
    state.config = Configuration(
        version=state.config.version + 1,
        offset=offset,
        author=record.author,
        note=record.note,
        services=services,
    )
    _divide_services(state, offset)
    return _ACCEPTED


def _divide_services(state, offset):
    """Create the slices of each service divided by key that has none yet.

    The slices of a removed service are kept. If they were removed and the service
    were declared again, an owner that hasn't folded the removal and the new owner
    would both serve, and no slice would record whose release has to be awaited.
    """
    for name, service in state.config.services.items():
        if service.divided_by_key and name not in state.slices:
            state.slices[name] = SliceMap.divide(service.slices, offset)


@_apply.register
def _(record: messages.NodeAnnounced, state, offset):
    earlier = state.members.get(record.node_id)
    if earlier and record.incarnation < earlier.incarnation:
        return _refuse(Refusal.STALE_INCARNATION)
    fields = attrs.asdict(record)
    del fields["record_id"]
    kept = {}
    if earlier:
        kept = {
            "lease_epoch": earlier.lease_epoch,
            "lease_incarnation": earlier.lease_incarnation,
            "portfolio_epoch": earlier.portfolio_epoch,
            "witnesses": earlier.witnesses,
            "earlier_witnesses": earlier.earlier_witnesses,
            "reset_pending": earlier.reset_pending,
            "draining": earlier.draining and earlier.incarnation == record.incarnation,
        }
    state.members[record.node_id] = Member(announced_offset=offset, **fields, **kept)
    return _ACCEPTED


def _lease_refusal(record, member):
    """Return why a record based on a member's lease is refused, or ``None``."""
    if member is None:
        return Refusal.UNKNOWN_NODE
    if record.incarnation != member.incarnation:
        return Refusal.STALE_INCARNATION
    if record.base_lease_epoch != member.lease_epoch:
        return Refusal.STALE_LEASE
    return None


@_apply.register
def _(record: messages.LeaseStarted, state, offset):
    member = state.members.get(record.node_id)
    refusal = _lease_refusal(record, member)
    if refusal is not None:
        return _refuse(refusal)
    state.members[record.node_id] = attrs.evolve(
        member,
        lease_epoch=offset,
        lease_incarnation=record.incarnation,
        witnesses=record.witnesses,
        earlier_witnesses=_earlier_witnesses(member, record),
        reset_pending=False,
    )
    return _ACCEPTED


@_apply.register
def _(record: messages.WitnessesReset, state, offset):
    member = state.members.get(record.node_id)
    refusal = _lease_refusal(record, member)
    if refusal is not None:
        return _refuse(refusal)
    state.members[record.node_id] = attrs.evolve(
        member,
        lease_epoch=offset,
        witnesses=record.witnesses,
        earlier_witnesses=(),
        reset_pending=True,
    )
    return _ACCEPTED


def _earlier_witnesses(member, record):
    """Return the earlier witnesses that are still required beside the new ones.

    A witness that hasn't received the new epoch would still grant a claim that is
    based on the earlier one. The node appends a second record once a majority of
    the earlier witnesses has received the epoch; only then are they released.
    """
    if set(record.witnesses) == set(member.witnesses):
        return ()
    return member.witnesses


@_apply.register
def _(record: messages.SlicesMoved, state, offset):
    if record.term != state.planner_term:
        return _refuse(Refusal.STALE_TERM)
    changed = tuple(
        (move.service, move.start)
        for move in record.moves
        if _apply_move(state, offset, move)
    )
    if not changed:
        return _refuse(Refusal.STALE_EPOCH)
    return FoldResult(accepted=True, changed=changed)


def _apply_move(state, offset, move):
    slice_ = _find_slice(state, move.service, move.start)
    if slice_ is None or slice_.epoch != move.base_epoch:
        return False
    if move.owner not in state.members:
        return False
    changes_owner = move.owner != slice_.owner
    # While the release of a slice is awaited, two nodes may consider themselves
    # its owner. A second move would make it three, and the releases of the
    # first and the second owner could no longer be distinguished.
    if slice_.previous and changes_owner:
        return False
    previous = slice_.owner if changes_owner else slice_.previous
    moved = attrs.evolve(
        slice_, owner=move.owner, standby=move.standby, epoch=offset, previous=previous
    )
    _replace_slice(state, offset, move.service, slice_, moved)
    return True


@_apply.register
def _(record: messages.SlicesTaken, state, offset):
    owner = state.members.get(record.owner_id)
    if owner is None or record.taker_id not in state.members:
        return _refuse(Refusal.UNKNOWN_NODE)
    if record.lease_epoch != owner.lease_epoch:
        return _refuse(Refusal.STALE_LEASE)
    changed = tuple(
        (take.service, take.start)
        for take in record.slices
        if _apply_take(state, offset, record, take)
    )
    if not changed:
        return _refuse(Refusal.STALE_EPOCH)
    return FoldResult(accepted=True, changed=changed)


def _apply_take(state, offset, record, take):
    slice_ = _find_slice(state, take.service, take.start)
    if slice_ is None or slice_.epoch != take.base_epoch:
        return False
    if slice_.owner != record.owner_id or slice_.standby != record.taker_id:
        return False
    taken = attrs.evolve(
        slice_,
        owner=record.taker_id,
        standby=take.standby,
        epoch=offset,
        previous=_awaited_after_take(slice_, record.taker_id),
    )
    _replace_slice(state, offset, take.service, slice_, taken)
    return True


def _awaited_after_take(slice_, taker_id):
    """Return the node whose release the taker of a slice still has to await.

    A standby may take over from a new owner that never received the release of
    the earlier owner. The earlier owner may still be serving; if it were dropped
    here, two nodes would serve the slice.
    """
    return "" if slice_.previous == taker_id else slice_.previous


@_apply.register
def _(record: messages.MoveCompleted, state, offset):
    slice_ = _find_slice(state, record.service, record.start)
    if slice_ is None:
        return _refuse(Refusal.UNKNOWN_SLICE)
    if slice_.epoch != record.epoch or not slice_.previous:
        return _refuse(Refusal.STALE_EPOCH)
    # The epoch stays the same, and so does the fence, since the owner already
    # serves under it.
    done = attrs.evolve(slice_, previous="")
    _replace_slice(state, offset, record.service, slice_, done)
    return FoldResult(accepted=True, changed=((record.service, record.start),))


@_apply.register
def _(record: messages.SliceSplit, state, offset):
    slice_ = _find_slice(state, record.service, record.start)
    if slice_ is None:
        return _refuse(Refusal.UNKNOWN_SLICE)
    if slice_.epoch != record.base_epoch:
        return _refuse(Refusal.STALE_EPOCH)
    if slice_.previous or not slice_.start < record.at < slice_.end:
        return _refuse(Refusal.NOT_ALLOWED)
    state.slices[record.service].split(record.start, record.at, offset)
    _set_portfolio_epochs(state, offset, slice_)
    return FoldResult(
        accepted=True,
        changed=((record.service, record.start), (record.service, record.at)),
    )


@_apply.register
def _(record: messages.SlicesMerged, state, offset):
    slice_ = _find_slice(state, record.service, record.start)
    if slice_ is None or slice_.end == KEY_SPACE:
        return _refuse(Refusal.UNKNOWN_SLICE)
    right = state.slices[record.service].next_after(record.start)
    if (slice_.epoch, right.epoch) != (record.base_epoch, record.next_base_epoch):
        return _refuse(Refusal.STALE_EPOCH)
    if (slice_.owner, slice_.standby) != (right.owner, right.standby):
        return _refuse(Refusal.NOT_ALLOWED)
    if slice_.previous or right.previous:
        return _refuse(Refusal.NOT_ALLOWED)
    state.slices[record.service].merge(record.start, offset)
    _set_portfolio_epochs(state, offset, slice_)
    return FoldResult(accepted=True, changed=((record.service, record.start),))


@_apply.register
def _(record: messages.DrainChanged, state, offset):
    member = state.members.get(record.node_id)
    if member is None:
        return _refuse(Refusal.UNKNOWN_NODE)
    state.members[record.node_id] = attrs.evolve(member, draining=record.draining)
    return _ACCEPTED


@_apply.register
def _(record: messages.NodeRemoved, state, offset):
    member = state.members.get(record.node_id)
    if member is None:
        return _refuse(Refusal.UNKNOWN_NODE)
    if record.incarnation != member.incarnation:
        return _refuse(Refusal.STALE_INCARNATION)
    # A node that still owns keys can't be removed: the lease that has to expire
    # before the next owner may serve would then be unknown.
    for slice_map in state.slices.values():
        if any(
            record.node_id in (slice_.owner, slice_.previous)
            for slice_ in slice_map.slices
        ):
            return _refuse(Refusal.NOT_ALLOWED)
    del state.members[record.node_id]
    return _ACCEPTED


@_apply.register
def _(record: messages.PlannerTermStarted, state, offset):
    if record.base_term != state.planner_term:
        return _refuse(Refusal.STALE_TERM)
    state.planner_id = record.node_id
    state.planner_term += 1
    return _ACCEPTED


@_apply.register
def _(record: messages.SnapshotWritten, state, offset):
    if record.offset <= state.snapshot_offset:
        return _refuse(Refusal.STALE_VERSION)
    if record.offset > offset:
        return _refuse(Refusal.NOT_ALLOWED)
    state.snapshot_offset = record.offset
    return _ACCEPTED


def _find_slice(state, service, start):
    slice_map = state.slices.get(service)
    return slice_map.at_start(start) if slice_map else None


def _replace_slice(state, offset, service, earlier, later):
    state.slices[service].replace(later)
    _set_portfolio_epochs(state, offset, earlier)
    _set_portfolio_epochs(state, offset, later)


def _set_portfolio_epochs(state, offset, slice_):
    """Set the portfolio epoch of a slice's owner, standby and previous owner."""
    for node_id in {slice_.owner, slice_.standby, slice_.previous}:
        member = state.members.get(node_id)
        if member is not None:
            state.members[node_id] = attrs.evolve(member, portfolio_epoch=offset)
