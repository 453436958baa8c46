"""Servers that crash and restart at their address as another incarnation."""

import gevent
import pytest

from comfreywharf.platform.tests.builders import wait_for
from comfreywharf_dev.standins.platform_server import post


def test_no_incarnation_is_granted_a_key_under_an_earlier_ones_fence(
    deployment,
):
    """Guards against a server that is granted a key under its predecessor's fence.

    A server crashes and another incarnation starts at its address. Before its first
    heartbeat (in one case 2 ms after its start), the node renews what it had granted to
    the first one. An order goes to an address, and so to any server that listens there.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.heartbeats_off = True
    server.restart_as("i-second")
    gevent.sleep(2.0)
    server.heartbeats_off = False
    wait_for(lambda: deployment.nodes[name].backend is not None)
    wait_for(lambda: server.grants_of_this_incarnation())
    wait_for(deployment.each_key_has_one_holder)
    assert repeated_fences(server.accepted_grants) == []


def test_a_server_that_restarted_under_its_id_can_leave(deployment):
    """Guards against a leaving server that gets new work until it is gone.

    A server restarts under its id, with heartbeat numbers from the start, and later
    drains. If incarnations were distinguished by the id alone, its low numbers would
    count as those of late heartbeats.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    wait_for(lambda: server.heartbeats_sent > 10)
    server.restart_as(server.instance)
    wait_for(lambda: server.grants_of_this_incarnation())
    wait_for(deployment.each_key_has_one_holder)
    server.state = "draining"
    wait_for(lambda: deployment.nodes[name].closed_to_new_work, timeout_s=4.0)


@pytest.mark.parametrize("born", ["1", True, 1.0, 1.5, -1, [], {}])
def test_a_heartbeat_with_a_damaged_start_time_is_refused(deployment, born):
    """Guards against a server whose heartbeats are refused for good.

    A heartbeat has a start time of another type, which must not be stored and compared
    with that of the next heartbeat.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    fields = {**server.heartbeat_fields(), "born": born, "sequence": 10**6}
    port = deployment.ports[name][3]
    assert post(port, f"/-/instances/{server.instance}/heartbeat", fields) == 400
    assert deployment.nodes[name].backend.announcement.incarnation == server.incarnation


def test_a_late_deregistration_of_an_earlier_incarnation_changes_nothing(deployment):
    """Guards against a restarted server that gets no work.

    The deregistration of the earlier incarnation is delayed, and must not apply to any
    server with this id.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    path = f"/-/instances/{server.instance}/deregister"
    port = deployment.ports[name][3]
    assert post(port, path, {"born": server.born_ms - 500}) == 200
    gevent.sleep(2.2)
    assert not deployment.nodes[name].closed_to_new_work
    assert post(port, path, {"born": server.born_ms}) == 200
    wait_for(lambda: deployment.nodes[name].closed_to_new_work)


def test_the_keys_of_a_crashed_server_are_served_before_its_heartbeats_are_missed(
    deployment,
):
    """Guards against keys that are unavailable for two seconds after a crash.

    Nothing listens at the port of the crashed server, and hundreds of requests are
    refused a connection. These have to lead to a probe of the port as well as missed
    heartbeats.
    """
    name = deployment.holder(7)
    deployment.nodes[name].ports.check_port_after_s = float("inf")
    deployment.servers[name].crash()
    wait_for(lambda: deployment.holder(7) not in (None, name))
    wait_for(lambda: deployment.send_request(deployment.non_holder(7)).status == 200)


def test_a_server_whose_connections_are_all_reset_keeps_its_keys_under_higher_fences(
    deployment,
):
    """Guards against two holders of a key, or none for good.

    All connections to a running server are reset at once, as by a restart. Its node may
    neither continue with the same fences nor assume that its grants have ended.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    before = max(grant.fence for grant in server.accepted_grants)
    server.reset_connections()
    for _ in range(100):
        gevent.sleep(0.02)
        assert len(deployment.holders(7)) <= 1
    wait_for(deployment.each_key_has_one_holder)
    assert any(grant.fence > before for grant in server.accepted_grants)
    assert server.refused_grants == 0


def test_keys_whose_lease_cant_be_reacquired_are_served_by_a_standby(deployment):
    """Guards against keys that are unavailable during an outage of the store.

    A server's connections are all reset, so that its node may grant nothing under the
    fences it has, and a new lease needs a record in the store. The node must stop
    renewing a lease that it can't record, or the witnesses let no standby claim it.
    """
    deployment.store.fault = "busy"
    nodes = deployment.nodes.values()
    wait_for(lambda: not any(node.follower.reachable for node in nodes))
    name = deployment.holder(7)
    deployment.servers[name].reset_connections()
    wait_for(lambda: deployment.holder(7) not in (None, name))
    wait_for(lambda: deployment.send_request(deployment.non_holder(7)).status == 200)


def test_a_lease_that_cant_be_reacquired_is_taken_over_after_its_last_grant(
    deployment,
):
    """Guards against keys that a standby's server holds for 1 s beside the owner's.

    A server's connections all close, as when it drains, and its node surrenders the
    lease to reacquire it with higher fences. The witnesses grant the new lease, but the
    store is unavailable before it is recorded, so that it is surrendered as well. Both
    times the witnesses have to be notified until when the server's grants last.
    Otherwise the standby claims the lease at once: in one case, 0.96 s before the
    owner's last grant ended.
    """
    name = deployment.holder(7)

    def taken_over():
        assert len(deployment.holders(7)) <= 1
        return deployment.holder(7) not in (None, name)

    deployment.store.fault = "busy"
    deployment.servers[name].reset_connections()
    wait_for(taken_over)


def test_a_lease_isnt_reacquired_for_a_server_that_leaves_meanwhile(deployment):
    """Guards against unavailable keys at a leaving server.

    A lease is being reacquired, and before it is held again the server leaves, so that
    the node surrenders it. That must not count as the surrender with which a lease is
    reacquired.
    """
    name = deployment.holder(7)
    node = deployment.nodes[name]
    node.leases.reacquire("test")
    node.close_to_new_work()
    gevent.sleep(0.5)
    assert node.leases.holder.phase == "surrendered"
    wait_for(lambda: deployment.holder(7) not in (None, name))


def repeated_fences(taken):
    """Return the grants whose fence isn't above an earlier incarnation's.

    Only grants with overlapping ranges are compared.
    """
    return [
        later
        for index, later in enumerate(taken)
        for earlier in taken[:index]
        if later.incarnation != earlier.incarnation
        and later.fence <= earlier.fence
        and later.first <= earlier.last
        and earlier.first <= later.last
    ]
