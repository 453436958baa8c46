"""A simulation of a backend server with admission control and of its callers.

The decisions are made by the product's code (`comfreywharf.load`). Only service
times, arrivals and callers are modelled, with a seeded random generator, so that
every run gives the same figures.
"""

import heapq
import itertools
import random

import attrs

from comfreywharf.load.admission import (
    AdmissionState,
    Arrived,
    Begin,
    Finished,
    Result,
    TimePassed,
    decide,
)
from comfreywharf.load.fairqueue import Ticket
from comfreywharf.load.limits import ConcurrencyLimit

__all__ = ["Clock", "ModelServer", "Outcome", "schedule_arrivals", "percentile"]

TICK_S = 0.05


class Clock:
    """Simulated time with a queue of scheduled calls."""

    def __init__(self):
        self.now_s = 0.0
        self._due = []
        self._order = itertools.count()

    def call_at(self, time_s, call):
        """Schedule ``call()`` for a simulated time."""
        heapq.heappush(self._due, (time_s, next(self._order), call))

    def run(self, until_s):
        """Make the calls that are due up to a time, and advance to that time."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._due)
            call()
        self.now_s = until_s


@attrs.frozen
class Outcome:
    """The outcome of one request.

    ``good`` means answered within the deadline; ``retry_after_s`` is set for refused
    requests.
    """

    good: bool
    refused: bool
    latency_s: float
    retry_after_s: float = 0.0


class ModelServer:
    """A server whose slots have random service times, with the product's admission.

    A started request keeps its slot until it is done, even if its deadline passes, as
    in the stand-in backend server. Service times are multiplied by ``slow_factor``.
    While the server is cold, that is, until it has given ``cold_answers`` good
    answers, each other request in flight adds the fraction ``contention`` to them.
    """

    def __init__(self, clock, rng, *, slots=12, mean_s=0.01, queue_length=256):
        self.state = AdmissionState(
            ConcurrencyLimit(slots), queue_length, random.Random(rng.random())
        )
        self.slow_factor = 1.0
        self.contention = 0.0
        self.cold_answers = 0
        self._clock = clock
        self._rng = rng
        self._mean_s = mean_s
        self._callbacks = {}
        self._ticking = False

    @property
    def capacity_per_s(self):
        """Return the number of requests per second that the slots can serve."""
        return self.state.limit.slots / self._mean_s

    def send(self, flow, timeout_s, on_outcome):
        """Send a request; call ``on_outcome(Outcome)`` when its outcome is known."""
        now_s = self._clock.now_s
        ticket = Ticket(flow=flow, deadline_s=now_s + timeout_s, arrived_s=now_s)
        self._callbacks[ticket] = on_outcome
        self._execute(decide(self.state, Arrived(ticket), now_s))
        if self.state.waiting and not self._ticking:
            self._ticking = True
            self._clock.call_at(now_s + TICK_S, self._tick)

    def _tick(self):
        self._execute(decide(self.state, TimePassed(), self._clock.now_s))
        self._ticking = bool(self.state.waiting)
        if self._ticking:
            self._clock.call_at(self._clock.now_s + TICK_S, self._tick)

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, Begin):
                self._begin(action.ticket)
                continue
            waited_s = self._clock.now_s - action.ticket.arrived_s
            outcome = Outcome(False, True, waited_s, action.retry_after_s)
            self._callbacks.pop(action.ticket)(outcome)

    def _begin(self, ticket):
        work_s = self._rng.expovariate(1 / self._mean_s) * self.slow_factor
        if self.cold_answers > 0:
            work_s *= 1 + self.contention * (len(self.state.in_flight) - 1)
        end_s = self._clock.now_s + work_s
        good = end_s <= ticket.deadline_s
        self._clock.call_at(end_s, lambda: self._finish(ticket, good))

    def _finish(self, ticket, good):
        self.cold_answers -= good
        latency_s = self._clock.now_s - ticket.arrived_s
        self._callbacks.pop(ticket)(Outcome(good, False, latency_s))
        result = Result.ANSWERED if good else Result.FAILED
        self._execute(decide(self.state, Finished(ticket, result), self._clock.now_s))


def schedule_arrivals(clock, rng, rate_per_s, start_s, end_s, send):
    """Call ``send()`` at exponentially distributed intervals with a mean rate."""

    def arrive():
        if clock.now_s >= start_s:
            send()
        again_s = max(clock.now_s, start_s) + rng.expovariate(rate_per_s)
        if again_s < end_s:
            clock.call_at(again_s, arrive)

    clock.call_at(start_s + rng.expovariate(rate_per_s), arrive)


def percentile(values, fraction):
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
