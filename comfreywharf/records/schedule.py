"""When a snapshot is due, and which node writes it."""

import attrs
import xxhash

__all__ = ["SnapshotSchedule"]

MAX_RECORDS_BEHIND = 1000
"""A snapshot is due when it is this many records old."""

MAX_AGE_S = 300.0
"""A snapshot is due at this age, even if nothing changed since the last one: the
streams expire records by age, and the newest snapshot must never expire."""

MIN_INTERVAL_S = 2.0
"""The shortest interval between two snapshots, whatever the log's retention."""

TURN_S = 3.0
"""How much longer each node waits than the one before it in the order."""

MAX_TURNS = 20


@attrs.define
class SnapshotSchedule:
    """Decide when one node writes a snapshot.

    All nodes derive the same order, which differs for each snapshot since it
    depends on a hash of the last snapshot's offset. The first node writes
    immediately; the next ones wait for their turns and usually see by then that
    a snapshot was written. It is harmless if two nodes write, since each snapshot
    is complete by itself.
    """

    node_id: str
    _known_offset: int = -1
    _known_since_s: float = 0.0
    _due_since_s: float | None = None

    def is_turn(self, state, log_first, now_s):
        """Return whether this node should write a snapshot now."""
        if state.snapshot_offset != self._known_offset:
            self._known_offset = state.snapshot_offset
            self._known_since_s = now_s
            self._due_since_s = None
        if not self._is_due(state, log_first, now_s):
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now_s
        turn = min(self._turn(state), MAX_TURNS)
        return now_s - self._due_since_s >= turn * TURN_S

    def _is_due(self, state, log_first, now_s):
        age_s = now_s - self._known_since_s
        behind = state.next_offset - state.snapshot_offset
        if behind <= 0 or age_s < MIN_INTERVAL_S:
            return False
        if behind >= MAX_RECORDS_BEHIND or age_s >= MAX_AGE_S:
            return True
        # The log's retention can be seen only from its first offset. If a
        # snapshot is in the older half of the records that the log keeps, the
        # records after it may expire soon, and a new node couldn't start.
        middle = (log_first + state.next_offset) // 2
        return log_first > 0 and state.snapshot_offset < middle

    def _turn(self, state):
        if self.node_id not in state.members:
            return len(state.members)
        mine = self._order(state, self.node_id)
        return sum(self._order(state, other) < mine for other in state.members)

    @staticmethod
    def _order(state, node_id):
        text = f"{state.snapshot_offset} {node_id}"
        return xxhash.xxh3_64_intdigest(text.encode()), node_id
