"""The slices that this node gained and lost by a record of the log."""

from collections import Counter

import attrs

from comfreywharf.records import SlicesMerged, SliceSplit, SlicesTaken

__all__ = ["OwnershipChange", "OwnershipChanges"]


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


class OwnershipChanges:
    """Derive the changes of one node's slices from the folded records.

    Only this node's own slices are stored. Every node folds every record, so a
    copy of all slices at every node would waste memory.
    """

    def __init__(self, node_id):
        self._node_id = node_id
        self._mine = set()

    @property
    def owned(self):
        """Return how many slices this node owns, by service."""
        return Counter(service for service, _ in self._mine)

    def folded(self, state, record, result):
        """Return the changes caused by a folded record, as `OwnershipChange` values."""
        if isinstance(record, SliceSplit | SlicesMerged):
            # The owners of the keys don't change, only the bounds of slices do.
            self._mine = self._owned(state)
            return []
        gained, lost = Counter(), Counter()
        for place in result.changed:
            self._compare(state, record, place, gained, lost)
        return self._changes(gained, lost)

    def replaced(self, state):
        """Return the changes after the whole state was replaced by a snapshot."""
        owned = self._owned(state)
        gained = Counter((service, "") for service, _ in owned - self._mine)
        lost = Counter((service, "") for service, _ in self._mine - owned)
        self._mine = owned
        return self._changes(gained, lost)

    def _owned(self, state):
        owned = state.owned_by(self._node_id)
        return {(service, piece.start) for service, piece in owned}

    def _compare(self, state, record, place, gained, lost):
        service, start = place
        piece = state.slices[service].at_start(start)
        owner = piece.owner if piece else ""
        if owner == self._node_id and place not in self._mine:
            self._mine.add(place)
            gained[service, _giver(record, piece)] += 1
        elif owner != self._node_id and place in self._mine:
            self._mine.discard(place)
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


def _giver(record, piece):
    return record.owner_id if isinstance(record, SlicesTaken) else piece.previous
