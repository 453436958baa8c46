"""What a planner writes down in one round."""

from types import SimpleNamespace

from comfreywharf.daemon.owning.planner import Planner
from comfreywharf.placement.tests.builders import PlannedCluster
from comfreywharf.records import fold


class FoldedLog:
    """A follower whose appends are folded at once."""

    reachable = True

    def __init__(self, state):
        self.state = state

    def subscribe(self, listener):
        return

    def append(self, record):
        return fold(self.state, self.state.next_offset, record)


def make_planner(cluster):
    """Return a planner that plans for a cluster."""
    node = SimpleNamespace(
        settings=SimpleNamespace(node_id="planner"),
        follower=FoldedLog(cluster.state),
        ports=SimpleNamespace(removes_lost_nodes=False),
    )
    planner = Planner(node)
    planner._planning = cluster.planning
    planner._planned_term = 1
    return planner


def slices_added(cluster, per_slice_s, first_s):
    """Return how many slices one round adds when the first one is asked for more."""
    cluster.settle()
    rates = {piece.start: per_slice_s for piece in cluster.pieces}
    rates[0] = first_s
    cluster.now_s += 1.0
    cluster.report(rates)
    before = len(cluster.pieces)
    make_planner(cluster)._round(cluster.now_s)
    return len(cluster.pieces) - before


def test_a_hot_slice_is_in_small_parts_after_one_round():
    """Symptom: a server refuses callers for two seconds after its keys became hot.
    Sequence: one slice gets a third of all requests.
    Cause: it was divided once a round, and needed four rounds until its parts could
    be given to others."""
    cluster = PlannedCluster(nodes=7, slices=70)
    assert slices_added(cluster, per_slice_s=3.0, first_s=105.0) >= 7


def test_a_slice_that_needs_little_of_a_slot_is_left_whole():
    """Symptom: a key is refused for a moment when nearly nothing is asked.
    Sequence: a few callers ask for one key of an idle service, again and again.
    Cause: a third of a server's load counted as hot however small that load was; its
    slice was divided twenty times in one round, and the parts went to and fro."""
    cluster = PlannedCluster(nodes=3, slices=4)
    cluster.service_ms = 1.0
    assert slices_added(cluster, per_slice_s=0.1, first_s=20.0) == 0
