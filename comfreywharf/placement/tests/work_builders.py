"""Servers of different speed under skewed load, for tests of placement by work."""

import random
from bisect import bisect_left, bisect_right
from collections import Counter
from heapq import nlargest
from itertools import accumulate

import attrs

from comfreywharf.daemon.ownership.planning_term import (
    MAX_PLANNING_PASSES,
    MAX_WORK_PASSES,
)
from comfreywharf.load.estimates import ServiceTimes
from comfreywharf.placement import (
    HotKeyRate,
    NodeReport,
    PlacementTuning,
    SliceMeter,
    planning,
)
from comfreywharf.placement.loads import rates_per_report
from comfreywharf.placement.planning import LoadReported, PlanningState
from comfreywharf.placement.resize import Split
from comfreywharf.placement.tests.builders import DOMAINS, SERVICE, PlannedCluster
from comfreywharf.placement.work import KindTimes
from comfreywharf.records import key_hash, number_key

__all__ = [
    "COUNTING",
    "DESK",
    "KEYS",
    "PROOFS",
    "SMALL",
    "WEIGHING",
    "Kind",
    "LoadedCluster",
    "hot_range",
    "settled",
]

COUNTING = PlacementTuning(
    warm_up_s=3.0, smoothing_s=2.0, cheap_moves=True, scale_by_speed=True
)
WEIGHING = attrs.evolve(COUNTING, by_work=True, smoothing_s=6.0)

KEYS = 16_384
STEP_S = 0.5
REPORT_S = 1.1
LATE_S = 1.0
SLOW_SHARE = 0.2
"""Share of the time in which a server's work takes three times as long."""

LONG_SHARE = 0.03
"""Share of the requests that take seven times as long."""

MEAN_FACTOR = (1 + 2 * SLOW_SHARE) * (1 + 6 * LONG_SHARE)
"""Mean work of a request, relative to the usual one of its kind."""


@attrs.frozen
class Kind:
    """A kind of request: its priority, its work, and its share at a key."""

    priority: int
    work_s: float
    share_at: object


