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
