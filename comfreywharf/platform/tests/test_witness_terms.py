"""The platform's terms of leases under losses as they come there."""

import attrs

from comfreywharf.ownership.tests import sim_node
from comfreywharf.ownership.tests.builders import KEYS, STEP_S, make_world
from comfreywharf.platform import ports

KEY = KEYS[0]


def test_a_third_witness_lost_two_seconds_after_two_leaves_a_majority(monkeypatch):
    """Symptom: the keys of a healthy node are dark for two seconds or more.

    Sequence: two of its five witnesses go for good, and a third two seconds later.
    Cause: the two were replaced only 3.5 s after they had gone."""
    terms = attrs.evolve(
        sim_node.TERMS,
        lease_s=1.5,
        witnesses=ports.WITNESSES,
        replace_witness_after_s=ports.REPLACE_WITNESS_AFTER_S,
    )
    monkeypatch.setattr(sim_node, "TERMS", terms)
    world = make_world(count=10)
    owner = world.role("owner", KEY)
    witnesses = world.witnesses_of(KEY)
    for name in witnesses[:2]:
        world.nodes[name].frozen = True
    world.run(2.0)
    world.nodes[witnesses[2]].frozen = True
    for _ in range(round(4.0 / STEP_S)):
        world.run(STEP_S)
        assert world.request(owner, KEY, 0.01)
