"""Requests to a server that reports that it is cold."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import configuration, wait_for

COLD_PER_S = 6
REQUESTS = 60


def make_cold(deployment, name):
    """Have a server report that it is cold, and its service what it bears."""
    document = configuration(version=2)
    for service in document["services"].values():
        service["coldPerS"] = COLD_PER_S
    deployment.store.put("keyed.op", "config", document)
    nodes = deployment.nodes.values()
    wait_for(lambda: all(node.routes.version == 2 for node in nodes))
    deployment.servers[name].cold_s = 60.0
    limit = deployment.nodes[name].load.cold
    wait_for(lambda: limit.is_cold(boottime_s()))


def test_a_bound_that_is_received_after_the_heartbeat_holds_at_once(deployment):
    """Guards against a new node whose cold server is unbounded for a heartbeat."""
    server, node = deployment.servers["n3"], deployment.nodes["n3"]
    server.cold_s = 60.0
    wait_for(lambda: node.load.cold._cold_until_s > boottime_s())
    server.heartbeats_off = True
    document = configuration(version=2)
    document["services"]["stock"]["coldPerS"] = COLD_PER_S
    deployment.store.put("keyed.op", "config", document)
    wait_for(lambda: node.routes.version == 2)
    assert node.load.cold.is_cold(boottime_s())
    assert [e for e in node.events.since(0) if e.name == "backend_cold"]


def most_allowed(elapsed_s):
    """Return how many requests a cold server may have got within some seconds."""
    return COLD_PER_S * (elapsed_s + 1)


def flood(deployment, path, key):
    """Send requests to all nodes at once; return the answers and the seconds taken."""
    began_s = boottime_s()
    names = list(deployment.nodes)
    tasks = [
        gevent.spawn(
            deployment.send_request,
            names[number % len(names)],
            path,
            key,
            X_Deadline_Ms="900",
        )
        for number in range(REQUESTS)
    ]
    gevent.joinall(tasks, raise_error=True)
    return [task.value for task in tasks], boottime_s() - began_s


def test_a_cold_server_gets_no_more_than_it_bears(deployment):
    """Guards against servers that join, crash under their load, and come back cold."""
    make_cold(deployment, "n3")
    answers, elapsed_s = flood(deployment, "/stock/1", None)
    ran = [run for run in deployment.ledger if run.instance == "i-n3"]
    assert 0 < len(ran) <= most_allowed(elapsed_s)
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)


def test_an_owner_bounds_the_requests_for_its_keys_while_its_server_is_cold(deployment):
    """Guards against the same where only one server may serve a key."""
    key = 7
    owner = deployment.holder(key)
    make_cold(deployment, owner)
    _, elapsed_s = flood(deployment, "/look/1", key)
    ran = [run for run in deployment.ledger if run.instance == f"i-{owner}"]
    assert 0 < len(ran) <= most_allowed(elapsed_s)


def test_callers_avoid_a_server_whose_reply_tells_that_it_is_cold(deployment):
    """The node beside a cold server tells the others, who choose among its service."""
    make_cold(deployment, "n3")
    deployment.send_request("n0", "/stock/1", None)
    group = deployment.nodes["n0"].load.members._services["stock"]
    assert group.members["n3"].is_cold(boottime_s())
