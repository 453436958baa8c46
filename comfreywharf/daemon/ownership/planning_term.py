"""Plan the placement of slices during one term of this node as the planner.

Imported when the node's first term begins: of a fleet, one node plans.
"""

import gevent

from comfreywharf.daemon.records.follower import NotAcknowledged, new_record_id
from comfreywharf.placement import planning
from comfreywharf.placement.planning import (
    LoadReported,
    PlanningState,
    RoundDue,
    TakeoverFolded,
    round_interval_s,
    to_record,
)
from comfreywharf.placement.resize import Split
from comfreywharf.records import NodeRemoved

__all__ = ["PlanningTerm"]

MAX_PLANNING_PASSES = 4
"""Planning passes within one round; another one follows if slices were split. Four
passes divide a slice with the load of three servers into sixteenths."""


MAX_WORK_PASSES = 7
"""The same where slices weigh work: a range with 0.4 of the requests needs the room of
most servers at once, in up to 64 parts."""


class PlanningTerm:
    """Plan in rounds, and append the records of each round.

    ``number`` is the term's number in the log.
    """

    def __init__(self, node, number, state):
        self.number = number
        self._node = node
        self._state = state
        self._next_round_s = float("-inf")

    @classmethod
    def begin(cls, node, number, now_s):
        """Return a term that has no load reports yet."""
        placement = node.ports.placement
        return cls(node, number, PlanningState.begin(now_s, tuning=placement))

    def receive_report(self, report, now_s):
        """Record a `NodeReport`."""
        planning.decide(self._state, LoadReported(report=report), now_s)

    def handle_takeover(self, record, now_s):
        """Handle a folded `SlicesTaken`."""
        planning.decide(self._state, TakeoverFolded(owner_id=record.owner_id), now_s)

    def run_due_round(self, now_s):
        """Run a round if one is due; raise `NotAcknowledged` if a record is lost."""
        if now_s >= self._next_round_s:
            self._run_round(now_s)

    def _run_round(self, now_s):
        cluster = self._node.follower.state
        slice_count = sum(len(each.slices) for each in cluster.slices.values())
        self._next_round_s = now_s + round_interval_s(slice_count)
        by_work = self._state.tuning.by_work
        for _ in range(MAX_WORK_PASSES if by_work else MAX_PLANNING_PASSES):
            evacuated = frozenset(self._node.evacuations.domains)
            event = RoundDue(cluster=cluster, evacuated=evacuated)
            _, actions = planning.decide(self._state, event, now_s)
            self._append_all(actions)
            self._report_moves()
            # A split halves a hot slice, and the next pass splits the halves. With
            # one split per round its server stays overloaded for several rounds.
            if not any(isinstance(action, Split) for action in actions):
                break
        if self._node.ports.removes_lost_nodes:
            self._remove_lost_member(cluster, now_s)

    @property
    def capacities(self):
        """Return the capacities in slots by service and node, if they are measured."""
        return self._state.capacities

    def _report_moves(self):
        for (service, reason), count in sorted(self._state.move_reasons.items()):
            self._node.report(
                "slices_rebalanced", service=service, reason=reason, count=count
            )

    def _append_all(self, actions):
        """Append the records of a round's actions, concurrently.

        The actions concern different slices, so the order of the records is irrelevant.
        """
        append = self._node.follower.append
        records = [
            to_record(action, new_record_id(), self.number) for action in actions
        ]
        tasks = [gevent.spawn(_append_failure, append, record) for record in records]
        gevent.joinall(tasks)
        failures = [task.value for task in tasks if task.value is not None]
        if failures:
            raise max(failures, key=lambda error: error.retry_after_s)

    def _remove_lost_member(self, cluster, now_s):
        """Remove a member that has been lost for long and owns nothing.

        VMs may be removed from the platform without notice. Lost members that remain
        would still be chosen as witnesses and for requests without a key.
        """
        lost = planning.removable_member(self._state, cluster, now_s)
        if lost is not None:
            record = NodeRemoved(
                record_id=new_record_id(),
                node_id=lost.node_id,
                incarnation=lost.incarnation,
            )
            self._node.follower.append(record)


def _append_failure(append, record):
    """Append a record; return the `NotAcknowledged` if it failed, or ``None``."""
    try:
        append(record)
    except NotAcknowledged as error:
        return error
    return None