class LoadedCluster(PlannedCluster):
    """A cluster whose nodes measure generated requests and report them late.

    ``utilisation`` is the share of all slots that the requests need. It counts keys
    that moved, and requests beyond what their owners bear.
    """

    def __init__(self, nodes, slots, speeds, kinds, tuning, utilisation, seed=1):
        super().__init__(tuning=tuning, slices=10 * nodes)
        self.seed = seed
        self.rng = random.Random(seed)
        self.silent = set()
        self.reports_all = set()
        self.reasons = Counter()
        self.kinds = kinds
        self.tuning = tuning
        self.speeds = {}
        self.slots = slots
        self.meters = {}
        self.times = {}
        self.work_times = {}
        self.due_s = {}
        self.sent = []
        self.keys_moved = 0
        self.beyond = 0.0
        self.positions = [key_hash(number_key(4 * key)) for key in range(KEYS)]
        weights = [(rank + 1) ** -0.7 for rank in range(KEYS)]
        self.rng.shuffle(weights)
        self.popularity = [weight / sum(weights) for weight in weights]
        for index in range(nodes):
            self.join(f"node-{index}", self.rng.uniform(*speeds), index)
        self.rate_per_s = 0.0
        self.set_hot(None)
        work_s = sum(self._work(kind) for kind in kinds)
        self.rate_per_s = utilisation * slots * sum(self.speeds.values()) / work_s
        self.set_hot(None)

    def join(self, node_id, speed, index=0):
        """Start a node with an empty server."""
        self.start(node_id, DOMAINS[index % len(DOMAINS)], slots=self.slots)
        self.speeds[node_id] = speed
        self.due_s[node_id] = self.now_s + self.rng.uniform(0, REPORT_S)
        self.restart_server(node_id)
        self.meters[node_id] = SliceMeter(
            self.tuning.smoothing_s, by_work=self.tuning.by_work
        )
        self.work_times[node_id] = KindTimes()

    def restart_server(self, node_id):
        """Forget the service times that a node has measured."""
        self.times[node_id] = ({}, ServiceTimes())

    def set_hot(self, hot):
        """Make a range of keys hot, ``(first, count, share)``, or none."""
        first, count, share = hot or (0, 1, 0.0)
        popularity = [(1 - share) * each for each in self.popularity]
        for key in range(first, first + count):
            popularity[key] += share / count
        self.key_rates = [self.rate_per_s * each for each in popularity]
        self.cumulative = [
            [0.0, *accumulate(p * kind.share_at(k) for k, p in enumerate(popularity))]
            for kind in self.kinds
        ]

    def _work(self, kind):
        """Return the mean work of a request, times the share of this kind."""
        share = self.cumulative[self.kinds.index(kind)][-1]
        return MEAN_FACTOR * kind.work_s * share

    def run(self, seconds):
        """Generate load, deliver reports and plan, in steps of half a second."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self.complete_moves()
            self._serve()
            for node_id in list(self.live):
                if self.now_s >= self.due_s[node_id]:
                    self.due_s[node_id] += REPORT_S
                    self._send_report(node_id)
            while self.sent and self.sent[0][0] <= self.now_s - LATE_S:
                event = LoadReported(report=self.sent.pop(0)[1])
                planning.decide(self.planning, event, self.now_s)
            self._run_round()

    def _serve(self):
        demand = dict.fromkeys(self.live, 0.0)
        counts = dict.fromkeys(self.live, 0.0)
        for slice_ in self.slices:
            if slice_.owner not in demand:
                continue
            first = bisect_left(self.positions, slice_.start)
            last = bisect_left(self.positions, slice_.end)
            for number, kind in enumerate(self.kinds):
                sums = self.cumulative[number]
                per_s = self.rate_per_s * (sums[last] - sums[first])
                demand[slice_.owner] += per_s * MEAN_FACTOR * kind.work_s
                counts[slice_.owner] += per_s
                self._count(slice_, (kind.priority, True), per_s * STEP_S)
        for node_id, needed in demand.items():
            capacity = self.slots * self.speeds[node_id]
            if needed > capacity:
                share = 1 - capacity / needed
                self.beyond += counts[node_id] * STEP_S * share
            self._measure(node_id)

    def _count(self, slice_, kind, expected):
        requests = round(max(0.0, self.rng.gauss(expected, expected**0.5)))
        if expected < 10:
            requests = self._poisson(expected)
        meter = self.meters[slice_.owner]
        meter.count(SERVICE, slice_.start, requests)
        work_s = self.work_times[slice_.owner].work_s(kind)
        for _ in range(min(requests, 5)):
            meter.count_work(SERVICE, slice_.start, work_s)

    def _poisson(self, expected):
        count, left_s = -1, expected
        while left_s >= 0:
            left_s -= self.rng.expovariate(1.0)
            count += 1
        return count

    def _measure(self, node_id):
        by_kind, all_times = self.times[node_id]
        spell = 3.0 if self.rng.random() < SLOW_SHARE else 1.0
        for kind in self.kinds:
            times = by_kind.setdefault((kind.priority, True), ServiceTimes())
            for _ in range(4):
                long = 7.0 if self.rng.random() < LONG_SHARE else 1.0
                elapsed_s = kind.work_s * spell * long / self.speeds[node_id]
                times.add(elapsed_s, self.now_s)
                all_times.add(elapsed_s, self.now_s)

    def replace_planner(self):
        """Let a new planner take over, which has no reports yet."""
        self.planning = PlanningState.begin(self.now_s, tuning=self.tuning)
        self.sent.clear()
        self.reports_all = set(self.live)

    def owners(self, first, count):
        """Return the owners of a range of keys."""
        starts = [slice_.start for slice_ in self.slices]
        positions = self.positions[first : first + count]
        return [self.slices[bisect_right(starts, p) - 1].owner for p in positions]

    def _send_report(self, node_id):
        by_kind, all_times = self.times[node_id]
        meter = self.meters[node_id]
        by_work = self.tuning.by_work
        if by_work:
            self.work_times[node_id].sample(by_kind)
        self._set_owned(node_id)
        meter.close_window(self.now_s)
        everything = node_id in self.reports_all
        self.reports_all.discard(node_id)
        rates = rates_per_report(70)
        report = NodeReport(
            node_id=node_id,
            incarnation=self.live[node_id],
            slices=meter.all_rates() if everything else meter.changed_rates(rates),
            hot_keys=self._hot_keys(node_id),
            service_ms=all_times.mean_s * 1000,
            kind_times=self.work_times[node_id].times_to_report(everything)
            if by_work
            else None,
        )
        if node_id not in self.silent:
            self.sent.append((self.now_s, report))

    def _set_owned(self, node_id):
        owned = self.state.owned_by(node_id)
        now_s = self.now_s if self.tuning.by_work else None
        self.meters[node_id].set_owned(owned, now_s)

    def _hot_keys(self, node_id):
        """Return the node's 25 hottest keys with a request a second or more."""
        owned = []
        for slice_ in self.slices:
            if slice_.owner == node_id:
                first = bisect_left(self.positions, slice_.start)
                last = bisect_left(self.positions, slice_.end)
                owned += (
                    (self.key_rates[key] * self.rng.uniform(0.8, 1.2), key)
                    for key in range(first, last)
                )
        return tuple(
            HotKeyRate(
                service=SERVICE, key_hash=self.positions[key], requests_per_s=per_s
            )
            for per_s, key in nlargest(25, owned)
            if per_s >= 1.0
        )

    def _run_round(self):
        by_work = self.tuning.by_work
        for _ in range(MAX_WORK_PASSES if by_work else MAX_PLANNING_PASSES):
            before = {slice_.start: slice_ for slice_ in self.slices}
            actions = self.plan()
            self.reasons.update(reason for _, reason in self.planning.move_reasons)
            self.apply(actions)
            if by_work and actions:
                for node_id in self.live:
                    self._set_owned(node_id)
            self.keys_moved += sum(
                self._keys(slice_)
                for slice_ in self.slices
                if slice_.start in before
                and before[slice_.start].owner not in ("", slice_.owner)
            )
            if not any(isinstance(action, Split) for action in actions):
                break

    def _keys(self, slice_):
        first = bisect_left(self.positions, slice_.start)
        return bisect_left(self.positions, slice_.end) - first


