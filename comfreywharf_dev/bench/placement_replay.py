"""Replay a load trace through the product's planner and its fold of records."""

from collections import defaultdict

import attrs
import numpy as np

from comfreywharf.placement import (
    HotKeyRate,
    NodeReport,
    SliceMeter,
    planning,
    rates_per_report,
    report_interval_s,
)
from comfreywharf.placement.planning import (
    LoadReported,
    PlanningState,
    RoundDue,
    TakeoverFolded,
    to_record,
)
from comfreywharf.records import (
    ClusterState,
    ConfigPatched,
    DrainChanged,
    LeaseStarted,
    MoveCompleted,
    NodeAnnounced,
    PlannerTermStarted,
    SlicesMoved,
    SlicesTaken,
    SliceTake,
    fold,
)

__all__ = ["Replay", "ReplayResult", "Tally"]

PLANNER_ID = "planner"
TAKEOVER_S = 1.5
"""Time in seconds in which a lost owner's keys are unavailable, until the takeover."""

HAND_OVER_S = 0.05
"""Time in seconds in which a key is unavailable while it moves between live nodes."""

CAPACITY = 1.5
"""The load that a warm server can serve, in fair shares of the trace's peak."""

COLD_S = 30.0
COLD_CAPACITY = 0.2
"""The capacity of a cold server, as a fraction of that of a warm one."""

WARM_UP_S = 60.0
"""The first seconds of a replay, before loads are known, aren't measured."""

HOT_KEYS = 25


@attrs.frozen(kw_only=True)
class ReplayResult:
    """The results of a replay.

    Imbalance is the highest load of a server divided by the mean over all servers
    that run and aren't draining. ``churn`` is the sum of the load shares in planned
    moves, ``moves`` the number of planned moves; ``takeovers`` are counted
    separately. ``unavailable_s`` weights each second by the share of the load that is
    unavailable.
    """

    imbalance_mean: float
    imbalance_p95: float
    imbalance_max: float
    churn: float
    moves: int
    takeovers: int
    unavailable_s: float
    max_slices: int


class Tally:
    """Accumulate the results of a replay's steps."""

    def __init__(self, trace):
        self._trace = trace
        self._capacity = CAPACITY * trace.peak_per_s / trace.deployment.servers
        self._imbalances = []
        self.churn = 0.0
        self.moves = 0
        self.takeovers = 0
        self.unavailable_s = 0.0
        self.max_slices = 0

    def add_step(self, now_s, step_s, loads, cold):
        """Add a step; ``loads`` are by serving node, ``cold`` are the cold nodes."""
        total = sum(loads.values())
        if now_s < WARM_UP_S or total <= 0:
            return
        self._imbalances.append(max(loads.values()) / (total / len(loads)))
        for node_id, load in loads.items():
            limit = self._capacity * (COLD_CAPACITY if node_id in cold else 1.0)
            self.unavailable_s += step_s * max(0.0, load - limit) / total

    def add_move(self, now_s, share):
        """Add a planned move of a share of the load."""
        if now_s >= WARM_UP_S:
            self.churn += share
            self.moves += 1
            self.unavailable_s += HAND_OVER_S * share

    def add_unavailable(self, seconds, share):
        """Add a share of the load that was unavailable for some seconds."""
        self.unavailable_s += seconds * share

    def result(self):
        """Return the `ReplayResult`."""
        return ReplayResult(
            imbalance_mean=float(np.mean(self._imbalances)),
            imbalance_p95=float(np.percentile(self._imbalances, 95)),
            imbalance_max=float(max(self._imbalances)),
            churn=self.churn,
            moves=self.moves,
            takeovers=self.takeovers,
            unavailable_s=self.unavailable_s,
            max_slices=self.max_slices,
        )


