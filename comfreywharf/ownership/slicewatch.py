"""Compare slices before and after a record; the fold keeps only the new state."""

from comfreywharf.records import SlicesMerged, SliceSplit

__all__ = ["SliceWatch"]


class SliceWatch:
    """Keep a copy of the slices, and notify the `OwnershipTable` of each change."""

    def __init__(self, table):
        self._table = table
        self._copied_from = None
        self._slices = {}

    def folded(self, state, record, result, now_s):
        """Register a record that the fold has just applied."""
        if state is not self._copied_from:
            self.copy(state)
            return
        if not result.accepted:
            return
        if isinstance(record, SliceSplit):
            self._table.slice_split(record.service, record.start, record.at)
        for service, start in result.changed:
            after = state.slices[service].at_start(start)
            before = self._slices.get((service, start))
            self._slices[(service, start)] = after
            self._table.slice_changed(state, service, before, after, now_s)
        if isinstance(record, SlicesMerged):
            self._merged(state, record)
        if len(self._slices) != sum(len(m.slices) for m in state.slices.values()):
            self.copy(state)

    def copy(self, state):
        """Copy all slices, for example after a snapshot or for a new service."""
        self._copied_from = state
        self._slices = {
            (service, slice_.start): slice_
            for service, slice_map in state.slices.items()
            for slice_ in slice_map.slices
        }

    def _merged(self, state, record):
        """Drop the slice that was merged into the one before it."""
        slice_map = state.slices[record.service]
        gone = [
            start
            for service, start in self._slices
            if service == record.service and slice_map.at_start(start) is None
        ]
        for start in gone:
            del self._slices[(record.service, start)]
            self._table.slices_merged(record.service, record.start, start)
