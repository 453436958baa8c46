"""Divide hot key ranges over as many servers as their work needs.

A range of adjacent keys becomes hot within a second and stays so for a few. Its slice
is divided where its server needs more slots than it has; the parts are small enough
for the room that other servers have, and few keys move. The parts are halved in several
passes of one round.
"""

from comfreywharf.placement.resize import (
    MIN_SLOTS_TO_SPLIT,
    is_stable,
    make_split,
    plan_merges,
    slice_limit,
)

__all__ = ["divided_starts", "is_hot", "plan_work_resizes"]

PART_SHARE = 0.15
"""Share of a mean server's capacity that the parts of a divided slice need at most."""

MAX_SPLITS_PER_PASS = 32
MAX_MERGES_PER_ROUND = 8

MERGE_SHARE = 0.1
"""Share of a server's fair load up to which two slices together are merged."""

MIN_HOT_SHARE = 0.1
"""Share of a slice's work that its hot keys must have to show where its work lies."""

MIN_KEYS_OF_RANGE = 3
"""Hot keys from which on they show the extent of a hot range."""

HOT_DENSITY = 4.0
"""Work per key, relative to the mean of the service, from which on a slice is hot."""


def plan_work_resizes(view):
    """Return the `Split` and `Merge` actions of a pass on a `WorkView`."""
    if not view.targets or view.total_load <= 0:
        return []
    slices = _to_divide(view)
    splits = [_halve(view, slice_) for slice_ in slices]
    fair_load = view.total_load / len(view.targets)
    starts = {split.start for split in splits}
    light = MERGE_SHARE * fair_load
    merges = plan_merges(view, light, starts, split_hot_keys=False)
    merges = merges[:MAX_MERGES_PER_ROUND]
    # A round ends with the first pass without a split.
    return splits or merges


def divided_starts(view):
    """Return the starts of the slices that `plan_work_resizes` divides."""
    return {slice_.start for slice_ in _to_divide(view)}


def is_hot(view, slice_):
    """Return whether a slice has far more work per key than the service has."""
    keys = view.slices[-1].end - view.slices[0].start
    mean_work = view.total_load / keys * (slice_.end - slice_.start)
    return view.weights[slice_.start] > HOT_DENSITY * mean_work


def _to_divide(view):
    """Return the heavy slices of servers that are over, the heaviest first."""
    if len(view.targets) < 2:
        return []
    capacity = sum(view.targets.values()) / len(view.targets)
    part = max(PART_SHARE * capacity, MIN_SLOTS_TO_SPLIT)
    over = {node_id for node_id in view.targets if view.is_over(node_id)}
    heavy = [
        slice_
        for slice_ in view.slices
        if slice_.owner in over
        and slice_.end - slice_.start > 1
        and view.weights[slice_.start] > part
        and is_stable(view, slice_)
    ]
    heavy.sort(key=lambda slice_: (-view.weights[slice_.start], slice_.start))
    allowed = slice_limit(view.config, len(view.members)) - len(view.slices)
    return heavy[: max(0, min(allowed, MAX_SPLITS_PER_PASS))]


def _halve(view, slice_):
    """Return the `Split` that halves a slice's work, as far as its hot keys show it."""
    weight = view.weights[slice_.start]
    inside = sorted(
        (key_hash, work)
        for key_hash, work in view.hot_keys.items()
        if slice_.start <= key_hash < slice_.end
    )
    hot = sum(work for _, work in inside)
    if hot < MIN_HOT_SHARE * weight:
        middle = (slice_.start + slice_.end) // 2
        return make_split(view, slice_, middle, weight / 2)
    cuts = _cuts(slice_, inside, max(0.0, weight - hot))
    share, at = min(cuts, key=lambda cut: (abs(cut[0] - 0.5), cut))
    return make_split(view, slice_, at, weight * share)


def _cuts(slice_, inside, rest):
    """Yield ``(share of the right part, key hash)`` before and after each hot key.

    A node reports some of the keys of a hot range. The ``rest`` of the slice's work is
    taken as evenly spread where the reported keys lie.
    """
    low, high = _span(slice_, [key_hash for key_hash, _ in inside])
    right = sum(work for _, work in inside)
    total = right + rest
    for key_hash, work in inside:
        for at in (key_hash, key_hash + 1):
            if slice_.start < at < slice_.end:
                spread = min(1.0, max(0.0, (high - at) / (high - low)))
                yield (right + rest * spread) / total, at
            right -= work if at == key_hash else 0.0


def _span(slice_, hashes):
    """Return where the keys of a hot range may lie, from those that are known."""
    if len(hashes) < MIN_KEYS_OF_RANGE:
        return slice_.start, slice_.end
    gap = (hashes[-1] - hashes[0]) // (len(hashes) - 1)
    return (
        max(slice_.start, hashes[0] - gap),
        min(slice_.end, hashes[-1] + gap),
    )
