"""Choose the standby of each slice: in another failure domain, spread over nodes."""

from collections import Counter, defaultdict
from functools import partial

import attrs

__all__ = ["choose_standbys"]


@attrs.define
class _StandbyLoads:
    """Load that each node would take over as standby, in total and by owner."""

    total: Counter = attrs.Factory(Counter)
    by_owner: Counter = attrs.Factory(Counter)

    def add(self, owner, standby, weight):
        """Add a slice's weight."""
        self.total[standby] += weight
        self.by_owner[owner, standby] += weight

    def sort_key(self, owner, standby, members):
        """Return a sort key; the candidate with the lowest key is preferred.

        The first criterion is the load that it would take over from this owner,
        the second the load that it would take over in total, per slot.
        """
        slots = max(1, members[standby].slots)
        return (
            self.by_owner[owner, standby],
            self.total[standby] / slots,
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
    eligible = {
        node_id
        for node_id, member in view.members.items()
        if not member.draining and view.lost_s.get(node_id, 0.0) == 0.0
    }
    domains = {view.members[node_id].failure_domain for node_id in eligible}
    to_assign = _slices_to_assign(view, eligible, domains)
    standby_loads = _kept_standby_loads(view, to_assign) if to_assign else None
    for owner in sorted(to_assign):
        candidates = _candidates(view, owner, eligible)
        if spread:
            candidates.sort(
                key=partial(standby_loads.sort_key, owner, members=view.members)
            )
        else:
            candidates = sorted(candidates)[:1]
        _assign_round_robin(view, owner, to_assign[owner], candidates, standby_loads)


def _slices_to_assign(view, eligible, domains):
    """Return the slices that need another standby, by owner."""
    to_assign = defaultdict(list)
    for slice_ in view.slices:
        owner = view.owner(slice_)
        if owner in view.members and not _is_suitable(
            view, owner, view.standby(slice_), eligible, domains
        ):
            to_assign[owner].append(slice_)
    return to_assign


def _kept_standby_loads(view, to_assign):
    """Return the standby load of the slices that keep their standby."""
    changing = {slice_.start for slices in to_assign.values() for slice_ in slices}
    standby_loads = _StandbyLoads()
    for slice_ in view.slices:
        owner = view.owner(slice_)
        if owner in view.members and slice_.start not in changing:
            standby_loads.add(owner, view.standby(slice_), view.weights[slice_.start])
    return standby_loads


def _is_suitable(view, owner, standby, eligible, domains):
    if standby == owner or standby not in eligible:
        return False
    domain = view.members[owner].failure_domain
    if view.members[standby].failure_domain != domain:
        return True
    return domains <= {domain}


def _assign_round_robin(view, owner, slices, candidates, standby_loads):
    """Assign slices to candidates round-robin, the heaviest slice first."""
    slices.sort(key=lambda slice_: (-view.weights[slice_.start], slice_.start))
    for number, slice_ in enumerate(slices):
        standby = candidates[number % len(candidates)] if candidates else ""
        view.set_standby(slice_, standby)
        standby_loads.add(owner, standby, view.weights[slice_.start])


def _candidates(view, owner, eligible):
    """Return the eligible nodes of the most preferred class that has any.

    Another failure domain than the owner's comes before the same one, then the
    same region before another one.
    """
    owner_member = view.members[owner]
    classes = defaultdict(list)
    for node_id in eligible:
        if node_id != owner:
            member = view.members[node_id]
            same_domain = member.failure_domain == owner_member.failure_domain
            classes[same_domain, member.region != owner_member.region].append(node_id)
    return classes[min(classes)] if classes else []
