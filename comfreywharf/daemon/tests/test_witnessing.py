"""Which owners a node watches as a witness, and when it looks for lapsed leases."""

from types import SimpleNamespace

from comfreywharf.daemon.ownership.witnessing import MAX_WAIT_S, Witnessing
from comfreywharf.ownership import LeaseTerms
from comfreywharf.records import ClusterState, LeaseStarted, fold
from comfreywharf.records.tests.builders import make_announcement

TERMS = LeaseTerms(lease_s=1.0, drift=0.0)
STARTED_S = 0.0


class Follower:
    """Fold records, and tell the subscribers as a node's follower does."""

    def __init__(self):
        self.state = ClusterState()
        self.listeners = []
        self.subscribe = self.listeners.append
        self.subscribe_loaded = lambda listener: None

    def fold(self, record):
        result = fold(self.state, self.state.next_offset, record)
        assert result.accepted
        for listener in self.listeners:
            listener(record, result)


def announce(follower, *node_ids):
    for node_id in node_ids:
        follower.fold(make_announcement(node_id))


def test_an_owner_whose_witness_the_node_becomes_is_watched():
    """Guards against the keys of a lost owner that no standby is told of."""
    follower = Follower()
    settings = SimpleNamespace(node_id="a")
    node = SimpleNamespace(follower=follower, settings=settings, incarnation=1)
    witnessing = Witnessing(node, TERMS)
    announce(follower, "a", "b", "c", "d")
    witnessing.begin(STARTED_S, first_named=None)
    assert witnessing._watched_owners() == []
    record = LeaseStarted(
        record_id="lease-b",
        node_id="b",
        incarnation=1,
        base_lease_epoch=-1,
        witnesses=("a", "c", "d"),
    )
    follower.fold(record)
    assert witnessing._watched_owners() == ["b"]
    assert 0 < witnessing._wait_s(STARTED_S) <= MAX_WAIT_S
