"""A node's replica of the state, updated by records and snapshots.

Records come from the log and from peers, snapshots from the stream of snapshots
and from peers. They may arrive in any order and repeatedly; the replica only
moves forward along the log's offsets.
"""

import attrs
from returns.result import Failure

from comfreywharf.records.codec import decode_record
from comfreywharf.records.fold import FoldResult, fold
from comfreywharf.records.messages import Record, UnknownRecord
from comfreywharf.records.positions import era_of
from comfreywharf.records.recent import RecentRecords
from comfreywharf.records.state import ClusterState

__all__ = ["FoldedRecord", "Replica"]


@attrs.frozen(kw_only=True)
class FoldedRecord:
    """A folded record with its offset and result."""

    offset: int
    record: Record
    result: FoldResult


class Replica:
    """The state, the most recent records, and whether the log still has the next ones.

    >>> replica = Replica()
    >>> replica.record_truncation(first=10)
    >>> replica.gap
    True
    >>> replica.load(ClusterState(next_offset=12)), replica.gap
    (True, False)
    """

    def __init__(self):
        self.state = ClusterState()
        self.recent = RecentRecords()
        self._log_first = 0
        self._log_lost_records = False
        self._caught_up = False

    @property
    def usable(self):
        """Return whether a node may own keys according to this state.

        Until a node that starts has caught up with the log itself, its state comes
        only from peers. A peer may be cut off from the log and have an older
        configuration than the one that this node used before its restart.
        """
        return self._caught_up and not self.gap

    @property
    def gap(self):
        """Return whether records are missing that the log no longer has.

        Either the log starts after the state's offset, or it ends before it. In
        both cases other nodes may have agreed on records that this node can't get.
        """
        return self._log_first > self.state.next_offset or self._log_lost_records

    @property
    def log_first(self):
        """Return the log's first offset according to the answers received so far."""
        return self._log_first

    def fold_next(self, offset, data):
        """Fold a record if it is the next one; return `FoldedRecord` or ``None``."""
        if offset != self.state.next_offset:
            return None
        decoded = decode_record(data)
        if isinstance(decoded, Failure):
            record = UnknownRecord(record_id=f"offset-{offset}", kind="unreadable")
        else:
            record = decoded.unwrap()
        result = fold(self.state, offset, record)
        self.recent.add(offset, data)
        return FoldedRecord(offset=offset, record=record, result=result)

    def load(self, state):
        """Load a snapshot's state if it is newer; return whether it was."""
        if _age_order(state) <= _age_order(self.state):
            return False
        self.state.replace_by(state)
        # What a peer was sent before would not lead it to this state.
        self.recent.start_at(state.next_offset)
        return True

    def start_at(self, position):
        """Start with an empty state at a position, in a log without a snapshot."""
        self.state.next_offset = position
        self.recent.start_at(position)

    def update_log_bounds(self, start, log_first, log_next):
        """Update the bounds of the log from the answer to a read at ``start``."""
        self._log_first = max(self._log_first, log_first)
        # A log that ends before the folded records has lost acknowledged ones,
        # or is another log. Its further records would be folded at other
        # offsets than on the other nodes, so the state is left unchanged.
        self._log_lost_records = log_next < start

    def record_truncation(self, first):
        """Record that the log no longer keeps records below ``first``."""
        self._log_first = max(self._log_first, first)

    def check_caught_up(self, log_next):
        """Return whether the state has all records below ``log_next`` and no gap.

        Once it has, the replica counts as caught up; see `usable`.
        """
        if not self.gap and self.state.next_offset >= log_next:
            self._caught_up = True
            return True
        return False

    def records_for_peer(self, next_offset, max_bytes):
        """Return ``[(offset, data)]`` for a peer whose state is at ``next_offset``.

        The list is empty if the peer has all records of this node. ``None`` means
        that the records that it lacks are no longer kept, so it needs a snapshot.
        """
        if next_offset >= self.state.next_offset:
            return []
        if self.recent.next != self.state.next_offset:
            return None
        return self.recent.since(next_offset, max_bytes)


def _age_order(state):
    """Return what orders states by their age.

    A new era's state comes before the lineage: the node that wrote it down may have
    missed restarts of earlier eras, which others count in theirs.
    """
    return era_of(state.next_offset), state.lineage, state.next_offset
