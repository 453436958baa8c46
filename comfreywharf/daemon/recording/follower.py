"""Follow the log: read records, fold them, tell those who wait."""

import random
import uuid

import attrs
import gevent
from absl import logging
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.recording.appender import Appender, NotAcknowledged
from comfreywharf.daemon.recording.logclient import (
    LogError,
    LogTruncated,
    known_at_s,
)
from comfreywharf.daemon.recording.snapshots import begin_anew, read_newest
from comfreywharf.records.appends import Backoff, Priority
from comfreywharf.records.replica import Replica

__all__ = ["Follower", "NotAcknowledged", "ReadPace", "new_record_id"]

MAX_RETRY_S = 2.0
GAP_PATIENCE_S = 4.0
"""Longer than a lease and several exchanges between peers together."""


@attrs.frozen(kw_only=True)
class ReadPace:
    """How a node reads the log.

    A read waits up to ``wait_s`` for news; after one that brought some the node
    rests for ``rest_s``, unless it waits for a record itself. Where it is
    ``relayed`` most nodes hear of records from others that read the log.
    """

    wait_s: float = 5.0
    rest_s: float = 0.0
    relayed: bool = False


class Follower:
    """The node's copy of the cluster's state, kept up to date from the log.

    ``state`` is one object for the life of the node; a snapshot that is loaded
    changes its contents.
    """

    def __init__(self, client, stream, report, node_id="", rng=None, pace=None):
        self._pace = pace or ReadPace()
        self._hurry = Event()
        self._awaited = 0
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
        self.confirmed_s = float("-inf")
        self._looked_for_snapshot = False
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
        """Return whether the state is good enough to own anything by it.

        It isn't before the node caught up with the log once, nor while a gap
        separates it from what the log still holds.
        """
        return self.replica.usable

    @property
    def log_keeps_newest(self):
        """Return whether the log keeps the newest snapshot for good."""
        return self._client.keeps_newest

    @property
    def log_first(self):
        """Return the oldest offset that the log was seen to keep."""
        return self.replica.log_first

    def subscribe(self, listener):
        """Call ``listener(record, result)`` after each folded record."""
        self._listeners.append(listener)

    def subscribe_loaded(self, listener):
        """Call ``listener()`` after a snapshot took the place of the state."""
        self._load_listeners.append(listener)

    def run(self):
        """Follow until the greenlet is killed."""
        while True:
            self.relayed = self._listen()
            if self.relayed:
                continue
            try:
                if self.gap or not self._looked_for_snapshot:
                    self._load_newest()
                self._read()
            except LogError as error:
                self._mark_unreachable(error)
                self._pause()
                continue
            self._mark_reachable()
            if self.gap:
                self._bridge()
                self._pause()
            else:
                self._backoff.succeeded(Priority.URGENT)
                self._rest()

    def _listen(self):
        """Hear from a relay instead of the log; return whether that was enough.

        A node that the log has just refused something asks the log itself, until
        it answers. Were it content with a relay's news, a planner that can write
        nothing down would go on planning.
        """
        if self.relay is None or not self.usable or not self.reachable:
            return False
        return self.relay.listen()

    def appended(self, offset, data):
        """Take a record that the log has just given its offset.

        Read back, it would cost a call, and its writer would wait for that.
        """
        self.take(offset, data)

    def refused(self, error):
        """Take note that the log failed an append.

        A node that hears from a relay has no reads of its own that would show it.
        Elsewhere they do, and a single busy answer is no loss of the log.
        """
        if self.relay is not None:
            self._mark_unreachable(error)

    def take(self, offset, data):
        """Fold one record if it is the next one; return whether it was."""
        folded = self.replica.take(offset, data)
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
            _call(listener, folded.record, folded.result)
        self._wake()
        return True

    def load(self, state):
        """Take the state of a snapshot if it is newer; return whether it was."""
        if not self.replica.load(state):
            return False
        self._report("snapshot_loaded", offset=state.next_offset)
        for listener in self._load_listeners:
            _call(listener)
        self._wake()
        return True

    def append(self, record, timeout_s=5.0):
        """Append a record, read it back, and return its `FoldOutcome`.

        Raises `NotAcknowledged` where it couldn't be read back in time.
        """
        return self._appender.append(record, timeout_s)

    def append_part(self, data):
        """Append a part of a snapshot to the stream of snapshots."""
        self._appender.append_part(self._snapshot_stream, data)

    def await_outcome(self, record_id, timeout_s):
        """Return a record's `FoldOutcome`, or ``None`` if it isn't folded in time."""
        deadline_s = boottime_s() + timeout_s
        self._awaited += 1
        self.hurry()
        try:
            while record_id not in self.state.outcomes:
                left_s = deadline_s - boottime_s()
                if left_s <= 0:
                    return None
                self._folded.wait(left_s)
            return self.state.outcomes[record_id]
        finally:
            self._awaited -= 1

    @property
    def _snapshot_stream(self):
        return f"{self._stream}.snapshots"

    def _bridge(self):
        """Go on without the missing records once it is certain that nobody has them.

        All nodes may be killed while the log forgets what came after the newest
        snapshot. Each would wait for the others for ever, and no key would have
        an owner again. A live node that has the records tells its peers within a
        second or two, so that a gap which lasts is everyone's. What was granted
        by the lost records has ended by then, and each new lease takes its fence
        from the log's end, above all that the lost records gave out.
        """
        now_s = boottime_s()
        if self._gap_since_s is None:
            self._gap_since_s = now_s
        if not self._client.keeps_newest or now_s < self._gap_since_s + GAP_PATIENCE_S:
            return
        if begin_anew(self._client, self._snapshot_stream, self.log_first):
            self._report("log_begun_anew", first=self.log_first)

    def knows(self, next_offset):
        """Return whether the fold holds all records below an offset."""
        return not self.gap and self.state.next_offset >= next_offset

    def confirm(self, then_s):
        """Take note that the fold held all of the log's records at a time."""
        self.confirmed_s = max(self.confirmed_s, min(then_s, boottime_s()))

    def hurry(self):
        """Read on at once: somebody waits for a record that is there."""
        self._hurry.set()

    def _rest(self):
        """Let records gather, so that one read brings several.

        Each read is a call that the log service counts, and each record would
        otherwise cost one from every node.
        """
        if not self._awaited and self._pace.rest_s:
            self._hurry.wait(self._pace.rest_s)
        self._hurry.clear()

    def _load_newest(self):
        state = read_newest(self._client, self._snapshot_stream)
        self._looked_for_snapshot = True
        if state is not None:
            self.load(state)

    def _read(self):
        start = self.state.next_offset
        wait_ms = int(self._pace.wait_s * 1000) if self.usable else 0
        sent_s = boottime_s()
        try:
            batch = self._client.read(self._stream, start, wait_ms=wait_ms)
        except LogTruncated as error:
            self.replica.truncated(error.first)
            self._report_gap(error.first)
            return
        self.replica.answered(start, batch.first, batch.next)
        self._report_gap(batch.next)
        for index, data in enumerate(batch.records):
            self.take(start + index, data)
        if self.replica.reached(batch.next):
            self.caught_up.set()
            self.confirm(known_at_s(sent_s, wait_ms / 1000, bool(batch.records)))

    def _report_gap(self, first):
        if not self.gap:
            self._gap_since_s = None
        if self.gap and not self._gap_reported:
            self._report("log_gap", expected=self.state.next_offset, first=first)
        self._gap_reported = self.gap

    def _pause(self):
        """Wait before the next try, longer each time, so that 640 nodes don't
        meet a log that comes back with a flood of reads."""
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
            # The others may have begun anew meanwhile; see `_bridge`.
            self._looked_for_snapshot = not self._client.keeps_newest
            self._report("log_reachable", next_offset=self.state.next_offset)
        self.reachable = True


def _call(listener, *arguments):
    """Call a listener; its failure must not stop the fold.

    A follower that ended with an exception would leave the node running on a
    state that never changes again, and nobody would see it but by its age.
    """
    try:
        listener(*arguments)
    except Exception:
        logging.exception("a listener of the log failed")


def new_record_id():
    """Return an id that no other record has."""
    return uuid.uuid4().hex
