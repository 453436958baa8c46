"""The planner's decisions: turn load reports and the folded state into actions."""

from collections import Counter

import attrs

from comfreywharf.placement.hotranges import plan_work_resizes
from comfreywharf.placement.loads import LoadTable, NodeReport, report_timeout_s
from comfreywharf.placement.mandatory import plan_mandatory_moves
from comfreywharf.placement.rebalance import (
    RebalancePolicy,
    cheap_move_policy,
    policy_for,
)
from comfreywharf.placement.resize import Merge, Split, plan_resizes
from comfreywharf.placement.standbys import choose_standbys
from comfreywharf.placement.tuning import PlacementTuning
from comfreywharf.placement.view import WorkView, build_view
from comfreywharf.placement.workbalance import work_policy
from comfreywharf.records import (
    ClusterState,
    ServiceConfig,
    SliceMove,
    SlicesMerged,
    SlicesMoved,
    SliceSplit,
)

__all__ = [
    "LoadReported",
    "Move",
    "PlanningState",
    "RoundDue",
    "Switches",
    "TakeoverFolded",
    "decide",
    "round_interval_s",
    "to_record",
]

MAX_MOVES_PER_RECORD = 400
"""Keeps a record of moves well below the log's limit of 256 KiB."""

MIN_ROUND_S = 0.5
REMOVE_AFTER_S = 6.0
"""Time after which a lost member may be removed; longer than a restart takes and
than most network partitions last."""

SLICES_PER_S = 2000
"""Limit on the slices that a planner examines per second, which sets the interval
between rounds."""


@attrs.frozen(kw_only=True)
class LoadReported:
    """A node's load report was received."""

    report: NodeReport


@attrs.frozen(kw_only=True)
class TakeoverFolded:
    """A standby's takeover from this owner was folded."""

    owner_id: str


@attrs.frozen(kw_only=True)
class RoundDue:
    """A planning round is due on the given folded state.

    Slices are moved away from the members in ``evacuated`` failure domains.
    """

    cluster: ClusterState
    evacuated: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Move:
    """Append these moves as one record."""

    moves: tuple[SliceMove, ...]


@attrs.frozen(kw_only=True)
class Switches:
    """Parts of the planner that a replay can disable to measure their effect.

    Without ``detect_takeovers``, a node whose standbys took over counts as lost only
    after its reports are missing.
    """

    resize: bool = True
    spread_standbys: bool = True
    warm_up: bool = True
    detect_takeovers: bool = True


@attrs.define(kw_only=True)
class PlanningState:
    """State of a planner during its term; none of it needs to be stored.

    ``make_policy`` returns the `RebalancePolicy` for a `ServiceConfig`. Of the latest
    round, ``move_reasons`` counts the moves for balance by service and reason, and
    ``capacities`` are the servers' capacities in slots by service and node; both are
    empty unless slices weigh work.
    """

    table: LoadTable
    tuning: PlacementTuning = attrs.Factory(PlacementTuning)
    make_policy: object = policy_for
    switches: Switches = attrs.Factory(Switches)
    policies: dict[str, tuple[ServiceConfig, RebalancePolicy]] = attrs.Factory(dict)
    move_reasons: Counter = attrs.Factory(Counter)
    capacities: dict[tuple[str, str], float] = attrs.Factory(dict)

    @classmethod
    def begin(cls, now_s, **fields):
        """Return the state of a planner whose term starts at ``now_s``."""
        tuning = fields.get("tuning")
        if tuning is not None and tuning.cheap_moves:
            fields.setdefault("make_policy", cheap_move_policy)
        return cls(table=LoadTable(started_s=now_s), **fields)

    def policy(self, service):
        """Return the policy of a service; create one if its declaration changed."""
        known = self.policies.get(service.name)
        if known is None or known[0] != service:
            policy = self.make_policy(service)
            if self.tuning.by_work:
                policy = work_policy(fallback=policy)
            known = (service, policy)
            self.policies[service.name] = known
        return known[1]


def round_interval_s(slice_count):
    """Return the time between two rounds, in seconds: 5 s at 10,000 slices."""
    return max(MIN_ROUND_S, slice_count / SLICES_PER_S)


