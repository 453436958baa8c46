"""Splitting, pinning and merging slices; none of it moves a key by itself."""

import attrs

__all__ = ["Merge", "Split", "plan_resizes", "slice_limit"]

MAX_RESIZES_PER_ROUND = 8
PIN_SHARE = 0.2
"""A key is pinned when its rate is this share of a server's fair load."""

REST_SHARE = 0.15
"""A key isn't pinned if the rest of its slice weighs less than this share."""

SPLIT_SHARE = 0.35
"""A slice is split when its weight is this share of a server's fair load."""

KNOWN_SHARE = 0.1
"""How much of a slice's weight its hottest keys must have to show its middle."""

MERGE_SHARE = 0.02
"""Two slices are merged when both together weigh at most this share."""

LEAST_SLOTS = 0.25
"""How much of a slot a slice must need before it is divided. Of a server that is
hardly used, any slice can be a third of the load: a few requests a second then
divided the slices until none were left to divide, and moved the parts about."""

SLICES_PER_MEMBER = 24


@attrs.frozen(kw_only=True)
class Split:
    """Divide a slice; ``right_per_s`` is the rate expected of the right part."""

    service: str
    start: int
    base_epoch: int
    at: int
    right_per_s: float


@attrs.frozen(kw_only=True)
class Merge:
    """Join a slice with the one behind it."""

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

    Slices that have a planned move, or whose release is awaited, are left
    alone: the fold would refuse one of the two changes.
    """
    if not view.targets or view.total <= 0:
        return []
    fair = view.total / len(view.targets)
    room = slice_limit(view.config, len(view.members)) - len(view.pieces)
    splits = _splits(view, fair)[: max(0, min(room, MAX_RESIZES_PER_ROUND))]
    touched = {split.start for split in splits}
    left = MAX_RESIZES_PER_ROUND - len(splits)
    return splits + _merges(view, fair, touched)[:left]


def _splits(view, fair):
    hot = sorted(
        value for value, rate in view.hot_keys.items() if rate >= PIN_SHARE * fair
    )
    splits = []
    for piece in view.pieces:
        if piece.end - piece.start == 1 or not _at_rest(view, piece):
            continue
        weight = view.weights[piece.start]
        if view.slots_needed(piece) < LEAST_SLOTS:
            continue
        while hot and hot[0] < piece.start:
            hot.pop(0)
        if hot and hot[0] < piece.end:
            # A slice that holds little besides its hot key moves as well as the
            # key alone would.
            if weight - view.hot_keys[hot[0]] > REST_SHARE * fair:
                splits.append((weight, _pin(view, piece, hot[0])))
        elif weight > SPLIT_SHARE * fair:
            middle = _middle(view, piece)
            splits.append((weight, _split(view, piece, middle, weight / 2)))
    splits.sort(key=lambda entry: (-entry[0], entry[1].start))
    return [split for _, split in splits]


def _middle(view, piece):
    """Return where to divide a slice so that its load is divided.

    Busy keys lie close together. Divided in the middle of its range, a slice of
    2,000 keys takes five rounds until the busy 60 are apart, and their server
    refuses callers for as long. The hottest keys show where the load lies.
    """
    inside = sorted(
        (value, rate)
        for value, rate in view.hot_keys.items()
        if piece.start < value < piece.end
    )
    hot = sum(rate for _, rate in inside)
    if hot < KNOWN_SHARE * view.weights[piece.start]:
        return (piece.start + piece.end) // 2
    passed = 0.0
    for value, rate in inside:
        passed += rate
        if passed >= hot / 2:
            return value
    return (piece.start + piece.end) // 2


def _pin(view, piece, value):
    """Return the next of the two splits that leave a key a slice of its own."""
    rate = view.hot_keys[value]
    weight = view.weights[piece.start]
    if value > piece.start:
        rest = max(0.0, weight - rate)
        behind = (piece.end - value) / (piece.end - piece.start)
        return _split(view, piece, value, rate + rest * behind)
    return _split(view, piece, value + 1, max(0.0, weight - rate))


def _split(view, piece, at, right_per_s):
    return Split(
        service=view.config.name,
        start=piece.start,
        base_epoch=piece.epoch,
        at=at,
        right_per_s=right_per_s,
    )


def _merges(view, fair, touched):
    surplus = len(view.pieces) - view.config.slices
    merges = []
    index = 0
    while index + 1 < len(view.pieces) and len(merges) < surplus:
        left, right = view.pieces[index : index + 2]
        if _mergeable(view, left, right, fair, touched):
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


def _mergeable(view, left, right, fair, touched):
    if left.start in touched or right.start in touched:
        return False
    if (left.owner, left.standby) != (right.owner, right.standby):
        return False
    if not (_at_rest(view, left) and _at_rest(view, right)):
        return False
    weight = view.weights[left.start] + view.weights[right.start]
    if weight > MERGE_SHARE * fair:
        return False
    return not any(left.start <= value < right.end for value in view.hot_keys)


def _at_rest(view, piece):
    if piece.previous or not piece.owner:
        return False
    return piece.start not in view.owners and piece.start not in view.standbys
