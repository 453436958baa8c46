"""Follow the log: read records, fold them, and notify listeners and waiters."""

import random
import uuid

import attrs
import gevent
from absl import logging
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.appender import Appender, NotAcknowledged
from comfreywharf.daemon.records.logclient import (
    LogError,
    LogRestored,
    LogTruncated,
    complete_at_s,
)
from comfreywharf.daemon.records.restoring import find_continued, write_continued
from comfreywharf.daemon.records.snapshots import (
    read_kept,
    read_newest,
    write_snapshot_past_gap,
)
from comfreywharf.records.appends import Backoff, Priority
from comfreywharf.records.positions import era_of, offset_of
from comfreywharf.records.replica import Replica

__all__ = ["Follower", "NotAcknowledged", "ReadOptions", "new_record_id"]

MAX_RETRY_S = 2.0
RESTORED_TIMEOUT_S = 2.0
"""How long a node that starts waits for a running one to say how the state goes on,
after the log has lost records."""

GAP_TIMEOUT_S = 4.0
"""How long a gap must last before the missing records are given up. It is longer than
a lease and several exchanges between peers together."""


@attrs.frozen(kw_only=True)
class ReadOptions:
    """How a node reads the log.

    A read waits up to ``wait_s`` for new records. After each read the node pauses for
    ``pause_s``, unless it waits for a record of its own. With ``relayed``, most nodes
    receive records from other nodes instead of reading the log.
    """

    wait_s: float = 5.0
    pause_s: float = 0.0
    relayed: bool = False


