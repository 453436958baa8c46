"""The slices that this node gained and lost by a record of the log."""

from collections import Counter

import attrs

from comfreywharf.records import SlicesMerged, SliceSplit, SlicesTaken

__all__ = ["OwnershipChange", "OwnershipTracker"]


@attrs.frozen(kw_only=True)
class OwnershipChange:
    """Slices of one service that this node gained from, or lost to, one other node.

    ``owned`` is how many slices of the service this node owns afterwards;
    ``peer`` is empty if the slices had no owner before or have none now, and if the
    change was found by comparison with a snapshot.
    """

    service: str
    count: int
    peer: str
    owned: int
    gained: bool


class OwnershipTracker:
    """Derive the changes of one node's slices from the folded records.

    Only this node's own slices are stored. Every node folds every record, so a
    copy of all slices at every node would waste memory.
    """

    def __init__(self, node_id):
        self._node_id = node_id
        self._own_slices = set()

    @property
    def owned(self):
        """Return how many slices this node owns, by service."""
        return Counter(service for service, _ in self._own_slices)

    def changes_by_record(self, state, record, result):
        """Return the changes caused by a folded record, as `OwnershipChange` values."""
        if isinstance(record, SliceSplit | SlicesMerged):
            # The owners of the keys don't change, only the bounds of slices do.
            self._own_slices = self._owned(state)
            return []
        gained, lost = Counter(), Counter()
        for slice_id in result.changed:
            self._compare(state, record, slice_id, gained, lost)
        return self._changes(gained, lost)

    def changes_by_snapshot(self, state):
        """Return the changes after the whole state was replaced by a snapshot."""
        owned = self._owned(state)
        gained = Counter((service, "") for service, _ in owned - self._own_slices)
        lost = Counter((service, "") for service, _ in self._own_slices - owned)
        self._own_slices = owned
        return self._changes(gained, lost)

    def _owned(self, state):
        owned = state.owned_by(self._node_id)
        return {(service, slice_.start) for service, slice_ in owned}

    def _compare(self, state, record, slice_id, gained, lost):
        service, start = slice_id
        slice_ = state.slices[service].at_start(start)
        owner = slice_.owner if slice_ else ""
        if owner == self._node_id and slice_id not in self._own_slices:
            self._own_slices.add(slice_id)
            gained[service, _previous_owner(record, slice_)] += 1
        elif owner != self._node_id and slice_id in self._own_slices:
            self._own_slices.discard(slice_id)
            lost[service, owner] += 1

    def _changes(self, gained, lost):
        owned = self.owned
        return [
            OwnershipChange(
                service=service,
                count=count,
                peer=peer,
                owned=owned[service],
                gained=is_gain,
            )
            for counts, is_gain in ((lost, False), (gained, True))
            for (service, peer), count in sorted(counts.items())
        ]


def _previous_owner(record, slice_):
    return record.owner_id if isinstance(record, SlicesTaken) else slice_.previous
