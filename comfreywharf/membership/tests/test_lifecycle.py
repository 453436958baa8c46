"""Tests of a node's life cycle with conditions that change in any order."""

from hypothesis import given, settings, strategies as st

from comfreywharf.membership import NodeFacts, NodeLifecycle, PauseDetector

facts = st.builds(
    NodeFacts,
    caught_up=st.booleans(),
    lease_held=st.booleans(),
    superseded=st.booleans(),
    draining=st.booleans(),
)


def settle(lifecycle, seen):
    for _ in range(4):
        lifecycle.observe(seen)


@settings(derandomize=True, deadline=None)
@given(st.lists(facts, max_size=12))
def test_state_matches_what_the_node_may_do(history):
    """An active node holds its lease, and a replaced one stays replaced."""
    lifecycle = NodeLifecycle()
    for seen in history:
        was_replaced = lifecycle.state == "replaced"
        settle(lifecycle, seen)
        if was_replaced or seen.superseded:
            assert lifecycle.state == "replaced"
        elif lifecycle.state == "active":
            assert seen.lease_held and not seen.draining
        elif lifecycle.state == "suspended":
            assert not seen.lease_held


@settings(derandomize=True, deadline=None)
@given(st.lists(facts, max_size=12))
def test_a_healthy_node_becomes_active(history):
    """A caught-up node with its lease becomes active from any state but replaced."""
    lifecycle = NodeLifecycle()
    for seen in history:
        settle(lifecycle, seen)
    healthy = NodeFacts(
        caught_up=True, lease_held=True, superseded=False, draining=False
    )
    settle(lifecycle, healthy)
    assert lifecycle.state in ("active", "replaced")


def test_a_pause_is_detected_afterwards():
    """A long gap between two runs of the loop is a pause, a short delay is not."""
    pauses = PauseDetector(10.0, 0.1)
    assert pauses.record_run(10.2) is None
    assert round(pauses.record_run(12.3), 3) == 2.0
