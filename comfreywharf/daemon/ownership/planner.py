"""Elect the planner, and plan while this node is the one."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.follower import NotAcknowledged, new_record_id
from comfreywharf.placement import terms
from comfreywharf.records import PlannerTermStarted, SlicesTaken
from comfreywharf.ticks import sleep_to_tick

__all__ = ["Planner"]

TICK_S = 0.25


class Planner:
    """Plan in rounds while this node is the planner; otherwise detect a planner's loss.

    A node that detects the loss appends a `PlannerTermStarted` to become the planner.
    """

    def __init__(self, node):
        self._node = node
        self._node_id = node.settings.node_id
        self._terms = terms.TermState(node_id=self._node_id)
        self._own_term = None
        node.follower.subscribe(self._on_folded)

    @property
    def is_planning(self):
        """Return whether this node is the planner and the log is reachable."""
        return self._own_term is not None and self._node.follower.reachable

    @property
    def capacities(self):
        """Return the capacities in slots by service and node, if work is weighed."""
        return dict(self._own_term.capacities) if self.is_planning else {}

    def receive_report(self, report, now_s):
        """Record a `NodeReport`; return whether this node is the planner."""
        if not self.is_planning:
            return False
        self._own_term.receive_report(report, now_s)
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
            except NotAcknowledged as error:
                # The fold shows whether the record took effect, and the next
                # round starts from the fold. A retry here could duplicate it.
                gevent.sleep(error.retry_after_s)
            sleep_to_tick(TICK_S)

    def _on_folded(self, record, result):
        if not result.accepted or self._own_term is None:
            return
        if isinstance(record, SlicesTaken):
            self._own_term.handle_takeover(record, boottime_s())

    def _tick(self, now_s):
        self._watch_planner(now_s)
        self._follow_own_term(now_s)
        if self.is_planning:
            self._own_term.run_due_round(now_s)

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
            self._own_term = None
        elif self._own_term is None or self._own_term.number != state.planner_term:
            # Few nodes of a fleet ever plan, so that the others don't load this.
            from comfreywharf.daemon.ownership.planning_term import PlanningTerm

            term = state.planner_term
            self._own_term = PlanningTerm.begin(self._node, term, now_s)
