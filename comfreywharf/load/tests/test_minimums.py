"""The minimum share of the slots that each rank keeps at an overloaded server."""

import random

import pytest

from comfreywharf.load import ConcurrencyLimit, Ticket
from comfreywharf.load.admission import (
    AdmissionState,
    Arrived,
    Begin,
    Finished,
    Result,
    decide,
)
from comfreywharf.load.fairqueue import RankedQueue
from comfreywharf.load.minimums import MinimumShares

WORK_S = 0.1
STEP_S = 0.01


def serve(shares, seconds=10.0, less_urgent_per_step=0.05):
    """Return how many requests of each rank started, on one slot that is always busy.

    Two urgent requests arrive for each that can be served.
    """
    limit = ConcurrencyLimit(1, ramp_up=False)
    state = AdmissionState(limit, 256, random.Random(1), queue=RankedQueue())
    state.minimums.shares = shares
    started = {0: 0, 2: 0}
    due = {0: 0.0, 2: 0.0}
    running = []
    for step in range(int(seconds / STEP_S)):
        now_s = step * STEP_S
        events = [
            Finished(ticket, Result.ANSWERED)
            for at_s, ticket in running
            if at_s <= now_s
        ]
        running = [entry for entry in running if entry[0] > now_s]
        for rank, per_step in ((0, 0.2), (2, less_urgent_per_step)):
            due[rank] += per_step
            if due[rank] >= 1:
                due[rank] -= 1
                events.append(Arrived(make_ticket(rank, now_s)))
        for event in events:
            for action in decide(state, event, now_s):
                if isinstance(action, Begin):
                    started[action.ticket.rank] += 1
                    running.append((now_s + WORK_S, action.ticket))
    return started


def make_ticket(rank, now_s):
    return Ticket(
        flow=None,
        deadline_s=now_s + 2.0,
        arrived_s=now_s,
        rank=rank,
        kind=rank,
        target_s=now_s + 1.0,
    )


def test_a_rank_gets_its_minimum_and_no_more_while_urgent_requests_fill_the_slots():
    """Guards against a rank that is starved, and one that takes more than its share."""
    without, with_share = serve({}), serve({2: 0.2})
    assert without[2] <= 2
    assert with_share[2] == pytest.approx(20, abs=3)
    assert sum(with_share.values()) >= sum(without.values()) - 2


def test_a_rank_that_asks_for_little_leaves_the_rest_of_its_minimum():
    """Guards against slots that are kept idle for requests that don't come."""
    started = serve({2: 0.5}, less_urgent_per_step=0.01)
    assert started[2] <= 10
    assert sum(started.values()) >= 95


def test_a_rank_that_did_not_wait_has_saved_up_nothing():
    """Guards against a burst of less urgent requests that displaces urgent ones."""
    minimums = MinimumShares(shares={2: 0.2})
    for _ in range(100):
        minimums.record_started(0, WORK_S, waiting=[0])
    assert minimums.owed({0: WORK_S, 2: WORK_S}) is None


def test_a_rank_that_was_served_beyond_its_minimum_owes_nothing():
    """Guards against a rank that waits for what it got while slots were free."""
    minimums = MinimumShares(shares={2: 0.5})
    for _ in range(10):
        minimums.record_started(2, WORK_S, waiting=[2])
    for _ in range(2):
        minimums.record_started(0, WORK_S, waiting=[0, 2])
    assert minimums.owed({0: WORK_S, 2: WORK_S}) == 2


def test_without_an_overload_the_order_is_by_rank_alone():
    """Guards against less urgent requests that go first when there is no need."""
    minimums = MinimumShares()
    for _ in range(100):
        minimums.record_started(0, WORK_S, waiting=[0, 2])
    assert minimums.owed({0: WORK_S, 2: WORK_S}) is None
    assert minimums.wait_s(2, 1, WORK_S, slots=7) == float("inf")
