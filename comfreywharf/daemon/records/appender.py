"""Append records to the log within the node's budget, and read them back."""

from functools import partial

import gevent
from absl import logging
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.append_batcher import AppendBatcher
from comfreywharf.daemon.records.logclient import LogBusy, LogError
from comfreywharf.records import encode_record
from comfreywharf.records.appends import AppendBudget, Backoff, Priority, priority_of

__all__ = ["Appender", "NotAcknowledged"]

READ_BACK_S = 0.3
"""Minimum time to wait for a record in the fold before a failed append is retried."""

PART_TRIES = 8


class NotAcknowledged(Exception):
    """A record couldn't be read back in time, or can't be sent in time.

    If ``sent`` is false, the record was never sent, or the log refused it, and it
    can't take effect; otherwise it still may. ``retry_after_s`` is the time after which
    another append may be sent, in seconds. A caller that repeats the append waits for
    that long, since the refusal itself may come at once.
    """

    def __init__(self, record_id, sent, retry_after_s=0.0):
        super().__init__(f"{record_id}: {'not read back' if sent else 'not sent'}")
        self.record_id = record_id
        self.sent = sent
        self.retry_after_s = retry_after_s


class Appender:
    """Append records to the log; all appends of a node go through it."""

    def __init__(self, follower, client, stream, node_id, rng):
        self._follower = follower
        self._client = client
        self._stream = stream
        self._node_id = node_id
        self._budget = AppendBudget(now_s=boottime_s())
        self._backoff = Backoff(rng)
        self._budget_changed = Event()
        self._batcher = None
        if client.takes_batches:
            self._batcher = AppendBatcher(
                partial(client.append_all, stream), follower.fold_appended
            )

    def append(self, record, timeout_s):
        """Append a record, read it back, and return its `FoldOutcome`.

        If an answer is lost, the record is first looked up in the fold by its id
        before it is sent again. The fold would refuse a second copy anyway. A record
        that can't be sent before the timeout is given up at once, unless an earlier
        try may still take effect. Raises `NotAcknowledged`.
        """
        data = encode_record(record)
        priority = priority_of(record)
        deadline_s = boottime_s() + timeout_s
        may_take_effect = False
        while True:
            outcome = self._follower.state.outcomes.get(record.record_id)
            if outcome is not None:
                return outcome
            pause_s = self._take_token(priority)
            # A wait for a token ends early if another record finds the log busy.
            wait = self._budget_changed.wait
            if not pause_s:
                may_take_effect, pause_s = self._send(
                    data, priority, deadline_s, may_take_effect
                )
                wait = gevent.sleep
            left_s = deadline_s - boottime_s()
            if left_s <= 0 or not may_take_effect and pause_s >= left_s:
                raise NotAcknowledged(record.record_id, may_take_effect, pause_s)
            if may_take_effect:
                self._follower.await_outcome(record.record_id, min(pause_s, left_s))
            else:
                wait(pause_s)

    def append_part(self, stream, data):
        """Append a part of a snapshot; raises `LogError` after `PART_TRIES` tries."""
        for _ in range(PART_TRIES):
            self._wait_for_token(Priority.LOW)
            try:
                return self._client.append(stream, data)
            except LogError as error:
                last = error
                gevent.sleep(self._delay_s(error, Priority.LOW))
        raise last

    def replace_newest(self, stream, data, position):
        """Replace the newest snapshot unless one was written after ``position``.

        Return whether it was replaced. Raises `LogError`.
        """
        self._wait_for_token(Priority.LOW)
        return self._client.replace_newest(stream, data, position)

    def _send(self, data, priority, deadline_s, may_take_effect):
        """Send once; return whether a try may take effect, and the pause after it.

        ``may_take_effect`` is whether an earlier try may. After an acknowledgement, the
        pause lasts until the deadline, by which the record has to be read back.
        """
        left_s = max(deadline_s - boottime_s(), 0.0)
        try:
            with gevent.Timeout(
                left_s, LogError("append: no answer before the deadline")
            ):
                self._append_one(self._stream, data)
        except LogError as error:
            logging.info("append failed: %s", error)
            self._follower.handle_failed_append(error)
            pause_s = self._delay_s(error, priority)
            if isinstance(error, LogBusy):
                return may_take_effect, pause_s
            return True, max(pause_s, READ_BACK_S)
        self._backoff.succeeded(priority)
        return True, max(deadline_s - boottime_s(), 0.0)

    def _append_one(self, stream, data):
        if self._batcher is not None:
            self._batcher.append(data)
        else:
            self._follower.fold_appended(self._client.append(stream, data), data)

    def _delay_s(self, error, priority):
        if isinstance(error, LogBusy):
            self._budget.mark_log_busy(boottime_s(), error.retry_after_s)
            changed, self._budget_changed = self._budget_changed, Event()
            changed.set()
            return self._backoff.failed(priority, error.retry_after_s)
        return self._backoff.failed(priority)

    def _take_token(self, priority):
        """Take an append token; return how long to wait before the next try, or 0."""
        state = self._follower.state
        planner = state.planner_id == self._node_id
        return self._budget.take(priority, len(state.members), planner, boottime_s())

    def _wait_for_token(self, priority):
        """Wait until there is an append token for a part of a snapshot."""
        while pause_s := self._take_token(priority):
            gevent.sleep(pause_s)
