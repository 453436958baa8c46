"""A small simulated cluster with a planner, without processes or clocks."""

from comfreywharf.placement import NodeReport, PlacementTuning, SliceRate, planning
from comfreywharf.placement.planning import (
    LoadReported,
    PlanningState,
    RoundDue,
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
    ServiceConfig,
    SlicesTaken,
    SliceTake,
    fold,
)

__all__ = ["DOMAINS", "SERVICE", "PlannedCluster"]

SERVICE = "booking"
DOMAINS = ("agenskalns", "teika", "purvciems")
TERM = 1


class PlannedCluster:
    """A folded state, a planner, and nodes whose reports the test triggers."""

    def __init__(self, nodes=0, tuning=None, **service_fields):
        self.now_s = 0.0
        self.service_ms = 0.0
        self.cold_requests_per_s = {}
        self.limits_per_s = {}
        self.evacuated = frozenset()
        self.state = ClusterState()
        self.planning = PlanningState.begin(
            self.now_s, tuning=tuning or PlacementTuning()
        )
        self.live = {}
        service = ServiceConfig(name=SERVICE, **service_fields)
        self.append(
            ConfigPatched, base_version=0, services={SERVICE: service}, author="test"
        )
        self.append(PlannerTermStarted, node_id="planner", base_term=0)
        for index in range(nodes):
            self.start(f"node-{index}", DOMAINS[index % len(DOMAINS)])

    @property
    def slices(self):
        return self.state.slices[SERVICE].slices

    def append(self, kind, **fields):
        """Fold a record and return whether the fold accepted it."""
        record = kind(record_id=str(self.state.next_offset), **fields)
        return fold(self.state, self.state.next_offset, record).accepted

    def start(self, node_id, domain, slots=12):
        """Announce a node, or its next incarnation, and start its lease."""
        member = self.state.members.get(node_id)
        incarnation = member.incarnation + 1 if member else 1
        self.live[node_id] = incarnation
        self.append(
            NodeAnnounced,
            node_id=node_id,
            incarnation=incarnation,
            host="127.0.0.1",
            caller_port=0,
            peer_port=0,
            operator_port=0,
            failure_domain=domain,
            region="riga",
            service=SERVICE,
            slots=slots,
        )
        self.append(
            LeaseStarted,
            node_id=node_id,
            incarnation=incarnation,
            base_lease_epoch=self.state.members[node_id].lease_epoch,
            witnesses=(),
        )

    def drain(self, node_id, draining=True):
        self.append(DrainChanged, node_id=node_id, draining=draining, author="test")

    def lose(self, node_id):
        """Lose a node; its standbys take over, and the planner is notified."""
        del self.live[node_id]
        takers = {slice_.standby for slice_ in self.slices if slice_.owner == node_id}
        for taker in sorted(takers & set(self.live)):
            self._take(node_id, taker)

    def _take(self, owner_id, taker_id):
        taken = [
            SliceTake(service=SERVICE, start=slice_.start, base_epoch=slice_.epoch)
            for slice_ in self.slices
            if (slice_.owner, slice_.standby) == (owner_id, taker_id)
        ]
        accepted = self.append(
            SlicesTaken,
            owner_id=owner_id,
            lease_epoch=self.state.members[owner_id].lease_epoch,
            taker_id=taker_id,
            taker_incarnation=self.live[taker_id],
            slices=tuple(taken),
        )
        if accepted:
            event = planning.TakeoverFolded(owner_id=owner_id)
            planning.decide(self.planning, event, self.now_s)

    def report(self, rates=None):
        """Deliver a report of each live node; ``rates`` are by slice start."""
        for node_id, incarnation in self.live.items():
            owned = [slice_.start for slice_ in self.slices if slice_.owner == node_id]
            report = NodeReport(
                node_id=node_id,
                incarnation=incarnation,
                slices=tuple(
                    SliceRate(service=SERVICE, start=start, requests_per_s=rates[start])
                    for start in owned
                    if rates and start in rates
                ),
                service_ms=self.service_ms,
                cold_requests_per_s=self.cold_requests_per_s.get(node_id),
                limit_per_s=self.limits_per_s.get(node_id),
            )
            planning.decide(self.planning, LoadReported(report=report), self.now_s)

    def plan(self):
        """Run a planning round and return its actions."""
        event = RoundDue(cluster=self.state, evacuated=self.evacuated)
        return planning.decide(self.planning, event, self.now_s)[1]

    def apply(self, actions):
        """Fold the records of actions and return whether each was accepted."""
        accepted = []
        for action in actions:
            record = to_record(action, str(self.state.next_offset), TERM)
            accepted.append(fold(self.state, self.state.next_offset, record).accepted)
        return accepted

    def complete_moves(self):
        for slice_ in list(self.slices):
            if slice_.previous:
                self.append(
                    MoveCompleted,
                    service=SERVICE,
                    start=slice_.start,
                    epoch=slice_.epoch,
                )

    def run_rounds(self, rounds=5, rates=None, step_s=1.0):
        """Report, plan and complete all moves for a number of rounds."""
        for _ in range(rounds):
            self.now_s += step_s
            self.report(rates)
            self.apply(self.plan())
            self.complete_moves()
