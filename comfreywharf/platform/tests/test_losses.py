"""A small deployment under faults of nodes, servers and the store."""

import gevent

from comfreywharf.platform.tests.builders import configuration, wait_for


def test_keys_are_served_while_the_store_is_away(deployment):
    """Symptom: no key is served during an outage of the store.
    Sequence: the store answers nobody for several leases.
    Cause: a lease that is renewed through the store."""
    deployment.store.fault = "busy"
    gevent.sleep(4)
    assert all(deployment.ask(name).status == 200 for name in deployment.nodes)


def test_a_restarted_node_goes_on_beside_its_living_server(deployment):
    """Symptom: a key is held by two servers, or by none for good.
    Sequence: a node is killed beside its server, and comes back.
    Cause: the new process doesn't know what the earlier one granted."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    deployment.nodes[name].kill()
    deployment.start(name, "z0", server.service)
    wait_for(deployment.settled)
    wait_for(lambda: deployment.ask(deployment.elsewhere(7)).status == 200)
    assert server.refused_grants == 0


def test_a_node_that_restarts_while_the_store_is_away_hears_from_its_peers(deployment):
    """Symptom: a node refuses every request for 8 s, with no owner for any key.
    Sequence: it is killed and comes back while the store answers nobody.
    Cause: it knew no peer; those that asked it for news are no members of an empty
    state, and it asked none of them."""
    deployment.store.fault = "busy"
    name = deployment.elsewhere(7)
    deployment.nodes[name].kill()
    deployment.start(name, "z0", deployment.servers[name].service)
    wait_for(lambda: deployment.ask(name).status == 200)


def test_a_leaving_server_gets_nothing_after_its_bound(deployment):
    """Symptom: a server that drains still gets requests.
    Sequence: it says so while the store is away, so that no record can tell.
    Cause: only the record ended its work."""
    deployment.store.fault = "busy"
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.state = "draining"
    wait_for(lambda: deployment.nodes[name].closed_to_new_work)
    runs = len(server.headers)
    answers = [deployment.ask("n0").status for _ in range(20)]
    assert len(server.headers) == runs
    assert set(answers) <= {200, 503}


def test_a_grant_that_comes_late_brings_no_second_holder(deployment):
    """Symptom: a server holds keys that were released.
    Sequence: its grants get no answer and are carried out behind the release.
    Cause: the release was taken for the end of the hold."""
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
    """Symptom: a server is asked twice for each request, beyond the bound on retries.
    Sequence: its grants get no answer, and are carried out much later, if at all.
    Cause: a request was sent once its grant had been, whatever became of that."""
    name = deployment.holder(7)
    servers = deployment.servers.values()
    for server in servers:
        # Were the others to take grants, the keys would soon be served by one of them.
        server.lose_grants, server.grant_delay_s = 10_000, 60.0
    wait_for(lambda: not deployment.holders(7))
    gevent.sleep(0.1)
    before = [server.misdirected for server in servers]
    answers = [deployment.ask(name).status for _ in range(5)]
    assert answers == [503] * 5
    assert [server.misdirected for server in servers] == before


def test_all_killed_at_once_are_back_with_the_newest_configuration(deployment):
    """Symptom: after the loss of all processes nothing is served, or old routes.
    Sequence: a configuration is acknowledged, and all nodes are killed.
    Cause: state that only processes knew."""
    deployment.store.expire_records("comfreywharf")
    deployment.store.put("keyed.op", "config", configuration(version=8))
    for node in deployment.nodes.values():
        node.kill()
    for number, name in enumerate(list(deployment.nodes)):
        service = deployment.servers[name].service
        deployment.start(name, f"z{number % 3}", service)
    wait_for(lambda: all(deployment.ask(n).status == 200 for n in deployment.nodes))
    assert all(node.routes.version == 8 for node in deployment.nodes.values())


def test_a_server_that_was_replaced_unnoticed_can_still_leave(deployment):
    """Symptom: a leaving server gets new work for as long as it lives.
    Sequence: a server crashes and another instance begins at its address between
    two heartbeats, so that its port never refuses; later the new one says it drains.
    Cause: taking the new instance ended the old one by the same call that tells of
    a loss, and that ended the new one, whose every word was stale from then on."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.restart_as("i-second")
    wait_for(lambda: deployment.nodes[name].backend.announcement.instance == "i-second")
    wait_for(deployment.settled)
    server.state = "draining"
    wait_for(lambda: deployment.nodes[name].closed_to_new_work)
