"""The reason for each slice's owner: the last record that assigned it."""

import attrs

from comfreywharf.records import (
    MoveCompleted,
    SlicesMerged,
    SlicesMoved,
    SliceSplit,
    SlicesTaken,
)

__all__ = ["AssignmentReasons"]


@attrs.frozen
class _Reason:
    offset: int
    text: str


class AssignmentReasons:
    """Keep, for each slice, a text about the record that assigned it to its owner.

    `update` is called with each folded record. For a slice that was last changed before
    this node began to read the log, there is no record, and the text says so.
    """

    def __init__(self):
        self._reasons = {}

    def update(self, record, result, offset):
        """Record a folded record as the reason for the slices that it changed."""
        if not result.accepted or isinstance(record, MoveCompleted):
            return
        text = _describe(record)
        if not text:
            return
        for changed_slice in result.changed:
            self._reasons[changed_slice] = _Reason(offset, text)

    def text(self, service, slice_):
        """Return why a slice has its owner."""
        if not slice_.owner:
            return "no backend server of the service could be given it yet"
        reason = self._reasons.get((service, slice_.start))
        if reason is None or reason.offset != slice_.epoch:
            return "assigned before this node began to read the log"
        return reason.text


def _describe(record):
    if isinstance(record, SlicesMoved):
        return f"the planner of term {record.term} assigned it"
    if isinstance(record, SlicesTaken):
        return (
            f"its standby {record.taker_id} took it over "
            f"when the lease of {record.owner_id} had lapsed"
        )
    if isinstance(record, SliceSplit):
        return "it was split from its neighbour and kept its owner"
    if isinstance(record, SlicesMerged):
        return "it was merged with its neighbour and kept its owner"
    return ""
