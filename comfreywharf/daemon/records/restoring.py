"""Agree on the state to continue with after the log came back from an older copy."""

import attrs
from absl import logging

from comfreywharf.daemon.records.snapshots import encode_yielding, read_kept
from comfreywharf.records.codec import decode_record
from comfreywharf.records.eras import continue_in_era
from comfreywharf.records.fold import fold
from comfreywharf.records.messages import UnknownRecord
from comfreywharf.records.positions import era_of, offset_of, position
from comfreywharf.records.state import ClusterState

__all__ = ["ContinuedState", "find_continued", "write_continued"]


@attrs.frozen(kw_only=True)
class ContinuedState:
    """The newest snapshot of a log that was restored.

    ``continues`` is true if it is of the log's present era, so that all nodes continue
    with it. ``kept_at`` identifies what was read, for a conditional replacement, and
    ``first`` is the position of the log's oldest record.
    """

    state: ClusterState | None
    kept_at: int
    first: int
    continues: bool


def find_continued(client, snapshot_stream, first):
    """Return the `ContinuedState` of a log whose oldest record is at ``first``."""
    state, kept_at = read_kept(client, snapshot_stream)
    continues = state is not None and era_of(state.next_offset) == era_of(first)
    return ContinuedState(
        state=state, kept_at=kept_at, first=first, continues=continues
    )


def write_continued(client, stream, snapshot_stream, found, own_state):
    """Write the state that continues in the log's new era; return a `ContinuedState`.

    It is ``own_state``, or without one what the log still has. The write is conditional
    on what was ``found``, so that only one node succeeds. Return ``None`` if this one
    didn't; the state of the one that did is found next time.
    """
    batch = client.read(stream, found.first)
    if own_state is None:
        state = found.state.copy() if found.state is not None else ClusterState()
        _fold_rest(state, client, stream, found.first, batch.next)
    else:
        state = own_state
    continued = continue_in_era(state, batch.next)
    parts, _ = encode_yielding(continued)
    if len(parts) > 1:
        logging.error("can't continue the state: %d parts; expected 1", len(parts))
        return None
    if not client.replace_newest(snapshot_stream, parts[0], found.kept_at):
        return None
    return attrs.evolve(found, state=continued, continues=True)


def _fold_rest(state, client, stream, first, end):
    """Fold what the log has after a snapshot of an earlier era.

    These records are older than the copy that the log came back from, and are folded
    at their positions of that era.
    """
    if offset_of(state.next_offset) < offset_of(first):
        return
    start = position(era_of(first), offset_of(state.next_offset))
    while start < end:
        batch = client.read(stream, start)
        if not batch.records:
            return
        for data in batch.records:
            record = decode_record(data).value_or(
                UnknownRecord(
                    record_id=f"offset-{state.next_offset}", kind="unreadable"
                )
            )
            fold(state, state.next_offset, record)
        start += len(batch.records)
