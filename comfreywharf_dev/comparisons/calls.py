"""Simulate the calls between services: which server takes them.

The nodes' choices and the servers' admission are the product's; arrivals, service
times and the network are modelled.
"""

import itertools
import random

import attrs

from comfreywharf.load import ConcurrencyLimit, MemberLoad, NearFirst, Ticket
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
from comfreywharf.load.choice import ChoiceTerms
from comfreywharf.load.fairqueue import RankedQueue
from comfreywharf.load.passedloads import freshest_loads
from comfreywharf.load.serverload import ReportedLoad, ServerLoadState
from comfreywharf_dev.bench.load_model import Clock

__all__ = ["CALL_RANK", "UPLOAD_RANK", "CallOutcomes", "CallWay", "simulate_calls"]

TICK_S = 0.05
QUEUE_LENGTH = 256
CALL_RANK = 0
UPLOAD_RANK = 1
NEAR_HOP_S = 0.001
FAR_HOP_S = 0.0015


@attrs.frozen(kw_only=True)
class CallWay:
    """A way to place calls, and in a sentence which load it answers.

    A request may be passed on ``passes`` times by servers at which it would wait for a
    larger fraction of its time left than ``wait_fraction``. If it ``reports_load``,
    servers report their load, and replies tell it. Each reply also passes on
    ``passed_loads`` loads of other servers, which the node beside the server knows from
    replies to its own requests.
    """

    name: str
    answers: str
    passes: int = 0
    wait_fraction: float = 0.25
    make_chooser: object = NearFirst
    reports_load: bool = False
    passed_loads: int = 0


@attrs.define
class CallOutcomes:
    """Counts of runs and uploads; of runs, only those that make calls.

    ``answers_s`` are the times until the answers to calls and uploads that were served,
    by rank. ``refused_after`` are the fractions of their time after which the others
    were refused for good.
    """

    runs: int = 0
    runs_served: int = 0
    runs_failed: int = 0
    uploads: int = 0
    uploads_served: int = 0
    sends: int = 0
    far_sends: int = 0
    work_s: dict = attrs.Factory(dict)
    answers_s: dict = attrs.Factory(dict)
    refused_after: list = attrs.Factory(list)

    @property
    def thrown_away(self):
        """Return the fraction of the runs that began and failed."""
        began = self.runs_served + self.runs_failed
        return self.runs_failed / began if began else 0.0

    @property
    def all_answers_s(self):
        """Return the times until the answers of all ranks."""
        return list(itertools.chain(*self.answers_s.values()))

    def answer_s(self, fraction):
        """Return the time within which a fraction of the answers came."""
        answers_s = sorted(self.all_answers_s)
        return answers_s[int(fraction * (len(answers_s) - 1))]

    def longest_s(self, rank):
        """Return the longest time until an answer of a rank; 0 without one."""
        return max(self.answers_s.get(rank, ()), default=0.0)

    @property
    def latest_refusal(self):
        """Return the fraction of its time after which 99 in 100 were refused."""
        refused = sorted(self.refused_after)
        return refused[int(0.99 * (len(refused) - 1))] if refused else 0.0

    @property
    def imbalance(self):
        """Return the busiest server's time at work over the mean."""
        return max(self.work_s.values()) * len(self.work_s) / sum(self.work_s.values())


