"""Nodes that follow a log which comes back from older copies at any moment."""

import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from comfreywharf.daemon.records.follower import Follower
from comfreywharf.daemon.records.logclient import LogError
from comfreywharf.daemon.records.snapshots import SnapshotWriter
from comfreywharf.daemon.tests.restorable_log import (
    BareOffsetClient,
    RestorableClient,
    RestorableLog,
)
from comfreywharf.records import SlicesTaken, SliceTake, encode_record
from comfreywharf.records.positions import era_of, offset_of
from comfreywharf.records.snapshots import SnapshotAssembler, encode_snapshot
from comfreywharf.records.tests.builders import NODES, initial_records, make_record

LONG_AGO_S = -1e9


class Server:
    """A server that remembers the fence of each slice, and who was granted under it."""

    def __init__(self):
        self._highest = {}

    def grant(self, key, node_id, fence):
        """Take a grant; return whether its fence is above those of all others."""
        holder, highest = self._highest.get(key, (node_id, -1))
        if node_id != holder and fence <= highest:
            return False
        self._highest[key] = (node_id, max(fence, highest))
        return True


class Cluster:
    """Nodes that follow one log, without a clock or a network."""

    def __init__(self, seed, client_type=RestorableClient):
        self.rng = random.Random(seed)
        self.log = RestorableLog()
        self.server = Server()
        self.refused = []
        self._client_type = client_type
        self._appended = 0
        self.clients, self.followers, self.writers = {}, {}, {}
        for node_id in NODES:
            self.start(node_id)
        for record in initial_records():
            self.log.records.append(encode_record(record))

    def start(self, node_id):
        """Start a node's process, which knows nothing."""
        client = self.clients[node_id] = self._client_type(self.log)
        self.followers[node_id] = Follower(
            client, "log", lambda event, **fields: None, node_id
        )
        self.writers[node_id] = SnapshotWriter(
            node_id, self.followers[node_id], lambda event, **fields: None
        )

    def read(self, node_id):
        """Have a node read the log; it may then grant what it owns."""
        follower = self.followers[node_id]
        try:
            if follower.gap or not follower.state.next_offset:
                follower._load_newest()
            follower._read()
        except LogError:
            return
        if follower.usable and follower.in_newest_era:
            self._grant(node_id)

    def let_time_pass(self, node_id):
        """End the time for which a node that starts leaves it to running ones."""
        if self.followers[node_id]._restored_since_s is not None:
            self.followers[node_id]._restored_since_s = LONG_AGO_S

    def _grant(self, node_id):
        state = self.followers[node_id].state
        if state.next_offset != max(
            follower.state.next_offset for follower in self.followers.values()
        ):
            return
        for service, slice_ in state.owned_by(node_id):
            if slice_.previous:
                continue
            fence = state.fence(slice_)
            if not self.server.grant((service, slice_.start), node_id, fence):
                self.refused.append((service, slice_.start, node_id, fence))

    def append(self, node_id):
        """Have a node append a record that is based on its state."""
        follower = self.followers[node_id]
        self._appended += 1
        record = make_record(self.rng, follower.state, f"r{self._appended}")
        data = encode_record(record)
        try:
            offset = self.clients[node_id].append("log", data)
        except LogError:
            return
        follower.fold_appended(offset, data)

    def write_snapshot(self, node_id):
        """Have a node write its state as the planner does."""
        follower, writer = self.followers[node_id], self.writers[node_id]
        # The first step may only look up which snapshot is replaced.
        for _ in range(2):
            if not (follower.usable and follower.in_newest_era):
                return
            try:
                writer.replace_kept()
            except LogError:
                return

    def exchange(self, node_id, peer_id):
        """Have a node get a peer's news, as records or as a snapshot."""
        follower, peer = self.followers[node_id], self.followers[peer_id]
        records = peer.replica.records_for_peer(follower.state.next_offset, 1 << 20)
        if records is not None:
            for offset, data in records:
                follower.fold_next(offset, data)
            return
        assembler = SnapshotAssembler()
        for part in encode_snapshot(peer.state, "peer"):
            assembler.add(part)
        follower.load(assembler.newest)

    def settle(self):
        """Heal all cuts, and let all nodes read until nothing changes."""
        for client in self.clients.values():
            client.cut = False
        for _ in range(6):
            for node_id in NODES:
                self.read(node_id)
                self.let_time_pass(node_id)

    def disagreements(self):
        """Return the pairs of nodes at one position whose states differ."""
        found = []
        for one in NODES:
            for other in NODES:
                a, b = self.followers[one].state, self.followers[other].state
                if (a.next_offset, a.lineage) == (b.next_offset, b.lineage) and (
                    (a.slices, a.members, a.config) != (b.slices, b.members, b.config)
                ):
                    found.append((one, other))
        return found


nodes = st.sampled_from(NODES)


