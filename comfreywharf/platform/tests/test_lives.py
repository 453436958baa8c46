"""Servers that crash and are back at their address, as another life."""

import gevent

from comfreywharf.platform.tests.builders import wait_for


def test_a_new_life_is_never_granted_what_an_earlier_one_had_under_its_fence(
    deployment,
):
    """Symptom: a key goes to a server that began 2 ms ago, under the very fence under
    which the one before it at that address had it.
    Sequence: a server crashes and another life begins at its address; before that
    one's first heartbeat the node renews what it had granted the first.
    Cause: an order goes to an address, and so to whoever listens there.
    Evidence: a played day with four such crashes broke the rule 178 times; the node's
    own lines name the crashed server until 32 ms after the first breach, and tell of
    nothing but refused connections for the second before it."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    first = server.instance
    server.mute = True
    server.begin_anew("i-second")
    gevent.sleep(2.0)
    server.mute = False
    wait_for(lambda: deployment.nodes[name].backend is not None)
    wait_for(lambda: any(t.instance == "i-second" for t in server.taken))
    wait_for(deployment.settled)
    assert repeated_fences(server.taken, first) == []


def test_the_keys_of_a_dead_server_are_served_before_its_heartbeats_are_missed(
    deployment,
):
    """Symptom: keys are dark for two seconds after a crash, while hundreds of requests
    to the server are refused at connecting.
    Sequence: a server crashes, and nothing listens at its port.
    Cause: only missed heartbeats led to a look at the port."""
    name = deployment.holder(7)
    deployment.nodes[name].ports.doubt_s = float("inf")
    deployment.servers[name].crash()
    wait_for(lambda: deployment.holder(7) not in (None, name))
    wait_for(lambda: deployment.ask(deployment.elsewhere(7)).status == 200)


def test_a_server_whose_connections_are_all_reset_keeps_its_keys_under_higher_fences(
    deployment,
):
    """Symptom: two servers hold a key, or none does for good.
    Sequence: every connection to a living server is reset at once.
    Cause: nothing tells it from a server that was started again, so its node may
    neither go on under the same fences nor take what it granted for over."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    before = max(grant.fence for grant in server.taken)
    server.reset_connections()
    for _ in range(100):
        gevent.sleep(0.02)
        assert len(deployment.holders(7)) <= 1
    wait_for(deployment.settled)
    assert any(grant.fence > before for grant in server.taken)
    assert server.refused_grants == 0


def repeated_fences(taken, first):
    """Return the grants of later lives whose fence isn't above all of the first's."""
    earlier = [grant for grant in taken if grant.instance == first]
    return [
        later
        for later in taken
        if later.instance != first
        and any(
            later.fence <= grant.fence
            and later.first <= grant.last
            and grant.first <= later.last
            for grant in earlier
        )
    ]
