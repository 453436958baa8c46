"""Tests of replicas under faults of the log, of its snapshots and of peers."""

import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from comfreywharf.records import ClusterState, SnapshotWritten, encode_record, fold
from comfreywharf.records.replica import Replica
from comfreywharf.records.snapshots import (
    SnapshotAssembler,
    decode_part,
    encode_snapshot,
)
from comfreywharf.records.tests.builders import NODES, initial_records, make_record

PART_BYTES = 300
"""Small enough that each snapshot has several parts."""

ACTIONS = (
    *("write", "write", "write_again", "read", "read", "read"),
    *("write_snapshot", "load_snapshot", "exchange", "deliver_late"),
    *("truncate", "restart"),
)
seeds = st.integers(0, 2**32)
node_ids = st.sampled_from(NODES)


class ReplicasMachine(RuleBasedStateMachine):
    """Three nodes, a log and its stream of snapshots, with all their faults.

    ``truth`` has the state after each record of the log, without any faults; a
    node's state must always be equal to the one at the node's offset.
    """

    @initialize()
    def start(self):
        self.log, self.first = [], 0
        self.parts = []
        self.truth = [ClusterState()]
        self.replicas = {node_id: Replica() for node_id in NODES}
        self.versions = dict.fromkeys(NODES, 0)
        self.unanswered = []
        self.acknowledged = {}
        self.written = 0
        for record in initial_records():
            self._append(record)

    def _append(self, record):
        self.log.append(encode_record(record))
        state = self.truth[-1].copy()
        fold(state, state.next_offset, record)
        self.truth.append(state)

    @rule(
        actions=st.lists(
            st.tuples(st.sampled_from(ACTIONS), node_ids, seeds), min_size=10
        )
    )
    def act(self, actions):
        """Run some actions, each on one node.

        A single rule chooses among all actions, since hypothesis would omit some
        of the rules in each run, and faults that only occur together would be
        missed.
        """
        for name, node_id, seed in actions:
            getattr(self, f"_{name}")(node_id, random.Random(seed))
            self.check_nodes()

    def _write(self, node_id, rng):
        """Append some records; the answers to their writers may be lost."""
        for _ in range(rng.randint(1, 6)):
            self.written += 1
            record = make_record(rng, self.truth[-1], f"record-{self.written}")
            self._append(record)
            if rng.random() < 0.5:
                self.unanswered.append(record)

    def _write_again(self, node_id, rng):
        """Append a record again whose writer got no answer."""
        if self.unanswered:
            self._append(rng.choice(self.unanswered))

    def _read(self, node_id, rng):
        """Read the next records, or find out that they have expired."""
        replica = self.replicas[node_id]
        start = replica.state.next_offset
        if start < self.first:
            replica.record_truncation(self.first)
            return
        replica.update_log_bounds(start, self.first, len(self.log))
        for index, data in enumerate(self.log[start : start + rng.choice([2, 100])]):
            replica.fold_next(start + index, data)
        if replica.check_caught_up(len(self.log)):
            self._read_back(replica)

    def _read_back(self, replica):
        for record in self.unanswered:
            outcome = replica.state.outcomes[record.record_id]
            self.acknowledged.setdefault(record.record_id, outcome)

    def _write_snapshot(self, node_id, rng):
        """Write a complete or incomplete snapshot, mixed with the parts of others."""
        state = self.replicas[node_id].state
        parts = encode_snapshot(state, f"snapshot-{node_id}", PART_BYTES)
        whole = rng.random() < 0.7
        kept = parts if whole else rng.sample(parts, len(parts) // 2)
        self.parts = self.parts[-6:] + kept + kept[:1]
        rng.shuffle(self.parts)
        if whole:
            self.written += 1
            self._append(
                SnapshotWritten(
                    record_id=f"record-{self.written}",
                    node_id=node_id,
                    offset=state.next_offset,
                )
            )

    def _load_snapshot(self, node_id, rng):
        """Load the newest complete snapshot."""
        assembler = SnapshotAssembler()
        for part in self.parts:
            assembler.add(part)
        if assembler.newest is not None:
            self.replicas[node_id].load(assembler.newest)

    def _exchange(self, node_id, rng):
        """Request the records that the node lacks from a peer."""
        replica, peer = self.replicas[node_id], self.replicas[rng.choice(NODES)]
        records = peer.records_for_peer(replica.state.next_offset, max_bytes=600)
        if records is None:
            replica.load(peer.state.copy())
        for offset, data in records or ():
            replica.fold_next(offset, data)

    def _deliver_late(self, node_id, rng):
        """Deliver a record that is late or too early."""
        offset = rng.randrange(len(self.log))
        self.replicas[node_id].fold_next(offset, self.log[offset])

    def _truncate(self, node_id, rng):
        """Remove the log's oldest records, as when they expire."""
        self.first = min(self.first + rng.randint(1, 10), len(self.log))

    def _restart(self, node_id, rng):
        """Replace a node by one with an empty state."""
        self.replicas[node_id] = Replica()
        self.versions[node_id] = 0

    def check_nodes(self):
        """Check all invariants."""
        self.nodes_agree()
        self.configuration_never_goes_back()
        self.acknowledged_records_stay()
        self.nodes_with_a_gap_own_nothing()

    def nodes_agree(self):
        """Check that each node has the true state at its offset."""
        for replica in self.replicas.values():
            assert replica.state == self.truth[replica.state.next_offset]

    def configuration_never_goes_back(self):
        for node_id, replica in self.replicas.items():
            version = replica.state.config.version
            assert version >= self.versions[node_id]
            self.versions[node_id] = version

    def acknowledged_records_stay(self):
        """Check that all nodes agree on the outcome that a writer has read back."""
        for replica in self.replicas.values():
            for record_id, outcome in self.acknowledged.items():
                known = replica.state.outcomes.get(record_id, outcome)
                assert known == outcome

    def nodes_with_a_gap_own_nothing(self):
        for replica in self.replicas.values():
            missing = replica.state.next_offset < replica.log_first
            assert not (missing and replica.usable)

    def teardown(self):
        """Check that all nodes can start from a snapshot and the records after it."""
        self.first = max(self.first, len(self.log) // 2)
        self.parts += encode_snapshot(self.truth[self.first], "last", PART_BYTES)
        for node_id, replica in self.replicas.items():
            self._load_snapshot(node_id, None)
            while not replica.usable or replica.state.next_offset < len(self.log):
                self._read(node_id, random.Random(0))
            assert replica.state == self.truth[-1]


ReplicasMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=5
)
TestReplicas = ReplicasMachine.TestCase


def assemble(parts):
    """Return the newest state of some parts."""
    assembler = SnapshotAssembler()
    for part in parts:
        assembler.add(part)
    return assembler.newest


def test_a_part_with_wrong_contents_is_not_loaded():
    """Guard against a node that starts with a state that no other node has.

    The stream has a part whose contents don't match its digest, so the digest of a
    complete snapshot has to be checked before it is loaded.
    """
    old = encode_snapshot(ClusterState(next_offset=5), "old")
    new = encode_snapshot(ClusterState(next_offset=9), "new")
    foreign = encode_snapshot(ClusterState(next_offset=9, planner_term=3), "x")
    digests = [decode_part(parts[0]).unwrap().digest for parts in (foreign, new)]
    forged = foreign[0].replace(*(digest.encode() for digest in digests))
    assert assemble([*old, forged]).next_offset == 5
    assert assemble([*old, *new]).next_offset == 9


def test_a_writer_that_restarts_under_one_id_does_not_break_snapshots():
    """Guard against a complete snapshot in the stream that isn't found.

    A writer crashes in the middle of a snapshot and writes another one under the
    same id, so that the parts of both are mixed and the id doesn't identify them.
    """
    first, second = (
        encode_snapshot(ClusterState(next_offset=offset), "same", part_bytes=40)
        for offset in (8, 9)
    )
    mixed = [part for pair in zip(second, first, strict=True) for part in pair]
    assert assemble(mixed[:-1]).next_offset == 9


def test_a_peer_behind_a_loaded_snapshot_needs_the_snapshot():
    replica = Replica()
    for offset, record in enumerate(initial_records()):
        replica.fold_next(offset, encode_record(record))
    assert [offset for offset, _ in replica.records_for_peer(4, max_bytes=9999)] == [
        4,
        5,
    ]
    replica.load(ClusterState(next_offset=20))
    assert replica.records_for_peer(4, max_bytes=9999) is None


def test_shorter_log_is_a_gap():
    """Guard against two owners of one key after the log service lost records.

    A node folded 5 records, and the log returns with only 2. A new node starts
    from these and plans different moves, so the first node must not continue to
    wait for offset 5 and use its state.
    """
    replica = Replica()
    replica.load(ClusterState(next_offset=5))
    replica.update_log_bounds(start=5, log_first=0, log_next=5)
    assert replica.check_caught_up(5) and replica.usable
    replica.update_log_bounds(start=5, log_first=0, log_next=2)
    assert not replica.usable
