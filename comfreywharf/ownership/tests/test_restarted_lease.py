"""When a restarted lease is requested."""

from comfreywharf.ownership.tests.builders import KEYS, STEP_S, make_world

KEY = KEYS[0]


def restart_lease(node):
    """Restart a node's lease, as after its server's process changed."""
    now_s = node.now_s()
    node.carry_out(node.agent.surrender(node.state, "anew", now_s, now_s + 0.8))
    node.agent.recover()


def test_restarted_lease_is_requested_at_once():
    """Guards against unavailable keys, for up to a quarter of a lease after each
    restart in place and each reset of a server's connections.

    A renewal is sent, and shortly afterwards the lease restarts. The next request
    for it must not wait until the next renewal is due."""
    world = make_world(fenced=True)
    owner = world.nodes[world.role("owner", KEY)]
    while owner.agent.holder.renewal_due(owner.now_s()):
        world.run(STEP_S)
    restart_lease(owner)
    assert owner.agent.holder.renewal_due(owner.now_s())
