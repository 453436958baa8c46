"""How many witnesses stand behind a lease, and what their loss does."""

import attrs

from comfreywharf.ownership.tests import sim_node
from comfreywharf.ownership.tests.builders import KEYS, make_world

KEY = KEYS[0]


def five(monkeypatch, count):
    """Return a world whose leases have five witnesses where there are enough."""
    terms = attrs.evolve(sim_node.TERMS, witnesses=5)
    monkeypatch.setattr(sim_node, "TERMS", terms)
    return make_world(count=count)


def test_two_lost_witnesses_of_five_leave_a_majority(monkeypatch):
    """Symptom: keys are dark after three machines went within two seconds.
    Sequence: an owner and two of its witnesses are lost at the same moment.
    Cause: of three witnesses one was left, and nobody could take the keys over."""
    world = five(monkeypatch, count=8)
    standby = world.role("standby", KEY)
    witnesses = [w for w in world.witnesses_of(KEY) if w != standby]
    assert len(world.witnesses_of(KEY)) == 5
    for name in (world.role("owner", KEY), *witnesses[:2]):
        world.nodes[name].frozen = True
    world.run(4.0)
    assert world.served(KEY)


def test_a_small_deployment_has_three(monkeypatch):
    """With four other members a group of five can't be had, and four are no better."""
    world = five(monkeypatch, count=5)
    assert len(world.witnesses_of(KEY)) == 3
