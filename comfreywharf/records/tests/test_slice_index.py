"""The index of slices by node, over drawn changes of a map."""

import attrs
from hypothesis import given, settings, strategies as st

from comfreywharf.records.slices import KEY_SPACE, SliceMap

NODES = ("", "a", "b", "c")
COUNT = 6

_CHANGES = st.lists(
    st.tuples(
        st.sampled_from(("replace", "split", "merge")),
        st.integers(0, 2**20),
        st.tuples(*[st.sampled_from(NODES)] * 3),
    ),
    max_size=40,
)


def change(slice_map, kind, number, nodes):
    """Apply a change to the slice at a position drawn as a number."""
    slice_ = slice_map.slices[number % len(slice_map.slices)]
    if kind == "replace":
        owner, standby, previous = nodes
        changed = attrs.evolve(slice_, owner=owner, standby=standby, previous=previous)
        slice_map.replace(changed)
    elif kind == "split" and slice_.end - slice_.start > 1:
        slice_map.split(slice_.start, (slice_.start + slice_.end) // 2, 1)
    elif kind == "merge" and slice_.end < KEY_SPACE:
        slice_map.merge(slice_.start, 1)


def scanned(slice_map, node_id):
    """Return the slices of a node by a look at all."""
    return [
        slice_
        for slice_ in slice_map.slices
        if node_id in (slice_.owner, slice_.standby, slice_.previous)
    ]


@settings(max_examples=150, deadline=None)
@given(changes=_CHANGES)
def test_the_index_has_just_the_slices_that_involve_a_node(changes):
    """Guards against a slice that a node owns and never grants to its server."""
    slice_map = SliceMap.divide(COUNT, 0)
    slice_map.involving("a")
    for kind, number, nodes in changes:
        change(slice_map, kind, number, nodes)
        for node_id in NODES[1:]:
            assert slice_map.involving(node_id) == scanned(slice_map, node_id)
