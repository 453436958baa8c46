"""The records that a planner appends in one round."""

from types import SimpleNamespace

from comfreywharf.daemon.ownership.planning_term import PlanningTerm
from comfreywharf.membership.evacuations import Evacuations
from comfreywharf.placement.tests.builders import PlannedCluster
from comfreywharf.records import fold


class FoldedLog:
    """A follower that folds each appended record at once."""

    reachable = True

    def __init__(self, state):
        self.state = state

    def subscribe(self, listener):
        return

    def append(self, record):
        return fold(self.state, self.state.next_offset, record)


def make_term(cluster):
    """Return a term in which a node plans for a cluster."""
    node = SimpleNamespace(
        settings=SimpleNamespace(node_id="planner"),
        follower=FoldedLog(cluster.state),
        ports=SimpleNamespace(removes_lost_nodes=False),
        evacuations=Evacuations(bound_s=5.0),
    )
    return PlanningTerm(node, 1, cluster.planning)


def slices_added(cluster, per_slice_s, first_s):
    """Return how many slices one round adds if the first slice has another load."""
    cluster.run_rounds()
    rates = {slice_.start: per_slice_s for slice_ in cluster.slices}
    rates[0] = first_s
    cluster.now_s += 1.0
    cluster.report(rates)
    before = len(cluster.slices)
    make_term(cluster).run_due_round(cluster.now_s)
    return len(cluster.slices) - before


def test_hot_slice_is_split_repeatedly_in_one_round():
    """Guards against a server that refuses callers for two seconds with hot keys.

    One slice gets a third of all requests. With one split per round, it takes four
    rounds until its parts are small enough to be moved to other servers.
    """
    cluster = PlannedCluster(nodes=7, slices=70)
    assert slices_added(cluster, per_slice_s=3.0, first_s=105.0) >= 7


def test_slice_with_little_load_isnt_split():
    """Guards against moves of slices in a service that is nearly idle.

    A few callers request one key again and again. If a third of a server's load counts
    as hot however small that load is, the slice is split twenty times in one round and
    its parts move back and forth, so that requests for the key are refused.
    """
    cluster = PlannedCluster(nodes=3, slices=4)
    cluster.service_ms = 1.0
    assert slices_added(cluster, per_slice_s=0.1, first_s=20.0) == 0
