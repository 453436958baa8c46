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
    unserved = [piece for piece in view.pieces if _needs_owner(view, piece)]
    unserved.sort(key=lambda piece: (-view.weights[piece.start], piece.start))
    for piece in unserved:
        view.move(piece, _new_owner(view, piece))


def _needs_owner(view, piece):
    if not piece.owner or piece.owner not in view.members:
        return True
    # The fold refuses to move a slice whose release by its previous owner is
    # still awaited.
    if piece.previous:
        return False
    if view.members[piece.owner].draining:
        return True
    return view.lost_s.get(piece.owner, 0.0) > TAKEOVER_GRACE_S


def _new_owner(view, piece):
    if piece.owner in view.lost_s and piece.standby in view.targets:
        return piece.standby
    return view.least_loaded()
