"""The platform's lease terms under its typical losses of machines."""

import attrs
import pytest

from comfreywharf.ownership.tests import sim_node
from comfreywharf.ownership.tests.builders import KEYS, STEP_S, make_world
from comfreywharf.platform import ports

KEY = KEYS[0]


@pytest.mark.parametrize("steps", range(8))
def test_a_third_witness_lost_two_seconds_after_two_leaves_a_majority(
    steps, monkeypatch
):
    """Guards against a healthy node whose keys are unavailable for 2 s or more.

    Two of its five witnesses are lost for good, and a third one two seconds later. If
    the two were replaced only 3.5 s after their loss, the node would lose its majority.
    The losses come at any time between two renewals.
    """
    terms = attrs.evolve(
        sim_node.TERMS,
        lease_s=1.5,
        witnesses=ports.WITNESSES,
        replace_witness_after_s=ports.REPLACE_WITNESS_AFTER_S,
    )
    monkeypatch.setattr(sim_node, "TERMS", terms)
    world = make_world(count=10)
    world.run(steps * STEP_S)
    owner = world.role("owner", KEY)
    witnesses = world.witnesses_of(KEY)
    for name in witnesses[:2]:
        world.nodes[name].frozen = True
    world.run(2.0)
    world.nodes[witnesses[2]].frozen = True
    for _ in range(round(4.0 / STEP_S)):
        world.run(STEP_S)
        assert world.request(owner, KEY, 0.01)
