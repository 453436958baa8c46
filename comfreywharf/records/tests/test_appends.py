"""Tests of the append budget of all nodes, and of which node writes a snapshot."""

import heapq
import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.records import ClusterState, Member
from comfreywharf.records.appends import BURST, AppendBudget, Backoff, Priority
from comfreywharf.records.schedule import (
    MAX_AGE_S,
    MAX_RECORDS_BEHIND,
    MIN_INTERVAL_S,
    SnapshotSchedule,
)

NODES = 640
LOG_APPENDS_PER_S = 400.0
RETRY_AFTER_S = 1.0


@attrs.define
class Writer:
    """A node's attempts to append one record, repeated until the log accepts it."""

    budget: AppendBudget
    backoff: Backoff
    priority: Priority


class BusyLog:
    """The log's rate limit, as implemented by the stand-in."""

    def __init__(self):
        self.tokens, self.now_s = LOG_APPENDS_PER_S, 0.0
        self.request_times_s = []

    def accepts(self, now_s):
        self.request_times_s.append(now_s)
        earned = (now_s - self.now_s) * LOG_APPENDS_PER_S
        self.tokens = min(LOG_APPENDS_PER_S, self.tokens + earned)
        self.now_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def run_after_outage(priorities):
    """Let 640 nodes append at the same time; return the log and the times of success.

    Each node appends one record of each of the given priorities.
    """
    log, queue, done_s = BusyLog(), [], {priority: [] for priority in priorities}
    for number in range(NODES):
        budget = AppendBudget(now_s=0.0)
        backoff = Backoff(random.Random(number))
        for index, priority in enumerate(priorities):
            writer = Writer(budget, backoff, priority)
            heapq.heappush(queue, (0.0, number, index, writer))
    while queue:
        now_s, number, index, writer = heapq.heappop(queue)
        wait_s = writer.budget.take(writer.priority, NODES, False, now_s)
        if not wait_s:
            if log.accepts(now_s):
                done_s[writer.priority].append(now_s)
                continue
            writer.budget.mark_log_busy(now_s, RETRY_AFTER_S)
            wait_s = writer.backoff.failed(writer.priority, RETRY_AFTER_S)
        heapq.heappush(queue, (now_s + wait_s, number, index, writer))
    return log, done_s


def test_nodes_do_not_overload_the_log_after_an_outage():
    """Guard against takeovers that are delayed for minutes after a log outage.

    After the outage, 640 nodes append a takeover, a lease start and an
    announcement each, and the log refuses most of them. The retries must not all
    come at once, nor announcements before takeovers.
    """
    urgent, low = Priority.URGENT, Priority.LOW
    log, done_s = run_after_outage((urgent, urgent, low))
    records = 3 * NODES
    fastest_s = (2 * NODES - LOG_APPENDS_PER_S) / LOG_APPENDS_PER_S
    assert len(done_s[urgent]) == 2 * NODES
    assert len(log.request_times_s) <= 2 * records
    # The retries of the refused appends are spread out.
    assert (
        max(Counter(round(s, 1) for s in log.request_times_s if s > 0).values()) < NODES
    )
    assert max(done_s[urgent]) <= 4 * fastest_s
    mean_s = {p: sum(times) / len(times) for p, times in done_s.items()}
    assert mean_s[urgent] < 0.6 * mean_s[low]


@pytest.mark.parametrize("members", [8, 64, 640])
def test_nodes_share_the_append_rate_of_the_fleet(members):
    """A node that always has records to append gets its share and no more."""
    budget = AppendBudget(now_s=0.0)
    granted = sum(
        not budget.take(Priority.URGENT, members, False, step / 20)
        for step in range(2000)
    )
    share = 100.0 * 160.0 / members
    assert min(share, 2000) - 1 <= granted <= share + BURST + 1


def test_tokens_are_reserved_for_urgent_records():
    """Announcements leave tokens for plans, and both leave tokens for takeovers."""
    budget = AppendBudget(now_s=0.0)
    granted = {}
    for priority in reversed(Priority):
        granted[priority] = 0
        while not budget.take(priority, NODES, False, 0.0):
            granted[priority] += 1
    assert granted == {Priority.LOW: 8, Priority.NORMAL: 4, Priority.URGENT: 4}


def make_state(next_offset, snapshot_offset, members=5):
    names = [f"n{number}" for number in range(members)]
    state = ClusterState(next_offset=next_offset, snapshot_offset=snapshot_offset)
    fields = {
        field.name: 1 if field.type is int else "x"
        for field in attrs.fields(Member)
        if field.default is attrs.NOTHING
    }
    state.members = {name: Member(**{**fields, "node_id": name}) for name in names}
    return state


def turns(state, log_first, times_s):
    """Return the nodes that would write at each time if all have the same state."""
    schedules = [SnapshotSchedule(name) for name in state.members]
    return [
        [each.node_id for each in schedules if each.is_turn(state, log_first, time_s)]
        for time_s in times_s
    ]


def test_next_node_writes_a_snapshot_if_the_first_one_does_not():
    state = make_state(next_offset=5000, snapshot_offset=100)
    first, later = turns(state, 0, [0.0, MIN_INTERVAL_S, MIN_INTERVAL_S + 3.1])[1:]
    assert len(first) == 1 and len(later) == 2 and first[0] in later


def test_writer_changes_with_each_snapshot():
    """The cost of writing snapshots is distributed among the nodes."""
    writers = {
        turns(make_state(offset + 2000, offset), 0, [0.0, 5.0])[1][0]
        for offset in range(1, 40)
    }
    assert len(writers) == 5


@settings(derandomize=True, deadline=None)
@given(
    behind=st.integers(0, 3 * MAX_RECORDS_BEHIND),
    kept=st.integers(1, 3 * MAX_RECORDS_BEHIND),
    age_s=st.floats(0.0, 2 * MAX_AGE_S),
)
def test_snapshot_is_due_before_the_log_expires_it(behind, kept, age_s):
    """A new snapshot is due if the last one is in the older half of a truncated log."""
    state = make_state(10_000, 10_000 - behind, members=1)
    log_first = 10_000 - kept
    due = bool(turns(state, log_first, [0.0, age_s])[1])
    wanted = behind > 0 and (
        behind >= MAX_RECORDS_BEHIND or 2 * behind > kept + 1 or age_s >= MAX_AGE_S
    )
    if 2 * behind not in (kept, kept + 1):
        assert due == (wanted and age_s >= MIN_INTERVAL_S)
