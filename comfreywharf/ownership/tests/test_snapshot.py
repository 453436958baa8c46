"""A state that is replaced by a snapshot while a node is already serving."""

import attrs

from comfreywharf.ownership import LeaseTerms, OwnershipAgent
from comfreywharf.records import ClusterState, Slice, SliceMap, UnknownRecord, fold

SERVICE = "booking"


def test_memory_from_before_a_snapshot_counts_as_incomplete():
    """Guards against a booking that two owners apply.

    A node that owns a slice is frozen until the records that it missed have expired
    from the log. The slice moves away, the booking runs there, and the slice moves
    back. The node thaws and loads its state from a snapshot, and the caller sends the
    booking again. No record shows the node that its memory of request ids is
    incomplete.
    """
    agent = OwnershipAgent("a", 1, LeaseTerms(lease_s=1.0, drift=0.01), lambda: "id")
    slice_ = Slice(start=0, end=1 << 63, owner="a", epoch=3)
    state = ClusterState(next_offset=5, slices={SERVICE: SliceMap([slice_])})
    record = UnknownRecord(record_id="r", kind="x")
    agent.folded(state, record, fold(state, 5, record), now_s=1.0)
    agent.table.lease_began(state, 1.0)
    assert agent.table.memory_complete_since_s(SERVICE, 0) == 1.0
    back = SliceMap([attrs.evolve(slice_, epoch=90)])
    state.replace_by(ClusterState(next_offset=100, slices={SERVICE: back}))
    agent.loaded(state, now_s=50.0)
    assert agent.table.memory_complete_since_s(SERVICE, 0) == 50.0
