"""A small deployment under faults of nodes, servers and the store."""

import gevent

from comfreywharf.platform.tests.builders import configuration, wait_for


def test_keys_are_served_during_an_outage_of_the_store(deployment):
    """Guards against unavailable keys during an outage of the store.

    The store answers no node for the time of several leases, which must not be renewed
    through the store.
    """
    deployment.store.fault = "busy"
    gevent.sleep(4)
    assert all(deployment.send_request(name).status == 200 for name in deployment.nodes)


def test_a_restarted_node_continues_beside_its_server_with_orders(deployment):
    """Guards against two holders of a key, or none for good.

    A node is killed and restarts while its server runs on. The new process has no
    record of what the earlier one granted.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    deployment.nodes[name].kill()
    deployment.start(name, "z0", server.service)
    wait_for(deployment.each_key_has_one_holder)
    wait_for(lambda: deployment.send_request(deployment.non_holder(7)).status == 200)
    assert server.refused_grants == 0


def test_a_node_that_restarts_during_an_outage_of_the_store_queries_its_peers(
    deployment,
):
    """Guards against a node that has no record of owners and refuses requests for 8 s.

    It restarts while the store is unavailable, so that its state is empty and has no
    peers. Nodes that request records from it aren't members in this state, but it has
    to query them nevertheless.
    """
    deployment.store.fault = "busy"
    name = deployment.non_holder(7)
    deployment.nodes[name].kill()
    deployment.start(name, "z0", deployment.servers[name].service)
    wait_for(lambda: deployment.send_request(name).status == 200)


def test_a_draining_server_gets_no_requests_after_its_bound(deployment):
    """Guards against requests to a server that drains.

    It reports this during an outage of the store, so that no record can announce it.
    """
    deployment.store.fault = "busy"
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.state = "draining"
    wait_for(lambda: deployment.nodes[name].closed_to_new_work)
    runs = len(server.headers)
    answers = [deployment.send_request("n0").status for _ in range(20)]
    assert len(server.headers) == runs
    assert set(answers) <= {200, 503}


def test_a_late_grant_leads_to_no_second_holder(deployment):
    """Guards against a server that holds keys which were released.

    Its grants get no answer and are executed after the release, which therefore doesn't
    prove the end of the hold.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.lose_grants = 30
    gevent.sleep(0.6)
    server.state = "draining"
    for _ in range(150):
        gevent.sleep(0.02)
        assert len(deployment.holders(7)) <= 1
    wait_for(lambda: deployment.holder(7) not in (None, name))


def test_no_request_is_sent_to_a_server_that_has_no_grant_for_it(deployment):
    """Guards against two attempts for each request, beyond the bound on retries.

    Grants get no answer and are executed much later, if at all. Requests must not be
    sent before a grant is acknowledged.
    """
    name = deployment.holder(7)
    servers = deployment.servers.values()
    for server in servers:
        # If the other servers took grants, one of them would soon serve the keys.
        server.lose_grants, server.grant_delay_s = 10_000, 60.0
    wait_for(lambda: not deployment.holders(7))
    gevent.sleep(0.1)
    before = [server.misdirected for server in servers]
    answers = [deployment.send_request(name).status for _ in range(5)]
    assert answers == [503] * 5
    assert [server.misdirected for server in servers] == before


def test_nodes_that_are_all_killed_restart_with_the_newest_configuration(deployment):
    """Guards against outdated routes, or none, after the loss of all processes.

    A configuration is acknowledged and all nodes are killed, so that no state is left
    that only processes had.
    """
    deployment.store.expire_records("comfreywharf")
    deployment.store.put("keyed.op", "config", configuration(version=8))
    for node in deployment.nodes.values():
        node.kill()
    for number, name in enumerate(list(deployment.nodes)):
        service = deployment.servers[name].service
        deployment.start(name, f"z{number % 3}", service)
    wait_for(
        lambda: all(deployment.send_request(n).status == 200 for n in deployment.nodes)
    )
    assert all(node.routes.version == 8 for node in deployment.nodes.values())


def test_a_server_that_was_replaced_unnoticed_can_still_leave(deployment):
    """Guards against a leaving server that gets new work for as long as it runs.

    A server crashes and another instance starts at its address between two heartbeats,
    so that its port never refuses; the new one drains later. Replacing the old instance
    must not report a loss of the new one, whose heartbeats would all count as stale.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.restart_as("i-second")
    wait_for(lambda: deployment.nodes[name].backend.announcement.instance == "i-second")
    wait_for(deployment.each_key_has_one_holder)
    server.state = "draining"
    wait_for(lambda: deployment.nodes[name].closed_to_new_work)