def hot_range(cluster, count):
    """Return a range of keys with 0.4 of the requests, ``(first, count, share)``."""
    return random.Random(f"{cluster.seed} {count}").randrange(KEYS - count), count, 0.4


def half(key):
    """Return the share of one of two kinds that are as frequent at every key."""
    return 0.5


def calls(key):
    """Return the share of short calls, which differs between parts of the keys."""
    return 0.8 if (key // 512) % 2 else 0.3


def fetches(key):
    """Return the share of the other requests."""
    return 1 - calls(key)


DESK = {
    "nodes": 42,
    "slots": 3,
    "speeds": (0.6, 1.6),
    "kinds": [Kind(2, 0.14, half), Kind(1, 0.18, half)],
}
PROOFS = {
    "nodes": 25,
    "slots": 7,
    "speeds": (0.6, 1.4),
    "kinds": [Kind(2, 0.323, fetches), Kind(1, 0.032, calls)],
}
SMALL = {**DESK, "nodes": 9}


def settled(deployment, tuning=WEIGHING, utilisation=0.6, seed=1):
    """Return a cluster that has run for a while, with its counts at zero."""
    cluster = LoadedCluster(
        **deployment, tuning=tuning, utilisation=utilisation, seed=seed
    )
    cluster.run(15.0)
    cluster.beyond = cluster.keys_moved = 0
    cluster.reasons.clear()
    return cluster
