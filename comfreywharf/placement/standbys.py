"""Choose the standby of each slice: in another failure domain, spread over nodes."""

from collections import Counter, defaultdict
from functools import partial

import attrs

__all__ = ["choose_standbys"]


@attrs.define
class _Carried:
    """Load that each node would take over as standby, in total and by owner."""

    of_all: Counter = attrs.Factory(Counter)
    of_owner: Counter = attrs.Factory(Counter)

    def add(self, owner, standby, weight):
        """Add a slice's weight."""
        self.of_all[standby] += weight
        self.of_owner[owner, standby] += weight

    def burden(self, owner, standby, members):
        """Return a sort key; the candidate with the lowest key is preferred.

        The load that it would take over from this owner counts before the total
        for each of its slots.
        """
        slots = max(1, members[standby].slots)
        return (
            self.of_owner[owner, standby],
            self.of_all[standby] / slots,
            standby,
        )


def choose_standbys(view, spread=True):
    """Plan a standby for each slice that lacks a suitable one.

    A standby is in another failure domain than the owner if an eligible member
    exists there, and in the same region if possible. The standbys of one owner
    are spread over many nodes: with a single one, the loss of the owner would
    double that node's load at once. ``spread`` is false only in replays that
    show this effect.
    """
    fit = {
        node_id
        for node_id, member in view.members.items()
        if not member.draining and view.lost_s.get(node_id, 0.0) == 0.0
    }
    domains = {view.members[node_id].failure_domain for node_id in fit}
    needy = _needy(view, fit, domains)
    carried = _survey(view, needy) if needy else None
    for owner in sorted(needy):
        candidates = _candidates(view, owner, fit)
        if spread:
            candidates.sort(key=partial(carried.burden, owner, members=view.members))
        else:
            candidates = sorted(candidates)[:1]
        _deal_out(view, owner, needy[owner], candidates, carried)


def _needy(view, fit, domains):
    """Return the slices that need another standby, by owner."""
    needy = defaultdict(list)
    for piece in view.pieces:
        owner = view.owner(piece)
        if owner in view.members and not _serves_well(
            view, owner, view.standby(piece), fit, domains
        ):
            needy[owner].append(piece)
    return needy


def _survey(view, needy):
    """Return the standby load of the slices that keep their standby."""
    changing = {piece.start for pieces in needy.values() for piece in pieces}
    carried = _Carried()
    for piece in view.pieces:
        owner = view.owner(piece)
        if owner in view.members and piece.start not in changing:
            carried.add(owner, view.standby(piece), view.weights[piece.start])
    return carried


def _serves_well(view, owner, standby, fit, domains):
    if standby == owner or standby not in fit:
        return False
    domain = view.members[owner].failure_domain
    if view.members[standby].failure_domain != domain:
        return True
    return domains <= {domain}


def _deal_out(view, owner, pieces, candidates, carried):
    """Assign slices to candidates round-robin, the heaviest slice first."""
    pieces.sort(key=lambda piece: (-view.weights[piece.start], piece.start))
    for number, piece in enumerate(pieces):
        standby = candidates[number % len(candidates)] if candidates else ""
        view.set_standby(piece, standby)
        carried.add(owner, standby, view.weights[piece.start])


def _candidates(view, owner, fit):
    """Return the eligible nodes of the most preferred class that has any.

    Another failure domain than the owner's comes before the same one, then the
    same region before another one.
    """
    owner_member = view.members[owner]
    classes = defaultdict(list)
    for node_id in fit:
        if node_id != owner:
            member = view.members[node_id]
            same_domain = member.failure_domain == owner_member.failure_domain
            classes[same_domain, member.region != owner_member.region].append(node_id)
    return classes[min(classes)] if classes else []