class _Server:
    """A server of the called service, with the admission of the node beside it."""

    def __init__(self, model, name, domain, speed):
        self.name = name
        self.domain = domain
        self._model = model
        self._speed = speed
        self._spells = random.Random(f"spells {name}")
        self._slow = {}
        self._callbacks = {}
        self._ticking = False
        self._load = ServerLoadState()
        self.state = AdmissionState(
            ConcurrencyLimit(model.load.slots, ramp_up=False, cut_on_refusal=False),
            QUEUE_LENGTH,
            random.Random(f"admission {name}"),
            queue=RankedQueue(),
        )

    def send(self, request, max_wait_s, on_end):
        """Ask for a slot; call ``on_end(served, refused, load)`` once it is known.

        ``load`` is the `LoadSnapshot` in the reply, ``None`` if replies have none.
        """
        now_s = self._model.clock.now_s
        ticket = Ticket(
            flow=None,
            deadline_s=request.deadline_s,
            arrived_s=now_s,
            rank=request.rank,
            kind=request.rank,
            max_wait_s=max_wait_s,
        )
        self._callbacks[ticket] = (request, on_end)
        self._apply(decide(self.state, Arrived(ticket), now_s))
        if self.state.waiting and not self._ticking:
            self._ticking = True
            self._model.clock.call_at(now_s + TICK_S, self._tick)

    def _tick(self):
        now_s = self._model.clock.now_s
        self._apply(decide(self.state, TimePassed(), now_s))
        self._ticking = bool(self.state.waiting)
        if self._ticking:
            self._model.clock.call_at(now_s + TICK_S, self._tick)

    def _apply(self, actions):
        for action in actions:
            if isinstance(action, Begin):
                self._begin(action.ticket)
            elif isinstance(action, Shed):
                self._callbacks.pop(action.ticket)[1](False, True, self._snapshot())

    def _begin(self, ticket):
        request, _ = self._callbacks[ticket]
        now_s = self._model.clock.now_s
        work_s = request.work_s / self._speed * self._slowness(now_s)
        work = self._model.outcomes.work_s
        work[self.name] = work.get(self.name, 0.0) + work_s
        end_s = min(now_s + work_s, ticket.deadline_s)
        served = now_s + work_s <= ticket.deadline_s
        self._model.clock.call_at(end_s, lambda: self._finish(ticket, served))

    def _slowness(self, now_s):
        load = self._model.load
        spell = int(now_s / load.slow_spell_s)
        if spell not in self._slow:
            is_slow = self._spells.random() < load.slow_fraction
            self._slow[spell] = load.slow_factor if is_slow else 1.0
        return self._slow[spell]

    def _finish(self, ticket, served):
        on_end = self._callbacks.pop(ticket)[1]
        result = Result.ANSWERED if served else Result.FAILED
        now_s = self._model.clock.now_s
        if self._model.way.reports_load:
            self._record_load(ticket, served, now_s)
        self._apply(decide(self.state, Finished(ticket, result), now_s))
        on_end(served, False, self._snapshot())

    def _record_load(self, ticket, served, now_s):
        running = len(self.state.in_flight)
        report = ReportedLoad(
            running=running,
            waiting=0,
            slots=self._model.load.slots,
            work_percent=int(100 * self._slowness(now_s)),
        )
        self._load.record_report(report, running, running - 1, now_s)
        if served:
            self._load.record_work(now_s - ticket.started_s, now_s)

    def _snapshot(self):
        if not self._model.way.reports_load:
            return None
        state, slots = self.state, self._model.load.slots
        now_s = self._model.clock.now_s
        return self._load.snapshot(len(state.in_flight), state.waiting, slots, now_s)


@attrs.frozen
class _Request:
    """One call or upload."""

    work_s: float
    deadline_s: float
    rank: int
    began_s: float = 0.0
    target_s: float | None = None


class _Node:
    """A node that sends calls of its own server, and uploads of its callers."""

    def __init__(self, model, name, domain):
        self._model = model
        self._domain = domain
        self._rng = random.Random(f"node {name}")
        self._chooser = model.way.make_chooser()
        self._members = {
            server.name: MemberLoad(
                server.name, near=server.domain == domain, slots=model.load.slots
            )
            for server in model.servers.values()
        }

    def send(self, request, on_end):
        """Send a request until a server takes it; call ``on_end(served, refused)``."""
        self._try(request, on_end, frozenset())

    def freshest_loads(self, except_name, now_s):
        """Return the members whose loads a reply of this node passes on."""
        others = [m for m in self._members.values() if m.node_id != except_name]
        return freshest_loads(others, now_s, self._model.way.passed_loads)

    def _learn(self, passed, now_s):
        for each in passed:
            member = self._members[each.node_id]
            member.record_passed_load(each.load, now_s - each.load_received_s, now_s)

    def _try(self, request, on_end, tried):
        usable = [m for m in self._members.values() if m.node_id not in tried]
        sent_s = self._model.clock.now_s
        left_s = request.deadline_s - sent_s
        target_s = request.target_s and request.began_s + request.target_s - sent_s
        terms = ChoiceTerms(now_s=sent_s, target_s=target_s, remaining_s=left_s)
        member = self._chooser.choose(usable, self._rng, terms)
        server = self._model.servers[member.node_id]
        bounded = len(tried) < self._model.way.passes
        max_wait_s = self._model.way.wait_fraction * left_s if bounded else None
        outcomes = self._model.outcomes
        outcomes.sends += 1
        outcomes.far_sends += not member.near
        member.begin()
        hop_s = NEAR_HOP_S if member.near else FAR_HOP_S

        def ended(served, refused, load):
            now_s = self._model.clock.now_s
            if refused:
                member.finish_refused()
            else:
                member.finish(now_s - sent_s, not served)
            if served:
                answers_s = outcomes.answers_s.setdefault(request.rank, [])
                answers_s.append(now_s - request.began_s)
            if load is not None:
                member.record_load(load, now_s)
                beside = self._model.node_beside(server)
                self._learn(beside.freshest_loads(server.name, now_s), now_s)
            if refused and bounded:
                self._try(request, on_end, tried | {member.node_id})
            else:
                if refused:
                    time_s = request.deadline_s - request.began_s
                    waited_s = now_s - request.began_s
                    outcomes.refused_after.append(waited_s / time_s)
                on_end(served, refused)

        self._model.clock.call_at(
            sent_s + hop_s, lambda: server.send(request, max_wait_s, ended)
        )


