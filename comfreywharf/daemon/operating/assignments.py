"""Why each slice is where it is: the last record that put it there."""

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
    """Remember, for each slice, the record that gave it its owner.

    It listens to the fold. A slice that was last changed before this node
    began to read has no reason here, and that is what is said.
    """

    def __init__(self):
        self._reasons = {}

    def note(self, record, result, offset):
        """Take a folded record into account."""
        if not result.accepted or isinstance(record, MoveCompleted):
            return
        text = _describe(record)
        if not text:
            return
        for place in result.changed:
            self._reasons[place] = _Reason(offset, text)

    def text(self, service, piece):
        """Return why a slice has its owner."""
        if not piece.owner:
            return "no backend server of the service could be given it yet"
        reason = self._reasons.get((service, piece.start))
        if reason is None or reason.offset != piece.epoch:
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
