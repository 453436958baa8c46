"""The bound on requests to a cold server, over drawn arrivals and service times."""

import heapq
import random

import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.load import ConcurrencyLimit, Ticket
from comfreywharf.load.admission import (
    AdmissionState,
    Arrived,
    Begin,
    Finished,
    Result,
    Shed,
    TimePassed,
    decide,
)
from comfreywharf.load.bounds import ArrivalBounds
from comfreywharf.load.choice import within_bounds
from comfreywharf.load.coldstart import WINDOW_S, ColdLimit, ColdTerms
from comfreywharf.load.fairqueue import RankedQueue
from comfreywharf.load.tests.builders import member
from comfreywharf.routing import Reason

TERMS = ColdTerms(requests_per_s=4.05, overage=1.5, extra_requests=8)
BOUND = 4.05 * 1.5 + 8
COLD_S = 60.0
TICK_S = 0.005
WANTED_PART = 0.9


def cold_limit(began_s=-10.0, cold_s=COLD_S):
    """Return the limit of a server that is cold from 0 on."""
    limit = ColdLimit(began_s=began_s, terms=TERMS)
    limit.set_cold(cold_s, now_s=0.0)
    return limit


def most_in_a_window(sent_s):
    """Return the most requests in any window of a second."""
    times_s = sorted(sent_s)
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


class Server:
    """Admission to a cold server, with delays between admission and sending."""

    def __init__(self, rng, slots=8, patience_s=30.0, limit=None):
        self.limit = limit or cold_limit()
        self.state = AdmissionState(
            ConcurrencyLimit(slots, ramp_up=False, cut_on_refusal=False),
            512,
            random.Random(1),
            bounds=ArrivalBounds(self.limit),
            queue=RankedQueue(),
            by_deadline=False,
        )
        self.patience_s = patience_s
        self.rng = rng
        self.due = []
        self.sent_s = []
        self.reasons = []
        self._numbers = 0

    def arrive(self, now_s, rank=0):
        """Have a request arrive."""
        ticket = Ticket(
            flow=None,
            deadline_s=now_s + self.patience_s,
            arrived_s=now_s,
            rank=rank,
        )
        self._apply(decide(self.state, Arrived(ticket), now_s), now_s)
        return ticket

    def run(self, from_s, to_s):
        """Let time pass in ticks; send and finish what is due."""
        now_s = from_s
        while now_s < to_s:
            while self.due and self.due[0][0] <= now_s:
                at_s, _, sends, ticket = heapq.heappop(self.due)
                self._sent(ticket, at_s) if sends else self._finish(ticket, at_s)
            self._apply(decide(self.state, TimePassed(), now_s), now_s)
            now_s += TICK_S

    def _apply(self, actions, now_s):
        for action in actions:
            if isinstance(action, Begin):
                delay_s = self.rng.choice((0.0, 0.0, 0.03, 0.4))
                self._plan(now_s + delay_s, True, action.ticket)
            elif isinstance(action, Shed):
                self.reasons.append(action.reason)

    def _plan(self, at_s, sends, ticket):
        self._numbers += 1
        heapq.heappush(self.due, (at_s, self._numbers, sends, ticket))

    def _sent(self, ticket, now_s):
        self.limit.record_sent(ticket, now_s)
        self.sent_s.append(now_s)
        self._plan(now_s + self.rng.uniform(0.01, 0.3), False, ticket)

    def _finish(self, ticket, now_s):
        result = self.rng.choice((Result.ANSWERED, Result.FAILED, Result.REFUSED))
        self._apply(decide(self.state, Finished(ticket, result), now_s), now_s)


@settings(max_examples=40, deadline=None)
@given(
    gaps_s=st.lists(st.floats(0.0, 0.3), min_size=1, max_size=60),
    seed=st.integers(0, 2**16),
)
def test_no_second_has_more_than_the_bound(gaps_s, seed):
    """Guards against a cold server that crashes under what it is sent.

    Requests arrive at any times, and some are sent long after they were admitted."""
    server = Server(random.Random(seed), slots=64)
    now_s = 0.0
    for gap_s in gaps_s:
        server.run(now_s, now_s + gap_s)
        now_s += gap_s
        server.arrive(now_s)
    server.run(now_s, now_s + 8.0)
    assert len(server.sent_s) == len(gaps_s)
    assert most_in_a_window(server.sent_s) <= BOUND


