"""The limit that a server names, over drawn arrivals, delays and changes."""

import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

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
from comfreywharf.load.coldstart import ColdLimit, ColdTerms
from comfreywharf.load.fairqueue import RankedQueue
from comfreywharf.load.ratelimit import (
    BURST_S,
    LIFTED_AFTER_S,
    MAX_RETRY_AFTER_S,
    PROBE_AFTER_S,
    ServerRateLimit,
)
from comfreywharf.routing import Reason

WINDOW_S = 4.0
SLACK_REQUESTS = 5
TICK_S = 0.01
USED_PART = 0.9
KNOWN_AFTER_S = 0.5
"""When a limit has to be kept: what was admitted before is sent by then."""


class Unlimited(ServerRateLimit):
    """A limit that is recorded and not kept, to show what keeping it is worth."""

    def wait_s(self, ahead, now_s):
        """Return no wait."""
        return 0.0


class LimitedServer:
    """A server that names a limit in its answers, and the admission at its node.

    ``spans`` are ``(begin_s, end_s, limit_per_s)`` of the limits that the node knew;
    the last one has no end. ``waits_s`` are the waits that the limit imposed when the
    requests in ``shed`` were refused.
    """

    def __init__(self, seed=0, limit_type=ServerRateLimit, slots=64):
        self.rng = random.Random(seed)
        self.limit_type = limit_type
        self.slots = slots
        self.now_s = 100.0
        self.named_per_s = None
        self.sent_s = []
        self.spans = []
        self.shed = []
        self.waits_s = []
        self._due = []
        self.start_process()

    def start_process(self):
        """Start the node's process; it knows nothing of what was sent before."""
        self._end_span()
        self._due = []
        self.limit = self.limit_type()
        self.state = AdmissionState(
            ConcurrencyLimit(self.slots, ramp_up=False, cut_on_refusal=False),
            512,
            random.Random(1),
            bounds=ArrivalBounds(ColdLimit(began_s=0.0), self.limit),
            queue=RankedQueue(),
        )

    def _end_span(self):
        if self.spans and self.spans[-1][1] is None:
            begin_s, _, limit_per_s = self.spans[-1]
            self.spans[-1] = (begin_s, self.now_s, limit_per_s)

    def arrive(self, rank=0, patience_s=5.0):
        """Have a request arrive."""
        ticket = Ticket(
            flow=None,
            deadline_s=self.now_s + patience_s,
            arrived_s=self.now_s,
            rank=rank,
        )
        self._apply(decide(self.state, Arrived(ticket), self.now_s))
        return ticket

    def answer(self):
        """Have an answer arrive that names what the server takes now."""
        if self.named_per_s is None:
            change = self.limit.record_unnamed(self.now_s)
        else:
            change = self.limit.record_named(self.named_per_s, self.now_s)
        if change is not None:
            self._end_span()
            if change.after_per_s is not None:
                self.spans.append((self.now_s, None, change.after_per_s))

    def run(self, duration_s):
        """Let time pass: send, finish and answer what is due."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s = min(self.now_s + TICK_S, end_s)
            due = [entry for entry in self._due if entry[0] <= self.now_s]
            self._due = [entry for entry in self._due if entry[0] > self.now_s]
            for _, sends, ticket in sorted(due, key=lambda entry: entry[0]):
                self._send(ticket) if sends else self._finish(ticket)
            self._apply(decide(self.state, TimePassed(), self.now_s))

    def _apply(self, actions):
        for action in actions:
            if isinstance(action, Begin):
                delay_s = self.rng.choice((0.0, 0.0, 0.02, 0.3))
                self._due.append((self.now_s + delay_s, True, action.ticket))
            elif isinstance(action, Shed):
                self.shed.append(action)
                ahead = self.state.waiting + 1
                self.waits_s.append(self.limit.wait_s(ahead, self.now_s))

    def _send(self, ticket):
        self.state.bounds.record_sent(ticket, self.now_s)
        self.sent_s.append(self.now_s)
        end_s = self.now_s + self.rng.uniform(0.01, 0.2)
        self._due.append((end_s, False, ticket))

    def _finish(self, ticket):
        self.answer()
        result = self.rng.choice((Result.ANSWERED, Result.REFUSED, Result.FAILED))
        self._apply(decide(self.state, Finished(ticket, result), self.now_s))

    def excess(self):
        """Return by how many requests the worst window is above what was named.

        Windows lie within the time of one limit. The requests that may be sent together
        after a pause are allowed, and as many that wait to be sent.
        """
        return max(
            (
                self._most_within(begin_s, end_s or self.now_s + 1.0, limit_per_s)
                for begin_s, end_s, limit_per_s in self.spans
            ),
            default=float("-inf"),
        )

    def _most_within(self, begin_s, end_s, limit_per_s):
        begin_s += KNOWN_AFTER_S
        times_s = [sent_s for sent_s in self.sent_s if begin_s < sent_s < end_s]
        most = max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )
        return most - (WINDOW_S + 2 * BURST_S) * limit_per_s


def settle_limit(server, limit_per_s):
    """Have a server name a limit, and its node know it."""
    server.named_per_s = limit_per_s
    server.answer()


class LimitMachine(RuleBasedStateMachine):
    """Limits that come, change and go, while requests arrive and processes restart."""

    limit_type = ServerRateLimit

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        """Start with a server that names no limit."""
        self.server = LimitedServer(seed, self.limit_type)

    @rule(
        limit_per_s=st.sampled_from([0.0, 0.25, 1.0, 4.4, 14.4, 24.6, 100.0])
        | st.floats(0.0, 60.0)
    )
    def name_limit(self, limit_per_s):
        """The server names a limit, first in its next answer."""
        settle_limit(self.server, limit_per_s)

    @rule()
    def name_no_limit(self):
        """The server names no limit any more."""
        self.server.named_per_s = None

    @rule(count=st.integers(1, 60), rank=st.integers(0, 2))
    def arrive_together(self, count, rank):
        """Requests arrive at one moment."""
        for _ in range(count):
            self.server.arrive(rank)

    @rule(per_s=st.integers(1, 80), duration_s=st.floats(0.2, 3.0))
    def arrive_steadily(self, per_s, duration_s):
        """Requests arrive one after the other."""
        for _ in range(int(per_s * duration_s)):
            self.server.arrive()
            self.server.run(1 / per_s)

    @rule(duration_s=st.floats(0.05, 5.0))
    def wait(self, duration_s):
        """Time passes."""
        self.server.run(duration_s)

    @rule()
    def restart(self):
        """The node's process is killed and starts again."""
        self.server.start_process()

    @invariant()
    def the_limit_is_kept(self):
        """No window of four seconds has more than the limit and a small slack."""
        assert self.server.excess() <= SLACK_REQUESTS


LimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None
)
TestLimits = LimitMachine.TestCase


def flood(server, per_s, duration_s):
    """Have requests arrive at a rate."""
    for _ in range(int(per_s * duration_s)):
        server.arrive(rank=server.rng.randrange(3))
        server.run(1 / per_s)


def test_without_the_bound_a_limited_server_gets_what_arrives():
    """Guards against a state machine that passes whatever the node sends."""
    server = LimitedServer(limit_type=Unlimited)
    settle_limit(server, 14.4)
    flood(server, 60, 5.0)
    assert server.excess() > SLACK_REQUESTS


@pytest.mark.parametrize("limit_per_s", [0.25, 1.5, 4.9, 14.4, 40.0])
def test_nine_tenths_of_the_limit_are_used_while_requests_wait(limit_per_s):
    """Guards against a bound that starves a server which would take more."""
    server = LimitedServer()
    settle_limit(server, limit_per_s)
    flood(server, 60, 12.0)
    assert server.excess() <= SLACK_REQUESTS
    assert len(server.sent_s) >= USED_PART * limit_per_s * 12.0 - 1


def test_a_server_that_takes_nothing_gets_nothing_and_is_probed():
    """Guards against a limit of zero that no answer can lift any more."""
    server = LimitedServer()
    settle_limit(server, 0.0)
    flood(server, 20, 1.0)
    assert not server.sent_s
    assert {shed.reason for shed in server.shed} == {Reason.BACKEND_LIMITED}
    server.run(PROBE_AFTER_S)
    assert server.limit.take_probe(server.now_s)
    assert not server.limit.take_probe(server.now_s)
    server.named_per_s = None
    server.answer()
    server.run(LIFTED_AFTER_S)
    server.answer()
    server.arrive()
    server.run(0.5)
    assert server.sent_s


def test_one_answer_without_the_limit_doesnt_lift_it():
    """Guards against an old answer, read late, behind which a whole queue is sent."""
    server = LimitedServer()
    settle_limit(server, 5.0)
    server.named_per_s = None
    server.answer()
    server.named_per_s = 5.0
    server.answer()
    assert server.limit.limit_per_s == 5.0


def test_a_limit_that_falls_holds_at_once():
    """Guards against tokens of the earlier, higher limit."""
    server = LimitedServer()
    settle_limit(server, 100.0)
    server.run(1.0)
    settle_limit(server, 10.0)
    for _ in range(100):
        server.arrive()
    server.run(0.05)
    assert len(server.sent_s) <= BURST_S * 10.0 + 1


def test_a_request_beyond_the_limit_is_told_when_it_may_come_back():
    """Guards against callers who come back before the limit lets them in."""
    server = LimitedServer()
    settle_limit(server, 2.0)
    flood(server, 40, 1.0)
    assert server.shed
    for shed, wait_s in zip(server.shed, server.waits_s, strict=True):
        assert shed.retry_after_s >= min(wait_s, MAX_RETRY_AFTER_S)


def test_the_more_urgent_requests_go_first_to_a_limited_server():
    """Guards against urgent requests that wait behind a queue of others."""
    server = LimitedServer()
    settle_limit(server, 10.0)
    for _ in range(30):
        server.arrive(rank=2)
    urgent = [server.arrive(rank=0) for _ in range(5)]
    server.run(1.0)
    assert all(ticket.started_s is not None for ticket in urgent)


def test_a_server_that_is_cold_and_limited_keeps_both_bounds():
    """Guards against one bound that hides the other."""
    server = LimitedServer()
    cold = ColdLimit(began_s=0.0, terms=ColdTerms(requests_per_s=3.0))
    cold.set_cold(2.0, server.now_s)
    server.state.bounds = ArrivalBounds(cold, server.limit)
    settle_limit(server, 20.0)
    flood(server, 60, 2.0)
    assert len(server.sent_s) <= 2 * 3 + 3
    assert Reason.BACKEND_COLD in {shed.reason for shed in server.shed}
    flood(server, 60, 4.0)
    assert server.excess() <= SLACK_REQUESTS