class Follower:
    """The node's copy of the cluster's state, kept up to date from the log.

    ``state`` is the same object for as long as the node runs; loading a snapshot
    replaces its contents.
    """

    def __init__(self, client, stream, report, node_id="", rng=None, read_options=None):
        self._read_options = read_options or ReadOptions()
        self._read_requested = Event()
        self._waiter_count = 0
        self.replica = Replica()
        self.reachable = False
        self.caught_up = Event()
        self._client = client
        self._stream = stream
        self._report = report
        self._rng = rng or random.Random()
        self._backoff = Backoff(self._rng)
        self._appender = Appender(self, client, stream, node_id, self._rng)
        self._folded = Event()
        self._listeners = []
        self._load_listeners = []
        self._gap_reported = False
        self._gap_since_s = None
        self._restored_since_s = None
        self.confirmed_s = float("-inf")
        self._snapshot_checked = False
        self._was_reachable = False
        self.relay = None
        self.relayed = False

    @property
    def state(self):
        """Return the folded state."""
        return self.replica.state

    @property
    def traffic(self):
        """Return the `LogTraffic` of this node's client."""
        return self._client.traffic

    @property
    def gap(self):
        """Return whether records are missing that the log no longer has."""
        return self.replica.gap

    @property
    def usable(self):
        """Return whether the state is complete enough to own slices.

        It isn't before the node has caught up with the log once, nor while a gap
        separates the state from the records that the log still holds.
        """
        return self.replica.usable

    @property
    def log_keeps_newest(self):
        """Return whether the log keeps the newest snapshot permanently."""
        return self._client.keeps_newest

    @property
    def in_newest_era(self):
        """Return whether the state is of the log's newest era that is known."""
        return era_of(self.state.next_offset) >= self._client.newest_era

    @property
    def log_first(self):
        """Return the oldest offset that the log is known to retain."""
        return self.replica.log_first

    def subscribe(self, listener):
        """Call ``listener(record, result)`` after each folded record."""
        self._listeners.append(listener)

    def subscribe_loaded(self, listener):
        """Call ``listener()`` after a snapshot has replaced the state."""
        self._load_listeners.append(listener)

    def run(self):
        """Follow the log until the greenlet is killed."""
        while True:
            self.relayed = self._poll_relay()
            if self.relayed:
                continue
            try:
                if self.gap or not self._snapshot_checked:
                    self._load_newest()
                self._read()
            except LogError as error:
                self._mark_unreachable(error)
                self._back_off()
                continue
            self._mark_reachable()
            if self.gap:
                self._skip_lost_records()
                self._back_off()
            else:
                self._backoff.succeeded(Priority.URGENT)
                self._pause_between_reads()

    def _poll_relay(self):
        """Poll a relay instead of the log; return whether the relay is up to date.

        While the log is marked as unreachable, for instance after a failed append, the
        node reads the log itself until that succeeds. With a relay's records alone, a
        planner that can't append would continue to plan.
        """
        if self.relay is None or not self.usable or not self.reachable:
            return False
        return self.relay.poll()

    def fold_appended(self, offset, data):
        """Fold a record that the log has just acknowledged with its offset.

        Reading it back would cost a further call, for which its writer would wait.
        """
        self.fold_next(offset, data)

    def handle_failed_append(self, error):
        """Mark the log as unreachable after a failed append, if there is a relay.

        A node that receives records from a relay has no reads of its own that would
        show an outage of the log. Without a relay the reads show it, and a single busy
        answer to an append doesn't mean that the log is unreachable.
        """
        if self.relay is not None:
            self._mark_unreachable(error)

    def fold_next(self, offset, data):
        """Fold one record if it is the next one; return whether it was."""
        folded = self.replica.fold_next(offset, data)
        if folded is None:
            return False
        if not folded.result.accepted:
            self._report(
                "record_refused",
                kind=type(folded.record).__name__,
                offset=offset,
                reason=folded.result.refusal.value,
            )
        for listener in self._listeners:
            _call_listener(listener, folded.record, folded.result)
        self._wake()
        return True

    def load(self, state):
        """Load the state of a snapshot if it is newer; return whether it was."""
        if not self.replica.load(state):
            return False
        self._report("snapshot_loaded", offset=state.next_offset)
        for listener in self._load_listeners:
            _call_listener(listener)
        self._wake()
        return True

    def append(self, record, timeout_s=5.0):
        """Append a record, read it back, and return its `FoldOutcome`.

        Raises `NotAcknowledged` if it couldn't be read back in time.
        """
        return self._appender.append(record, timeout_s)

    def append_part(self, data):
        """Append a part of a snapshot to its stream; return the position."""
        return self._appender.append_part(self._snapshot_stream, data)

    def kept_snapshot_position(self):
        """Return the position of the newest snapshot of a log that keeps it.

        It is for `replace_kept_snapshot`. The log's answer also tells whether the log
        has lost records, see `in_newest_era`. Raises `LogError`.
        """
        return read_kept(self._client, self._snapshot_stream)[1]

    def replace_kept_snapshot(self, data, position):
        """Replace the newest snapshot unless one was written after ``position``.

        Return whether it was replaced. Raises `LogError`.
        """
        return self._appender.replace_newest(self._snapshot_stream, data, position)

    def await_outcome(self, record_id, timeout_s):
        """Return a record's `FoldOutcome`, or ``None`` if it isn't folded in time."""
        deadline_s = boottime_s() + timeout_s
        self._waiter_count += 1
        self.request_read()
        try:
            while record_id not in self.state.outcomes:
                left_s = deadline_s - boottime_s()
                if left_s <= 0:
                    return None
                self._folded.wait(left_s)
            return self.state.outcomes[record_id]
        finally:
            self._waiter_count -= 1

    @property
    def _snapshot_stream(self):
        return f"{self._stream}.snapshots"

    def _skip_lost_records(self):
        """Continue without the missing records once no node can have them.

        All nodes may be killed while the log expires records that follow the newest
        snapshot. Each node would then wait for the others forever, and no key would
        get an owner again. A running node that has the records sends them to its peers
        within a second or two, so that a gap which lasts longer exists on all nodes.
        By then the grants based on the lost records have expired, and each new lease
        takes its fence from the log's end, above all fences in the lost records.
        """
        now_s = boottime_s()
        if self._gap_since_s is None:
            self._gap_since_s = now_s
        if not self._client.keeps_newest or now_s < self._gap_since_s + GAP_TIMEOUT_S:
            return
        if write_snapshot_past_gap(self._client, self._snapshot_stream, self.log_first):
            self._report("log_begun_anew", first=self.log_first)

    def has_all_below(self, next_offset):
        """Return whether the fold holds all records below an offset."""
        return not self.gap and self.state.next_offset >= next_offset

    def confirm(self, complete_s):
        """Record that the fold had all records that the log had at ``complete_s``."""
        self.confirmed_s = max(self.confirmed_s, min(complete_s, boottime_s()))

    def request_read(self):
        """End the pause between reads, for a caller that waits for a record."""
        self._read_requested.set()

    def _pause_between_reads(self):
        """Pause between reads, so that one read returns several records.

        Each read is a call that the log service counts. Without the pause, each record
        would cost one call from every node.
        """
        if not self._waiter_count and self._read_options.pause_s:
            self._read_requested.wait(self._read_options.pause_s)
        self._read_requested.clear()

    def _load_newest(self):
        state = read_newest(self._client, self._snapshot_stream)
        self._snapshot_checked = True
        if state is not None:
            self.load(state)

    def _read(self):
        start = self.state.next_offset
        wait_ms = int(self._read_options.wait_s * 1000) if self.usable else 0
        sent_s = boottime_s()
        try:
            batch = self._client.read(self._stream, start, wait_ms=wait_ms)
        except LogRestored as error:
            self._continue_restored(error.first)
            return
        except LogTruncated as error:
            self.replica.record_truncation(error.first)
            self._report_gap(error.first)
            return
        self.replica.update_log_bounds(start, batch.first, batch.next)
        self._report_gap(batch.next)
        for index, data in enumerate(batch.records):
            self.fold_next(start + index, data)
        if self.replica.check_caught_up(batch.next):
            self.caught_up.set()
            self.confirm(complete_at_s(sent_s, wait_ms / 1000, bool(batch.records)))

    def _continue_restored(self, first):
        """Continue in the new era of a log that came back from an older copy.

        One node writes down with which state all continue. A node that had caught up
        before writes its own, which has the lost records. A node that starts leaves
        that to the running ones for `RESTORED_TIMEOUT_S`.
        """
        before = self.state.next_offset
        found = find_continued(self._client, self._snapshot_stream, first)
        if found.state is None and not before and not offset_of(first):
            self._restored_since_s = None
            self.replica.start_at(first)
            return
        if not found.continues:
            complete = self.usable
            if not complete and self._restored_lately(boottime_s()):
                return
            found = write_continued(
                self._client,
                self._stream,
                self._snapshot_stream,
                found,
                self.state if complete else None,
            )
            if found is None:
                return
            self._report(
                "log_restored",
                era=era_of(first),
                before=before,
                after=found.state.next_offset,
                complete=complete,
            )
        self._restored_since_s = None
        self.load(found.state)

    def _restored_lately(self, now_s):
        if self._restored_since_s is None:
            self._restored_since_s = now_s
        return now_s < self._restored_since_s + RESTORED_TIMEOUT_S

    def _report_gap(self, first):
        if not self.gap:
            self._gap_since_s = None
        if self.gap and not self._gap_reported:
            self._report("log_gap", expected=self.state.next_offset, first=first)
        self._gap_reported = self.gap

    def _back_off(self):
        """Back off before the next try.

        Otherwise the reads of 640 nodes would overload a log after its outage.
        """
        delay_s = self._backoff.failed(Priority.URGENT)
        gevent.sleep(min(delay_s, MAX_RETRY_S))

    def _wake(self):
        self._folded.set()
        self._folded.clear()

    def _mark_unreachable(self, error):
        if self.reachable:
            self._report("log_unreachable", error=str(error))
        self.reachable = False

    def _mark_reachable(self):
        if not self.reachable:
            if self._was_reachable:
                # In the meantime other nodes may have skipped lost records, see
                # `_skip_lost_records`. A node that starts has no records to lose.
                self._snapshot_checked = not self._client.keeps_newest
            self._was_reachable = True
            self._report("log_reachable", next_offset=self.state.next_offset)
        self.reachable = True


def _call_listener(listener, *arguments):
    """Call a listener; log its exceptions, which must not stop the fold.

    If an exception ended the follower, the node would continue with a state that
    never changes again, which would be visible only by its age.
    """
    try:
        listener(*arguments)
    except Exception:
        logging.exception("a listener of the log raised an exception")


def new_record_id():
    """Return a unique id for a new record."""
    return uuid.uuid4().hex