def test_a_cold_server_gets_nine_tenths_of_the_bound_while_requests_wait():
    """Guards against a bound that starves the servers that have just joined."""
    server = Server(random.Random(3), slots=64)
    for _ in range(200):
        server.arrive(0.0)
    server.run(0.0, 10.0)
    assert most_in_a_window(server.sent_s) <= BOUND
    assert len(server.sent_s) >= WANTED_PART * BOUND * 10.0


def test_a_new_process_counts_what_the_one_before_may_have_sent():
    """Guards against a server that gets twice the bound when its node restarts."""
    earlier = Server(random.Random(4), slots=64)
    for _ in range(50):
        earlier.arrive(0.0)
    earlier.run(0.0, 0.6)
    later = Server(random.Random(5), slots=64, limit=cold_limit(began_s=0.6))
    for _ in range(50):
        later.arrive(0.6)
    later.run(0.6, 4.0)
    assert later.sent_s
    assert most_in_a_window(earlier.sent_s + later.sent_s) <= BOUND


def test_what_was_sent_before_a_server_said_that_it_is_cold_counts():
    """Guards against a burst at a server that turned cold and reported it late."""
    server = Server(random.Random(6), slots=64, limit=cold_limit(cold_s=0.0))
    for _ in range(10):
        server.arrive(0.0)
    server.run(0.0, 0.5)
    server.limit.set_cold(COLD_S, now_s=0.5)
    for _ in range(30):
        server.arrive(0.5)
    server.run(0.5, 3.0)
    assert most_in_a_window(server.sent_s) <= BOUND


def test_the_more_urgent_requests_go_first_to_a_cold_server():
    """Uploads aren't delayed by lookups while a cold server is all there is."""
    server = Server(random.Random(7), slots=64)
    for _ in range(30):
        server.arrive(0.0, rank=2)
    urgent = [server.arrive(0.01, rank=1) for _ in range(10)]
    server.run(0.02, 1.2)
    assert all(ticket.started_s is not None for ticket in urgent)


def test_a_request_that_a_cold_server_cant_take_in_time_is_refused_at_once():
    """Guards against requests that are held until they can't be served elsewhere."""
    server = Server(random.Random(8), slots=64, patience_s=0.5)
    server.state.by_deadline = True
    for _ in range(40):
        server.arrive(0.0)
    assert server.reasons and set(server.reasons) == {Reason.BACKEND_COLD}


def test_a_warm_server_is_not_bounded():
    """The bound ends with the time that the server reported."""
    server = Server(random.Random(9), slots=200, limit=cold_limit(cold_s=1.0))
    for _ in range(100):
        server.arrive(1.0)
    server.run(1.0, 1.5)
    assert len(server.sent_s) == 100


@pytest.mark.parametrize("cold_count", [1, 3, 8])
def test_cold_servers_together_get_about_what_they_bear(cold_count):
    """Neither are they starved, nor do all nodes send there what is refused."""
    rng = random.Random(10)
    members = [member(f"m{number}", latency_s=0.1) for number in range(8)]
    for one in members:
        one.slots = 3
    for one in members[:cold_count]:
        one.cold_until_s = 5.0
    bears_per_s = cold_count * 6.0 + (8 - cold_count) * 30.0
    chosen = [
        rng.choice(within_bounds(members, 6.0, 0.0, rng)).is_cold(0.0)
        for _ in range(5000)
    ]
    assert sum(chosen) / 5000 == pytest.approx(cold_count * 6.0 / bears_per_s, abs=0.03)


def test_only_cold_servers_are_used_as_they_are():
    """Behind a loss of power, the cold servers are all there are."""
    members = [member("a"), member("b")]
    for one in members:
        one.cold_until_s = 5.0
    assert within_bounds(members, 6.0, 0.0, random.Random(0)) == members
