"""Tests of a node's life cycle with conditions that change in any order."""

from hypothesis import given, settings, strategies as st

from comfreywharf.membership import NodeFacts, NodeLife, Pauses

facts = st.builds(
    NodeFacts,
    caught_up=st.booleans(),
    lease_held=st.booleans(),
    superseded=st.booleans(),
    draining=st.booleans(),
)


def settle(life, seen):
    for _ in range(4):
        life.observe(seen)


@settings(derandomize=True, deadline=None)
@given(st.lists(facts, max_size=12))
def test_state_tells_what_the_node_may_do(history):
    """An active node holds its lease, and a replaced one stays replaced."""
    life = NodeLife()
    for seen in history:
        was_replaced = life.state == "replaced"
        settle(life, seen)
        if was_replaced or seen.superseded:
            assert life.state == "replaced"
        elif life.state == "active":
            assert seen.lease_held and not seen.draining
        elif life.state == "suspended":
            assert not seen.lease_held


@settings(derandomize=True, deadline=None)
@given(st.lists(facts, max_size=12))
def test_a_node_that_is_well_ends_active(history):
    """A caught-up node with its lease becomes active from any state but replaced."""
    life = NodeLife()
    for seen in history:
        settle(life, seen)
    well = NodeFacts(caught_up=True, lease_held=True, superseded=False, draining=False)
    settle(life, well)
    assert life.state in ("active", "replaced")


def test_pause_is_noticed_afterwards():
    """A long gap between two runs of the loop is a pause, a short delay is not."""
    pauses = Pauses(10.0, 0.1)
    assert pauses.ran(10.2) is None
    assert round(pauses.ran(12.3), 3) == 2.0