class _Model:
    """All nodes and servers of a load, and the arrivals."""

    def __init__(self, load, way, seed, factor):
        self.load = load
        self.way = way
        self.clock = Clock()
        self.outcomes = CallOutcomes()
        self.rng = random.Random(seed)
        self.factor = factor
        self.servers = {}
        for number in range(load.servers):
            speed = load.speeds[number % len(load.speeds)]
            name = f"s{number}"
            self.servers[name] = _Server(self, name, number % load.domains, speed)
        self.nodes = [
            _Node(self, f"n{number}", number % load.domains)
            for number in range(load.senders)
        ]

    def node_beside(self, server):
        """Return the node beside a server; all servers have one that sends calls."""
        return self.nodes[list(self.servers).index(server.name)]

    def run(self, seconds):
        """Run for some seconds, and return the `CallOutcomes`."""
        load = self.load
        self._schedule(load.runs_per_s * load.calling, load.clump, seconds, self._run)
        if load.uploads_per_s:
            self._schedule(load.uploads_per_s, 1.0, seconds, self._upload)
        self.clock.run(seconds + load.upload_deadline_s)
        return self.outcomes

    def _schedule(self, rate_per_s, clump, seconds, arrive):
        clumps_per_s = rate_per_s * self.factor / clump

        def come():
            for _ in range(self._clump_size(clump)):
                arrive()
            again_s = self.clock.now_s + self.rng.expovariate(clumps_per_s)
            if again_s < seconds:
                self.clock.call_at(again_s, come)

        self.clock.call_at(self.rng.expovariate(clumps_per_s), come)

    def _clump_size(self, mean):
        size = 1
        while self.rng.random() > 1 / mean:
            size += 1
        return size

    def _work_s(self, mean_s):
        work_s = mean_s * self.rng.lognormvariate(-0.125, 0.5)
        if self.load.long_fraction and self.rng.random() < self.load.long_fraction:
            work_s *= self.load.long_factor
        return work_s

    def _run(self):
        node = self.rng.choice(self.nodes)
        now_s = self.clock.now_s
        self.outcomes.runs += 1
        calls = self.load.calls_each
        ended = []

        def call_ended(served, refused):
            ended.append(served)
            if len(ended) < calls:
                return
            if all(ended):
                self.outcomes.runs_served += 1
            else:
                self.outcomes.runs_failed += 1

        for _ in range(calls):
            work_s = self._work_s(self.load.call_s)
            deadline_s = now_s + self.load.call_deadline_s
            target_s = self.load.call_target_s
            request = _Request(work_s, deadline_s, CALL_RANK, now_s, target_s)
            node.send(request, call_ended)

    def _upload(self):
        node = self.rng.choice(self.nodes)
        self.outcomes.uploads += 1

        def ended(served, refused):
            self.outcomes.uploads_served += served

        now_s = self.clock.now_s
        deadline_s = now_s + self.load.upload_deadline_s
        work_s = self._work_s(self.load.upload_s)
        target_s = self.load.upload_target_s
        request = _Request(work_s, deadline_s, UPLOAD_RANK, now_s, target_s)
        node.send(request, ended)


def simulate_calls(load, way, *, factor=1.0, seconds=8.0, seed=1):
    """Return the `CallOutcomes` of a `CallLoad` under a `CallWay`.

    ``factor`` multiplies the load's rates.
    """
    return _Model(load, way, seed, factor).run(seconds)
