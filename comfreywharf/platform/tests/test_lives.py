"""Servers that crash and are back at their address, as another life."""

import gevent
import pytest

from comfreywharf.platform.tests.builders import wait_for
from comfreywharf_dev.standins.platform_server import post


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
    server.heartbeats_off = True
    server.restart_as("i-second")
    gevent.sleep(2.0)
    server.heartbeats_off = False
    wait_for(lambda: deployment.nodes[name].backend is not None)
    wait_for(lambda: server.taken_by_this_incarnation())
    wait_for(deployment.settled)
    assert repeated_fences(server.taken) == []


def test_a_server_that_began_again_under_its_id_can_still_leave(deployment):
    """Symptom: a leaving server gets new work until it is gone.
    Sequence: a server crashes and begins again under its id, counting its heartbeats
    anew; then it says that it drains.
    Cause: a life was known by its id alone, and its low numbers were those of late
    heartbeats."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    wait_for(lambda: server.heartbeats_sent > 10)
    server.restart_as(server.instance)
    wait_for(lambda: server.taken_by_this_incarnation())
    wait_for(deployment.settled)
    server.state = "draining"
    wait_for(lambda: deployment.nodes[name].closed_to_new_work, timeout_s=4.0)


@pytest.mark.parametrize("born", ["1", True, 1.0, 1.5, -1, [], {}])
def test_a_heartbeat_with_a_damaged_start_names_no_server(deployment, born):
    """Symptom: a good server's heartbeats are refused from then on.
    Sequence: one whose start is of another type is taken, and compared with the next.
    Cause: the start was taken as it came."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    fields = {**server.heartbeat_fields(), "born": born, "sequence": 10**6}
    port = deployment.ports[name][3]
    assert post(port, f"/-/instances/{server.instance}/heartbeat", fields) == 400
    assert deployment.nodes[name].backend.announcement.life == server.incarnation


def test_a_late_deregistration_of_an_earlier_life_changes_nothing(deployment):
    """Symptom: a server that has just begun gets no work.
    Sequence: the deregistration of the life before it was held up on its way.
    Cause: it was taken for that of whichever life has the id."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    path = f"/-/instances/{server.instance}/deregister"
    port = deployment.ports[name][3]
    assert post(port, path, {"born": server.born_ms - 500}) == 200
    gevent.sleep(2.2)
    assert not deployment.nodes[name].closed_to_new_work
    assert post(port, path, {"born": server.born_ms}) == 200
    wait_for(lambda: deployment.nodes[name].closed_to_new_work)


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


def test_keys_whose_lease_cant_begin_anew_are_served_by_a_standby(deployment):
    """Symptom: keys are dark for as long as the store is away.
    Sequence: the store is away; a server's connections are all reset, so that its node
    may grant nothing more under the fences it has, and a new lease needs a record.
    Cause: the node went on asking its witnesses for the lease that it couldn't write
    down, and they let no standby claim it."""
    deployment.store.fault = "busy"
    nodes = deployment.nodes.values()
    wait_for(lambda: not any(node.follower.reachable for node in nodes))
    name = deployment.holder(7)
    deployment.servers[name].reset_connections()
    wait_for(lambda: deployment.holder(7) not in (None, name))
    wait_for(lambda: deployment.ask(deployment.elsewhere(7)).status == 200)


def test_a_lease_that_cant_begin_anew_is_taken_over_only_behind_its_last_grant(
    deployment,
):
    """Symptom: a standby's server holds keys for a second beside their owner's.
    Sequence: a server's connections are all closed, as when it drains, and its node
    gives the lease up for one with higher fences; the witnesses grant that one, and the
    store is away before it is written down, so that it is given up as well.
    Cause: the second time the witnesses weren't told until when the server still holds
    what it was granted, and let the standby begin at once.
    Evidence: the lines of a played day that broke the rule: given up at 23.52 s, again
    at 23.74 s, taken over at 23.75 s, two holders until the owner's last grant ended at
    24.71 s."""
    name = deployment.holder(7)

    def taken_over():
        assert len(deployment.holders(7)) <= 1
        return deployment.holder(7) not in (None, name)

    deployment.store.fault = "busy"
    deployment.servers[name].reset_connections()
    wait_for(taken_over)


def test_a_server_that_leaves_while_its_lease_begins_anew_gets_it_no_more(deployment):
    """Symptom: keys are dark at a leaving server. Sequence: its lease begins anew, and
    before it is held again the server leaves, so that the node gives the lease up.
    Cause: that passed for the surrender with which a lease begins anew."""
    name = deployment.holder(7)
    node = deployment.nodes[name]
    node.leases.begin_anew("test")
    node.close_to_new_work()
    gevent.sleep(0.5)
    assert node.leases.holder.phase == "surrendered"
    wait_for(lambda: deployment.holder(7) not in (None, name))


def repeated_fences(taken):
    """Return the grants whose fence isn't above all of another, earlier life's."""
    return [
        later
        for place, later in enumerate(taken)
        for earlier in taken[:place]
        if later.incarnation != earlier.incarnation
        and later.fence <= earlier.fence
        and later.first <= earlier.last
        and earlier.first <= later.last
    ]
