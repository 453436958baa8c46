"""Tests of the routes that only servers' calls use, and of their place in the queue."""

import random

import pytest

from comfreywharf.load import ConcurrencyLimit
from comfreywharf.load.admission import (
    AdmissionState,
    Arrived,
    Begin,
    Finished,
    Result,
    Shed,
    decide,
)
from comfreywharf.load.callroutes import (
    MIN_OBSERVATIONS,
    CallRoutes,
    Run,
    inherited_rank,
    possible_runs,
)
from comfreywharf.load.fairqueue import RankedQueue, Ticket

SLOTS = 7
STEP_S = 0.001
CALL_WORK_S, CALL_DEADLINE_S = 0.032, 0.423
FETCH_WORK_S, FETCH_DEADLINE_S = 0.323, 2.5


def observe(routes, outcomes):
    for may_belong_to_run in outcomes:
        routes.observe("route", may_belong_to_run)


def test_a_few_requests_say_nothing_of_a_route():
    """Guards against a caller's request that happens to arrive beside a long run."""
    routes = CallRoutes()
    observe(routes, [True] * (MIN_OBSERVATIONS - 1))
    assert not routes.carries_calls("route")


def test_calls_of_cancelled_runs_leave_their_route_known():
    """Guards against a route that is lost since a caller of the run disconnected."""
    routes = CallRoutes()
    observe(routes, [True] * 200 + [False])
    assert routes.carries_calls("route")


@pytest.mark.parametrize("contradicting", [0.2, 0.5, 1.0])
def test_a_route_of_callers_isnt_taken_for_one_of_calls(contradicting):
    """Guards against callers that gain a place in the queue on a busy server.

    A fifth of their requests outlast all runs that were in progress.
    """
    rng = random.Random(5)
    routes = CallRoutes()
    taken = 0
    for _ in range(2000):
        routes.observe("route", rng.random() >= contradicting)
        taken += routes.carries_calls("route")
    assert taken < 0.05 * 2000


def test_a_route_that_callers_begin_to_use_is_known_within_its_next_requests():
    """Guards against callers that keep the rank of calls after a configuration."""
    routes = CallRoutes()
    observe(routes, [True] * 1000)
    observe(routes, [False] * 3)
    assert not routes.carries_calls("route")


def test_a_removed_route_is_forgotten():
    """Guards against what is known of a name that the configuration uses again."""
    routes = CallRoutes()
    observe(routes, [True] * MIN_OBSERVATIONS)
    routes.keep(["other"])
    assert not routes.carries_calls("route")


def test_a_call_gains_nothing_from_a_run_that_may_not_have_made_it():
    """Guards against calls of less urgent runs that take a more urgent one's rank."""
    urgent, other = Run(1, rank=0, deadline_s=1.0), Run(2, rank=2, deadline_s=9.0)
    assert inherited_rank(possible_runs([urgent, other], expires_s=5.0)) == 2
    assert inherited_rank(possible_runs([urgent, other], expires_s=0.9)) == 2
    assert inherited_rank(possible_runs([urgent], expires_s=0.9)) == 0


class OwnerUnderLoad:
    """Play an owner whose slots fetches and calls of orders compete for."""

    def __init__(self, *, nested, calls_per_s=13, fetches_per_s=35):
        self._nested = nested
        self._rates = {"call": calls_per_s, "fetch": fetches_per_s}
        self._state = AdmissionState(
            ConcurrencyLimit(SLOTS, ramp_up=False),
            256,
            random.Random(3),
            queue=RankedQueue(),
        )
        self._running = []
        self.arrived = {"call": 0, "fetch": 0}
        self.served = {"call": 0, "fetch": 0}

    def run(self, seconds):
        rng = random.Random(11)
        for tick in range(int(seconds / STEP_S)):
            now_s = tick * STEP_S
            for entry in [e for e in self._running if e[0] <= now_s]:
                self._running.remove(entry)
                self.served[entry[1].kind] += 1
                self._apply(Finished(entry[1], Result.ANSWERED), now_s, rng)
            for kind, per_s in self._rates.items():
                if rng.random() < per_s * STEP_S:
                    self.arrived[kind] += 1
                    self._apply(Arrived(self._ticket(kind, now_s)), now_s, rng)
        return self

    def _ticket(self, kind, now_s):
        is_call = kind == "call"
        target_s = 0.135 if is_call else 1.593
        return Ticket(
            flow=None,
            deadline_s=now_s + (CALL_DEADLINE_S if is_call else FETCH_DEADLINE_S),
            arrived_s=now_s,
            rank=1 if is_call else 2,
            kind=kind,
            target_s=None if is_call and self._nested else now_s + target_s,
            nested=is_call and self._nested,
        )

    def _apply(self, event, now_s, rng):
        for action in decide(self._state, event, now_s):
            if isinstance(action, Begin):
                kind = action.ticket.kind
                mean_s = CALL_WORK_S if kind == "call" else FETCH_WORK_S
                work_s = rng.gammavariate(4, mean_s / 4)
                self._running.append((now_s + work_s, action.ticket))
            else:
                assert isinstance(action, Shed)

    def fraction_served(self, kind):
        return self.served[kind] / self.arrived[kind]


def test_calls_of_orders_are_served_while_fetches_overload_their_owner():
    """Guards against orders that fail since their calls queue behind fetches.

    The load is that of an owner with seven slots that fetches need one and a half
    times over, while the calls need less than a tenth of them.
    """
    nested = OwnerUnderLoad(nested=True).run(30)
    before = OwnerUnderLoad(nested=False).run(30)
    assert nested.fraction_served("call") > 0.99
    assert nested.fraction_served("call") > before.fraction_served("call")
    assert nested.fraction_served("fetch") > 0.9 * before.fraction_served("fetch")


def test_calls_do_not_starve_the_requests_that_they_go_before():
    """Guards against less urgent requests that get no slot beside many calls."""
    owner = OwnerUnderLoad(nested=True, calls_per_s=100, fetches_per_s=20).run(30)
    least = 0.25 * (sum(owner.served.values()) / sum(owner.arrived.values()))
    assert owner.fraction_served("fetch") > least


def test_calls_do_not_make_new_requests_of_their_rank_late():
    """Guards against new requests that seem to wait for all calls of running work.

    Counted as more urgent, the many short calls made the estimated wait of a request up
    to ten times as long, so that it was put behind less urgent ones.
    """
    limit = ConcurrencyLimit(1, ramp_up=False)
    state = AdmissionState(limit, 256, random.Random(1), queue=RankedQueue())
    for number in range(200):
        now_s = number * 0.1
        call = Ticket(
            flow=None,
            deadline_s=now_s + 0.4,
            arrived_s=now_s,
            rank=1,
            kind="call",
            nested=True,
        )
        decide(state, Arrived(call), now_s)
        decide(state, Finished(call, Result.ANSWERED), now_s + 0.03)
    running, waiting = (
        Ticket(
            flow=None,
            deadline_s=24.0,
            arrived_s=21.0,
            rank=1,
            kind="order",
            target_s=21.25,
        )
        for _ in "ab"
    )
    decide(state, Arrived(running), 21.0)
    decide(state, Arrived(waiting), 21.0)
    assert not waiting.late
