"""Run the planner: its terms, its rounds, and the records that they append."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.follower import NotAcknowledged, new_record_id
from comfreywharf.placement import (
    LoadReported,
    PlanningState,
    RoundDue,
    Split,
    TakeoverFolded,
    planning,
    round_interval_s,
    terms,
    to_record,
)
from comfreywharf.records import NodeRemoved, PlannerTermStarted, SlicesTaken

__all__ = ["Planner"]

TICK_S = 0.25
MAX_PLANNING_PASSES = 4
"""Planning passes within one round; another one follows if slices were split. Four
passes divide a slice with the load of three servers into sixteenths."""


class Planner:
    """Plan in rounds while this node is the planner; otherwise detect a planner's loss.

    A node that detects the loss appends a `PlannerTermStarted` to become the planner.
    """

    def __init__(self, node):
        self._node = node
        self._node_id = node.settings.node_id
        self._terms = terms.TermState(node_id=self._node_id)
        self._planning = None
        self._planned_term = -1
        self._next_round_s = 0.0
        node.follower.subscribe(self._on_folded)

    @property
    def is_planning(self):
        """Return whether this node is the planner and the log is reachable."""
        return self._planning is not None and self._node.follower.reachable

    def receive_report(self, report, now_s):
        """Record a `NodeReport`; return whether this node is the planner."""
        if not self.is_planning:
            return False
        planning.decide(self._planning, LoadReported(report=report), now_s)
        return True

    def handle_report_result(self, event, now_s):
        """Handle a `ReportAnswered` or `ReportFailed` event."""
        terms.decide(self._terms, event, now_s)

    def run(self):
        """Plan until the greenlet is killed."""
        self._node.follower.caught_up.wait()
        while True:
            try:
                self._tick(boottime_s())
            except NotAcknowledged:
                # The fold shows whether the record took effect, and the next
                # round starts from the fold. A retry here could duplicate it.
                pass
            gevent.sleep(TICK_S)

    def _on_folded(self, record, result):
        if not result.accepted or self._planning is None:
            return
        if isinstance(record, SlicesTaken):
            event = TakeoverFolded(owner_id=record.owner_id)
            planning.decide(self._planning, event, boottime_s())

    def _tick(self, now_s):
        self._watch_planner(now_s)
        self._follow_own_term(now_s)
        if self.is_planning and now_s >= self._next_round_s:
            self._run_round(now_s)

    def _watch_planner(self, now_s):
        state = self._node.follower.state
        event = terms.Tick(
            planner_id=state.planner_id,
            term=state.planner_term,
            members=tuple(state.members),
            log_reachable=self._node.follower.reachable,
        )
        _, actions = terms.decide(self._terms, event, now_s)
        for action in actions:
            self._start_term(action)

    def _start_term(self, action):
        record = PlannerTermStarted(
            record_id=new_record_id(),
            node_id=self._node_id,
            base_term=action.base_term,
        )
        outcome = self._node.follower.append(record)
        if outcome.accepted:
            self._node.report("planner_started", term=action.base_term + 1)

    def _follow_own_term(self, now_s):
        state = self._node.follower.state
        if state.planner_id != self._node_id:
            self._planning = None
        elif self._planning is None or self._planned_term != state.planner_term:
            placement = self._node.ports.placement
            self._planning = PlanningState.begin(now_s, tuning=placement)
            self._planned_term = state.planner_term
            self._next_round_s = now_s

    def _run_round(self, now_s):
        state = self._node.follower.state
        slice_count = sum(len(slice_map.slices) for slice_map in state.slices.values())
        self._next_round_s = now_s + round_interval_s(slice_count)
        for _ in range(MAX_PLANNING_PASSES):
            event = RoundDue(cluster=state)
            _, actions = planning.decide(self._planning, event, now_s)
            self._append_all(actions)
            # A split halves a hot slice, and the next pass splits the halves. With
            # one split per round its server stays overloaded for several rounds.
            if not any(isinstance(action, Split) for action in actions):
                break
        if self._node.ports.removes_lost_nodes:
            self._remove_lost_member(state, now_s)

    def _append_all(self, actions):
        """Append the records of a round's actions, concurrently.

        The actions concern different slices, so the order of the records is irrelevant.
        """
        append = self._node.follower.append
        records = [
            to_record(action, new_record_id(), self._planned_term) for action in actions
        ]
        tasks = [gevent.spawn(_append_outcome, append, record) for record in records]
        gevent.joinall(tasks)
        for task in tasks:
            if task.value is None:
                raise NotAcknowledged(self._node_id, sent=True)

    def _remove_lost_member(self, state, now_s):
        """Remove a member that has been lost for long and owns nothing.

        VMs may be removed from the platform without notice. Lost members that remain
        would still be chosen as witnesses and for requests without a key.
        """
        lost = planning.removable_member(self._planning, state, now_s)
        if lost is not None:
            record = NodeRemoved(
                record_id=new_record_id(),
                node_id=lost.node_id,
                incarnation=lost.incarnation,
            )
            self._node.follower.append(record)


def _append_outcome(append, record):
    """Append a record; return its outcome, or ``None`` if not read back in time."""
    try:
        return append(record)
    except NotAcknowledged:
        return None
