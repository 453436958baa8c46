"""How soon a lease that begins anew is asked for."""

from comfreywharf.ownership.tests.builders import KEYS, STEP_S, make_world

KEY = KEYS[0]


def begin_anew(node):
    """Have a node's lease begin anew, as after its server's process changed."""
    now_s = node.now_s()
    node.carry_out(node.agent.surrender(node.state, "anew", now_s, now_s + 0.8))
    node.agent.recover()


def test_a_lease_that_begins_anew_is_asked_for_at_once():
    """Symptom: keys are dark for up to a quarter of a lease after each restart in
    place and each reset of a server's connections.
    Sequence: a renewal is sent; a moment later the lease begins anew.
    Cause: the next request for it waits for the time of the next renewal."""
    world = make_world(fenced=True)
    owner = world.nodes[world.role("owner", KEY)]
    while owner.agent.holder.due(owner.now_s()):
        world.run(STEP_S)
    begin_anew(owner)
    assert owner.agent.holder.due(owner.now_s())
