"""Split, pin and merge slices; no key changes owner by a resize itself."""

import attrs

__all__ = [
    "Merge",
    "Split",
    "is_stable",
    "make_split",
    "plan_merges",
    "plan_resizes",
    "slice_limit",
]

MAX_RESIZES_PER_ROUND = 8
PIN_SHARE = 0.2
"""Share of a server's fair load from which on a key is pinned to its own slice."""

MIN_REST_SHARE = 0.15
"""Share of a server's fair load that the rest of a slice must exceed for a key of it
to be pinned."""

SPLIT_SHARE = 0.35
"""Share of a server's fair load above which a slice is split."""

MIN_HOT_SHARE = 0.1
"""Share of a slice's weight that its hot keys must have to locate its middle."""

MERGE_SHARE = 0.02
"""Share of a server's fair load up to which two slices together are merged."""

MIN_SLOTS_TO_SPLIT = 0.25
"""Slots that a slice's load must need before the slice is split. On a nearly idle
server any slice can be a third of the load; without this bound a few requests per
second split slices until none could be split, and the parts were moved around."""

SLICES_PER_MEMBER = 24
"""Slices that a service may have for each member, if that is more than twice the
number of slices that it declares."""


@attrs.frozen(kw_only=True)
class Split:
    """Split a slice at ``at``; ``right_per_s`` is the right part's expected rate."""

    service: str
    start: int
    base_epoch: int
    at: int
    right_per_s: float


@attrs.frozen(kw_only=True)
class Merge:
    """Merge a slice with the next one."""

    service: str
    start: int
    base_epoch: int
    next_start: int
    next_base_epoch: int


def slice_limit(service, member_count):
    """Return how many slices a service may have at most."""
    return max(2 * service.slices, SLICES_PER_MEMBER * member_count)


def plan_resizes(view):
    """Return the `Split` and `Merge` actions of a round, the urgent ones first.

    Slices with a planned move or an awaited release are skipped, since the fold
    would refuse one of the two changes.
    """
    if not view.targets or view.total_load <= 0:
        return []
    fair_load = view.total_load / len(view.targets)
    max_splits = slice_limit(view.config, len(view.members)) - len(view.slices)
    splits = _splits(view, fair_load)[: max(0, min(max_splits, MAX_RESIZES_PER_ROUND))]
    split_starts = {split.start for split in splits}
    merges_left = MAX_RESIZES_PER_ROUND - len(splits)
    return (
        splits + plan_merges(view, MERGE_SHARE * fair_load, split_starts)[:merges_left]
    )


def _splits(view, fair_load):
    hot = sorted(
        key_hash
        for key_hash, rate in view.hot_keys.items()
        if rate >= PIN_SHARE * fair_load
    )
    splits = []
    for slice_ in view.slices:
        if slice_.end - slice_.start == 1 or not is_stable(view, slice_):
            continue
        weight = view.weights[slice_.start]
        if view.slots_needed(slice_) < MIN_SLOTS_TO_SPLIT:
            continue
        while hot and hot[0] < slice_.start:
            hot.pop(0)
        if hot and hot[0] < slice_.end:
            # A slice with little load besides its hot key can be moved as a
            # whole; pinning the key would gain nothing.
            if weight - view.hot_keys[hot[0]] > MIN_REST_SHARE * fair_load:
                splits.append((weight, _pin(view, slice_, hot[0])))
        elif weight > SPLIT_SHARE * fair_load:
            middle = _middle(view, slice_)
            splits.append((weight, make_split(view, slice_, middle, weight / 2)))
    splits.sort(key=lambda entry: (-entry[0], entry[1].start))
    return [split for _, split in splits]


def _middle(view, slice_):
    """Return the key hash at which to split a slice so that its load is halved.

    Busy keys are adjacent. If a slice of 2,000 keys is split in the middle of its
    range, it takes five rounds to separate its 60 busy keys, and their server
    refuses requests until then. The hot keys show where the load lies.
    """
    hot_inside = sorted(
        (key_hash, rate)
        for key_hash, rate in view.hot_keys.items()
        if slice_.start < key_hash < slice_.end
    )
    hot = sum(rate for _, rate in hot_inside)
    if hot < MIN_HOT_SHARE * view.weights[slice_.start]:
        return (slice_.start + slice_.end) // 2
    cumulative = 0.0
    for key_hash, rate in hot_inside:
        cumulative += rate
        if cumulative >= hot / 2:
            return key_hash
    return (slice_.start + slice_.end) // 2


def _pin(view, slice_, key_hash):
    """Return the next of the two splits that isolate a key in its own slice."""
    rate = view.hot_keys[key_hash]
    weight = view.weights[slice_.start]
    if key_hash > slice_.start:
        rest = max(0.0, weight - rate)
        right_fraction = (slice_.end - key_hash) / (slice_.end - slice_.start)
        return make_split(view, slice_, key_hash, rate + rest * right_fraction)
    return make_split(view, slice_, key_hash + 1, max(0.0, weight - rate))


def make_split(view, slice_, at, right_per_s):
    """Return the `Split` of a slice in a `ServiceView`."""
    return Split(
        service=view.config.name,
        start=slice_.start,
        base_epoch=slice_.epoch,
        at=at,
        right_per_s=right_per_s,
    )


def plan_merges(view, max_weight, split_starts, split_hot_keys=True):
    """Return the merges of light neighbours, for slices above the declared number.

    Two slices are merged if they weigh at most ``max_weight`` together, and have no
    hot key unless ``split_hot_keys`` is false.
    """
    surplus = len(view.slices) - view.config.slices
    merges = []
    index = 0
    while index + 1 < len(view.slices) and len(merges) < surplus:
        left, right = view.slices[index : index + 2]
        if _mergeable(view, left, right, max_weight, split_starts, split_hot_keys):
            merges.append(
                Merge(
                    service=view.config.name,
                    start=left.start,
                    base_epoch=left.epoch,
                    next_start=right.start,
                    next_base_epoch=right.epoch,
                )
            )
            index += 1
        index += 1
    return merges


def _mergeable(view, left, right, max_weight, split_starts, split_hot_keys):
    if left.start in split_starts or right.start in split_starts:
        return False
    if (left.owner, left.standby) != (right.owner, right.standby):
        return False
    if not (is_stable(view, left) and is_stable(view, right)):
        return False
    weight = view.weights[left.start] + view.weights[right.start]
    if weight > max_weight:
        return False
    return not split_hot_keys or not any(
        left.start <= key_hash < right.end for key_hash in view.hot_keys
    )


def is_stable(view, slice_):
    """Return whether a slice has an owner, awaits no release, and isn't moved."""
    if slice_.previous or not slice_.owner:
        return False
    return (
        slice_.start not in view.planned_owners
        and slice_.start not in view.planned_standbys
    )