class Replay:
    """A replay of one trace with one planner in simulated time.

    ``step_s`` is the time between two planning rounds, in seconds. ``planning_fields``
    are passed to `PlanningState.begin`.
    """

    def __init__(self, trace, seed=1, step_s=2.0, **planning_fields):
        self.trace = trace
        self.cluster = ClusterState()
        self._step_s = step_s
        self._rng = np.random.default_rng(seed)
        self._planning = PlanningState.begin(0.0, **planning_fields)
        self._tally = Tally(trace)
        self._meters = {}
        self._started_s = {}
        self._incarnations = {}
        self._next_report_s = {}
        self._events = list(trace.events)
        self._now_s = 0.0
        self._rates = None
        self._key_rates = None
        self._set_up()

    def run(self):
        """Replay the whole trace and return the `ReplayResult`."""
        while self._now_s < self.trace.duration_s:
            self.step()
        return self._tally.result()

    def step(self):
        """Replay one step."""
        self._now_s += self._step_s
        self._apply_events()
        self._key_rates = self.trace.rates(self._now_s)
        self._rates = self._slice_rates()
        self._take_over()
        self._complete_moves()
        self._send_reports()
        self._plan()
        self._measure()

    # State of the cluster.

    def _append(self, record):
        return fold(self.cluster, self.cluster.next_offset, record)

    def _record_id(self):
        return str(self.cluster.next_offset)

    def _set_up(self):
        service = self.trace.deployment.service
        self._append(
            ConfigPatched(
                record_id=self._record_id(),
                base_version=0,
                services={service.name: service},
                author="replay",
            )
        )
        self._append(
            PlannerTermStarted(
                record_id=self._record_id(), node_id=PLANNER_ID, base_term=0
            )
        )
        for node_id in self.trace.deployment.node_ids:
            self._start(node_id, started_s=float("-inf"))

    def _start(self, node_id, started_s):
        deployment = self.trace.deployment
        incarnation = self._incarnations.get(node_id, 0) + 1
        self._incarnations[node_id] = incarnation
        self._append(
            NodeAnnounced(
                record_id=self._record_id(),
                node_id=node_id,
                incarnation=incarnation,
                host="127.0.0.1",
                caller_port=0,
                peer_port=0,
                operator_port=0,
                failure_domain=deployment.domain_of(node_id),
                region=deployment.region_of(node_id),
                service=deployment.service.name,
                slots=deployment.slots,
            )
        )
        self._append(
            LeaseStarted(
                record_id=self._record_id(),
                node_id=node_id,
                incarnation=incarnation,
                base_lease_epoch=self.cluster.members[node_id].lease_epoch,
                witnesses=(),
            )
        )
        self._meters[node_id] = SliceMeter()
        self._next_report_s[node_id] = self._now_s
        self._started_s[node_id] = started_s

    def _apply_events(self):
        while self._events and self._events[0].at_s <= self._now_s:
            event = self._events.pop(0)
            if event.kind == "start":
                self._start(event.node_id, self._now_s)
            elif event.kind == "stop":
                del self._meters[event.node_id]
            else:
                self._append(
                    DrainChanged(
                        record_id=self._record_id(),
                        node_id=event.node_id,
                        draining=True,
                        author="replay",
                    )
                )

    @property
    def _slices(self):
        return self.cluster.slices[self.trace.deployment.service.name].slices

    def _take_over(self):
        taken = defaultdict(list)
        for slice_ in self._slices:
            if slice_.owner and slice_.owner not in self._meters:
                if slice_.standby in self._meters:
                    self._tally.add_unavailable(TAKEOVER_S, self._load_share(slice_))
                    taken[slice_.owner, slice_.standby].append(slice_)
                else:
                    self._tally.add_unavailable(self._step_s, self._load_share(slice_))
        for (owner, taker), slices in taken.items():
            self._append_takes(owner, taker, slices)

    def _append_takes(self, owner, taker, slices):
        self._tally.takeovers += len(slices)
        event = TakeoverFolded(owner_id=owner)
        planning.decide(self._planning, event, self._now_s)
        self._append(
            SlicesTaken(
                record_id=self._record_id(),
                owner_id=owner,
                lease_epoch=self.cluster.members[owner].lease_epoch,
                taker_id=taker,
                taker_incarnation=self._incarnations[taker],
                slices=tuple(
                    SliceTake(
                        service=self.trace.deployment.service.name,
                        start=slice_.start,
                        base_epoch=slice_.epoch,
                    )
                    for slice_ in slices
                ),
            )
        )

    def _complete_moves(self):
        for slice_ in list(self._slices):
            if slice_.previous:
                self._append(
                    MoveCompleted(
                        record_id=self._record_id(),
                        service=self.trace.deployment.service.name,
                        start=slice_.start,
                        epoch=slice_.epoch,
                    )
                )

    # Load and reports.

    def _slice_rates(self):
        """Return the requests per second of each slice, by its start."""
        starts = np.array([slice_.start for slice_ in self._slices], dtype=np.int64)
        indices = np.searchsorted(starts, self.trace.positions, side="right") - 1
        sums = np.bincount(indices, weights=self._key_rates, minlength=len(starts))
        return dict(zip(starts.tolist(), sums.tolist(), strict=True))

    def _load_share(self, slice_):
        return self._rates[slice_.start] / sum(self._rates.values())

    def _send_reports(self):
        service = self.trace.deployment.service.name
        owned = defaultdict(list)
        for slice_ in self._slices:
            owned[slice_.owner].append((service, slice_))
        hot = self._hot_keys()
        interval_s = report_interval_s(len(self.cluster.members))
        for node_id, meter in self._meters.items():
            meter.set_owned(owned[node_id])
            for _, slice_ in owned[node_id]:
                expected = self._rates[slice_.start] * self._step_s
                meter.count(service, slice_.start, self._rng.poisson(expected))
            if self._now_s >= self._next_report_s[node_id]:
                self._next_report_s[node_id] = self._now_s + interval_s
                self._send(node_id, meter, hot.get(node_id, ()))

    def _send(self, node_id, meter, hot_keys):
        meter.close_window(self._now_s)
        report = NodeReport(
            node_id=node_id,
            incarnation=self._incarnations[node_id],
            slices=meter.changed_rates(rates_per_report(len(self.cluster.members))),
            hot_keys=tuple(hot_keys),
        )
        planning.decide(self._planning, LoadReported(report=report), self._now_s)

    def _hot_keys(self):
        """Return the hottest keys by owner, with the estimation error of a sketch."""
        service = self.trace.deployment.service.name
        hottest = np.argpartition(self._key_rates, -HOT_KEYS)[-HOT_KEYS:]
        found = defaultdict(list)
        for key in sorted(hottest.tolist()):
            position = int(self.trace.positions[key])
            owner = self.cluster.slice_at(service, position).owner
            rate = float(self._key_rates[key] * self._rng.normal(1.0, 0.05))
            found[owner].append(
                HotKeyRate(service=service, key_hash=position, requests_per_s=rate)
            )
        return found

    # Planning.

    def _plan(self):
        _, actions = planning.decide(
            self._planning, RoundDue(cluster=self.cluster), self._now_s
        )
        for action in actions:
            record = to_record(action, self._record_id(), self.cluster.planner_term)
            if isinstance(record, SlicesMoved):
                self._count_moves(record)
            self._append(record)

    def _count_moves(self, record):
        slice_map = self.cluster.slices[self.trace.deployment.service.name]
        for move in record.moves:
            slice_ = slice_map.at_start(move.start)
            if slice_.owner and slice_.owner != move.owner:
                self._tally.add_move(self._now_s, self._load_share(slice_))

    def _measure(self):
        rates = self._slice_rates()
        members = self.cluster.members
        loads = {n: 0.0 for n in self._meters if not members[n].draining}
        for slice_ in self._slices:
            if slice_.owner in loads:
                loads[slice_.owner] += rates[slice_.start]
        cold = {n for n in loads if self._now_s - self._started_s[n] < COLD_S}
        self._tally.add_step(self._now_s, self._step_s, loads, cold)
        self._tally.max_slices = max(self._tally.max_slices, len(self._slices))
