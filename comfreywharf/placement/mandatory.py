"""Mandatory moves: assign an owner to slices whose owner can't serve them."""

__all__ = ["plan_mandatory_moves"]

TAKEOVER_GRACE_S = 10.0
"""Time that the standbys of a lost owner have for their takeover, before the planner
assigns another owner."""


def plan_mandatory_moves(view):
    """Plan a new owner for each slice without an owner that can serve it.

    The owner is missing, draining or lost. Slices of a lost owner are normally
    taken over by their standby without the planner. The planner moves them only
    if that hasn't happened within `TAKEOVER_GRACE_S`, for example because owner
    and standby were lost together. The heaviest slices are moved first, each to
    its live standby if the owner was lost, otherwise to the target with the
    lowest relative load.
    """
    if not view.targets:
        return
    unserved = [slice_ for slice_ in view.slices if _needs_owner(view, slice_)]
    unserved.sort(key=lambda slice_: (-view.weights[slice_.start], slice_.start))
    for slice_ in unserved:
        view.move(slice_, _new_owner(view, slice_))


def _needs_owner(view, slice_):
    if not slice_.owner or slice_.owner not in view.members:
        return True
    # The fold refuses to move a slice whose release by its previous owner is
    # still awaited.
    if slice_.previous:
        return False
    if view.members[slice_.owner].draining:
        return True
    return view.lost_s.get(slice_.owner, 0.0) > TAKEOVER_GRACE_S


def _new_owner(view, slice_):
    if slice_.owner in view.lost_s and slice_.standby in view.targets:
        return slice_.standby
    return view.least_loaded()