def decide(state, event, now_s):
    """Return ``(state, actions)`` for an event at ``now_s``, in seconds.

    The state is changed in place. Actions are `Move`, `Split` and `Merge`;
    each names the slice epochs it is based on, so that the fold refuses an
    outdated one.
    """
    if isinstance(event, LoadReported):
        state.table.record_report(event.report, now_s)
        return state, []
    if isinstance(event, TakeoverFolded):
        if state.switches.detect_takeovers:
            state.table.mark_taken_over(event.owner_id, now_s)
        return state, []
    cluster = event.cluster
    state.table.update_members(cluster.members, now_s)
    state.move_reasons.clear()
    state.capacities.clear()
    moves = []
    resizes = []
    for name, service in cluster.config.services.items():
        if name in cluster.slices and service.divided_by_key:
            view = _plan_service(state, event, service, now_s)
            moves += view.moves()
            for reason in view.reasons.values():
                state.move_reasons[name, reason] += 1
            if isinstance(view, WorkView):
                for node_id, slots in view.targets.items():
                    state.capacities[name, node_id] = slots
            resizes += _resize(state, view)
    return state, _batches(moves) + resizes


def _plan_service(state, event, service, now_s):
    cluster = event.cluster
    slices = cluster.slices[service.name].slices
    state.table.prune(service.name, [slice_.start for slice_ in slices])
    state.table.undo_refused_resizes(service.name, slices)
    warm_up = state.switches.warm_up
    view = build_view(
        cluster,
        state.table,
        service.name,
        now_s,
        warm_up,
        state.tuning,
        evacuated=event.evacuated,
    )
    if _awaits_first_nodes(state, slices, now_s):
        return view
    plan_mandatory_moves(view)
    state.policy(service).plan(view, now_s)
    choose_standbys(view, spread=state.switches.spread_standbys)
    return view


def _awaits_first_nodes(state, slices, now_s):
    """Return whether the first assignment still waits for nodes to come up.

    If all slices were assigned to the first few nodes, nearly all would move
    again within seconds, each with a record that every node reads.
    """
    if now_s - state.table.started_s >= state.tuning.first_nodes_wait_s:
        return False
    return not any(slice_.owner for slice_ in slices)


def _resize(state, view):
    if not state.switches.resize:
        return []
    if isinstance(view, WorkView):
        return _resize_by_work(state, view)
    actions = plan_resizes(view)
    for action in actions:
        if isinstance(action, Split):
            state.table.record_split(
                action.service, action.start, action.at, action.right_per_s
            )
        else:
            state.table.record_merge(action.service, action.start, action.next_start)
    return actions


def _resize_by_work(state, view):
    actions = plan_work_resizes(view)
    for action in actions:
        if isinstance(action, Split):
            share = action.right_per_s / view.weights[action.start]
            state.table.record_work_split(action, share)
        else:
            state.table.record_work_merge(action)
    return actions


def _batches(moves):
    return [
        Move(moves=tuple(moves[index : index + MAX_MOVES_PER_RECORD]))
        for index in range(0, len(moves), MAX_MOVES_PER_RECORD)
    ]


def removable_member(state, cluster, now_s):
    """Return a member that may be removed, or ``None``.

    It has been lost for more than `REMOVE_AFTER_S`, owns no slice, and no slice
    awaits its release.
    """
    report_timeout = report_timeout_s(len(cluster.members))
    needed = {
        node_id
        for slice_map in cluster.slices.values()
        for slice_ in slice_map.slices
        for node_id in (slice_.owner, slice_.previous)
    }
    for member in cluster.members.values():
        if member.node_id in needed:
            continue
        if state.table.lost_for_s(member, now_s, report_timeout) > REMOVE_AFTER_S:
            return member
    return None


def to_record(action, record_id, term):
    """Return the log record for an action."""
    if isinstance(action, Move):
        return SlicesMoved(record_id=record_id, term=term, moves=action.moves)
    if isinstance(action, Merge):
        return SlicesMerged(
            record_id=record_id,
            service=action.service,
            start=action.start,
            base_epoch=action.base_epoch,
            next_base_epoch=action.next_base_epoch,
        )
    return SliceSplit(
        record_id=record_id,
        service=action.service,
        start=action.start,
        base_epoch=action.base_epoch,
        at=action.at,
    )
