"""Write snapshots of the state to their stream, and read the newest one."""

import uuid

import gevent
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.appender import NotAcknowledged
from comfreywharf.daemon.records.logclient import LogError, LogTruncated
from comfreywharf.records.messages import SnapshotWritten
from comfreywharf.records.schedule import SnapshotSchedule
from comfreywharf.records.snapshots import (
    SnapshotAssembler,
    encode_sections,
    make_parts,
)
from comfreywharf.records.state import ClusterState
from comfreywharf.ticks import sleep_to_tick

__all__ = [
    "SnapshotWriter",
    "encode_yielding",
    "read_newest",
    "write_snapshot_past_gap",
]

CHECK_INTERVAL_S = 0.5
WINDOW_PARTS = 16
"""How many parts at the end of the stream are read before any earlier ones."""

PARTS_PER_READ = 8


def read_newest(client, stream):
    """Return the state of the newest complete snapshot, or ``None``.

    Read the end of the stream first, and earlier parts only if the end contains no
    complete snapshot. Raises `LogError`.
    """
    assembler = SnapshotAssembler()
    if client.keeps_newest:
        return read_kept(client, stream)[0]
    first, end = client.bounds(stream)
    window = WINDOW_PARTS
    while assembler.newest is None and end > first:
        start = max(first, end - window)
        _read_parts(client, stream, start, end, assembler)
        end, window = start, window * 4
    return assembler.newest


def read_kept(client, stream):
    """Return ``(state, position)`` of the newest snapshot of a log that keeps it.

    ``state`` is ``None`` without a snapshot. ``position`` identifies what was read,
    for a conditional replacement of it.
    """
    parts, position = client.newest_parts(stream)
    assembler = SnapshotAssembler()
    for data in parts:
        assembler.add(data)
    return assembler.newest, position


def write_snapshot_past_gap(client, stream, log_first):
    """Write a snapshot that continues where the log begins; return whether it did.

    Its state is that of the newest snapshot, without the records between the two,
    which no node has any more. The write is conditional on what was read, so that
    only one node succeeds and all nodes continue from the same state.
    """
    state, position = read_kept(client, stream)
    state = state or ClusterState()
    if state.next_offset >= log_first:
        return False
    state.next_offset = log_first
    state.lineage += 1
    parts, _ = encode_yielding(state)
    if len(parts) > 1:
        logging.error("can't skip lost records: found %d parts; expected 1", len(parts))
        return False
    return client.replace_newest(stream, parts[0], position)


def _read_parts(client, stream, start, end, assembler):
    while start < end:
        try:
            batch = client.read(stream, start, limit=min(PARTS_PER_READ, end - start))
        except LogTruncated as error:
            start = error.first
            continue
        if not batch.records:
            return
        for data in batch.records:
            assembler.add(data)
        start += len(batch.records)


def encode_yielding(state):
    """Return ``(parts, offset)`` of a state, yielding to other greenlets."""
    copied = state.copy()
    chunks = []
    for chunk in encode_sections(copied):
        chunks.append(chunk)
        gevent.sleep(0)
    parts = make_parts(b"".join(chunks), uuid.uuid4().hex, copied.next_offset)
    return parts, copied.next_offset


class SnapshotWriter:
    """Write a snapshot whenever one is due and this node is to write it."""

    def __init__(self, node_id, follower, report):
        self._node_id = node_id
        self._follower = follower
        self._report = report
        self._schedule = SnapshotSchedule(node_id)
        self._written_offset = -1
        self._kept_position = None

    def run(self):
        """Write due snapshots until the greenlet is killed."""
        while True:
            sleep_to_tick(CHECK_INTERVAL_S)
            if not self._is_turn():
                continue
            try:
                self._write()
            except LogError as error:
                logging.info("writing a snapshot failed: %s", error)
            except NotAcknowledged as error:
                logging.info("writing a snapshot failed: %s", error)
                gevent.sleep(error.retry_after_s)

    def _is_turn(self):
        follower = self._follower
        if not (follower.usable and follower.reachable):
            return False
        return self._schedule.is_turn(follower.state, follower.log_first, boottime_s())

    def _has_state_to_write(self):
        """Return whether there is a newer state for the planner to write.

        If the log keeps the newest snapshot permanently, writing one soon after each
        change is cheap and allows the log to expire records at any time. Only the
        planner writes, so that no record has to inform the other nodes.
        """
        follower = self._follower
        # In a new era, one node says how the state goes on; another snapshot would
        # replace that one.
        ready = follower.usable and follower.reachable and follower.in_newest_era
        return ready and follower.state.next_offset > self._written_offset

    def run_for_planner(self, planner):
        """Write each changed state while this node is the planner."""
        while True:
            sleep_to_tick(CHECK_INTERVAL_S)
            if not planner.is_planning or not self._has_state_to_write():
                continue
            try:
                self.replace_kept()
            except LogError as error:
                logging.info("writing a snapshot failed: %s", error)

    def replace_kept(self):
        """Write the state in place of the newest snapshot that this node has seen.

        After the log has lost records, one node writes the state with which all go on.
        A planner that hasn't heard of the loss would replace that state, and others
        would go on once more, with another one. Only looks the newest snapshot up if
        its position isn't known, or another node has written one. Raises `LogError`.
        """
        position, self._kept_position = self._kept_position, None
        if position is None:
            self._kept_position = self._follower.kept_snapshot_position()
            return
        parts, offset = encode_yielding(self._follower.state)
        if not self._follower.replace_kept_snapshot(parts[0], position):
            return
        for data in parts[1:]:
            position = self._follower.append_part(data)
        self._kept_position = position + 1
        self._written_offset = offset

    def _write(self):
        parts, offset = encode_yielding(self._follower.state)
        for data in parts:
            self._follower.append_part(data)
        record = SnapshotWritten(
            record_id=uuid.uuid4().hex, node_id=self._node_id, offset=offset
        )
        outcome = self._follower.append(record)
        if outcome.accepted:
            self._report("snapshot_written", offset=offset, parts=len(parts))
