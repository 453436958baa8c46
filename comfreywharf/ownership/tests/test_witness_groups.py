"""The number of witnesses of a lease, and the effect of their loss."""

import attrs

from comfreywharf.ownership.tests import sim_node
from comfreywharf.ownership.tests.builders import KEYS, make_world

KEY = KEYS[0]


def make_world_of_five(monkeypatch, count):
    """Return a world whose leases have five witnesses where there are enough."""
    terms = attrs.evolve(sim_node.TERMS, witnesses=5)
    monkeypatch.setattr(sim_node, "TERMS", terms)
    return make_world(count=count)


def test_two_lost_witnesses_of_five_leave_a_majority(monkeypatch):
    """Guards against unavailable keys after the loss of three machines in two seconds.

    An owner and two of its witnesses are lost at the same time. With three witnesses,
    only one would be left, and no node could take over the keys."""
    world = make_world_of_five(monkeypatch, count=8)
    standby = world.role("standby", KEY)
    witnesses = [w for w in world.witnesses_of(KEY) if w != standby]
    assert len(world.witnesses_of(KEY)) == 5
    for name in (world.role("owner", KEY), *witnesses[:2]):
        world.nodes[name].frozen = True
    world.run(4.0)
    assert world.served(KEY)


def test_small_deployment_has_three_witnesses(monkeypatch):
    """With four other members there can't be five witnesses, and four are no better."""
    world = make_world_of_five(monkeypatch, count=5)
    assert len(world.witnesses_of(KEY)) == 3