class RestoredLogMachine(RuleBasedStateMachine):
    """Records, reads, exchanges, kills and cuts, and a log that goes back."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        """Start all nodes, which read the log."""
        self.cluster = Cluster(seed)
        self.cluster.settle()

    @rule(node=nodes, count=st.integers(1, 8))
    def append(self, node, count):
        """A node appends records."""
        for _ in range(count):
            self.cluster.append(node)

    @rule(node=nodes)
    def read(self, node):
        """A node reads."""
        self.cluster.read(node)

    @rule()
    def read_all(self):
        """All nodes read."""
        for node in NODES:
            self.cluster.read(node)

    @rule(node=nodes, peer=nodes)
    def exchange(self, node, peer):
        """A node gets a peer's news."""
        self.cluster.exchange(node, peer)

    @rule(node=nodes)
    def write_snapshot(self, node):
        """A node writes a snapshot."""
        self.cluster.write_snapshot(node)

    @rule(node=nodes)
    def time_passes(self, node):
        """A node that starts has waited for the running ones."""
        self.cluster.let_time_pass(node)

    @rule(records=st.integers(0, 12), snapshots=st.integers(0, 3))
    def go_back(self, records, snapshots):
        """The log comes back from an older copy."""
        self.cluster.log.go_back(records, snapshots)

    @rule(node=nodes)
    def restart(self, node):
        """A node's process is killed and starts again."""
        self.cluster.start(node)

    @rule()
    def restart_all(self):
        """All processes are killed and start again."""
        for node in NODES:
            self.cluster.start(node)

    @rule(node=nodes)
    def cut(self, node):
        """A node is cut off from the log."""
        self.cluster.clients[node].cut = True

    @rule(node=nodes)
    @precondition(lambda self: any(c.cut for c in self.cluster.clients.values()))
    def heal(self, node):
        """A node reaches the log again."""
        self.cluster.clients[node].cut = False

    @invariant()
    def fences_rise(self):
        """No server refuses a grant of a key's owner for a fence that is too low."""
        assert not self.cluster.refused

    @invariant()
    def equal_positions_mean_equal_states(self):
        """Nodes at one position have the same state."""
        assert not self.cluster.disagreements()

    def teardown(self):
        """All nodes agree in the end, and follow the log."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.settle()
        states = [follower.state for follower in self.cluster.followers.values()]
        assert {era_of(state.next_offset) for state in states} == {self.cluster.log.era}
        assert len({state.next_offset for state in states}) == 1
        assert not self.cluster.disagreements()
        assert not self.cluster.refused


RestoredLogMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestRestoredLog = RestoredLogMachine.TestCase


def play(seed, client_type):
    """Play one drawn run of appends, reads, kills and losses; return the cluster."""
    cluster = Cluster(seed, client_type)
    cluster.settle()
    rng = random.Random(seed)
    for _ in range(30):
        for node_id in NODES:
            for _ in range(4):
                cluster.append(node_id)
            cluster.read(node_id)
        if rng.random() < 0.3:
            cluster.log.go_back(rng.randrange(12), rng.randrange(3))
        if rng.random() < 0.3:
            for node_id in NODES:
                cluster.start(node_id)
        cluster.settle()
    return cluster


def has_failed(cluster):
    """Return whether nodes disagree, don't follow, or a fence was too low."""
    offsets = {f.state.next_offset for f in cluster.followers.values()}
    is_stuck = offset_of(max(offsets)) > len(cluster.log.records)
    return bool(
        cluster.refused or cluster.disagreements() or len(offsets) > 1 or is_stuck
    )


def test_without_eras_nodes_disagree_or_fences_fall():
    """Guards against a state machine that passes whatever a position is."""
    assert any(has_failed(play(seed, BareOffsetClient)) for seed in range(5))
    assert not any(has_failed(play(seed, RestorableClient)) for seed in range(5))


def test_a_node_that_missed_eras_may_say_how_the_state_goes_on():
    """Guards against nodes that never follow the log again.

    A node that was cut off while the log went back twice is the first to read the third
    copy, and writes down a state that continues from before all of them.
    """
    cluster = Cluster(seed=0)
    cluster.settle()
    cluster.clients["a"].cut = True
    for _ in range(2):
        cluster.log.go_back(0, 0)
        cluster.read("b")
        cluster.read("c")
    cluster.log.go_back(0, 0)
    cluster.settle()
    positions = {f.state.next_offset for f in cluster.followers.values()}
    assert len(positions) == 1 and era_of(positions.pop()) == cluster.log.era
    assert all(follower.in_newest_era for follower in cluster.followers.values())


@pytest.mark.parametrize("has_written", [False, True])
def test_an_outdated_snapshot_doesnt_replace_the_state_that_continues(has_written):
    """Guards against two states that continue in one era of the log.

    A planner that hasn't heard of the new era writes its snapshot over the state with
    which another node has continued.
    """
    cluster = Cluster(seed=0)
    cluster.settle()
    if has_written:
        cluster.write_snapshot("b")
    cluster.append("a")
    cluster.append("a")
    cluster.log.go_back(0, 0)
    cluster.read("a")
    cluster.write_snapshot("b")
    cluster.settle()
    positions = {f.state.next_offset for f in cluster.followers.values()}
    assert len(positions) == 1
    assert not cluster.disagreements()
    assert not cluster.refused


def test_an_owner_by_a_lost_record_doesnt_keep_the_next_one_from_its_key():
    """Guards against a fence that falls as one node knew more than the one that writes.

    A node takes a slice over and grants it. The record is lost before the others have
    read it, and one of them says how the state goes on.
    """
    cluster = Cluster(seed=1)
    cluster.settle()
    taker = cluster.followers["b"]
    (service, slice_) = next(iter(taker.state.owned_by("a")))
    record = SlicesTaken(
        record_id="taken",
        owner_id="a",
        lease_epoch=taker.state.members["a"].lease_epoch,
        taker_id="b",
        taker_incarnation=1,
        slices=(
            SliceTake(service=service, start=slice_.start, base_epoch=slice_.epoch),
        ),
    )
    cluster.log.records.append(encode_record(record))
    cluster.read("b")
    assert taker.state.slice_at(service, slice_.start).owner == "b"
    cluster.log.go_back(records=1, snapshots=0)
    for _ in range(3):
        cluster.read("a")
    state = cluster.followers["a"].state
    assert state.slice_at(service, slice_.start).owner == "a"
    cluster.settle()
    assert not cluster.refused and not cluster.disagreements()
