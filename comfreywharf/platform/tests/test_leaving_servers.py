"""Requests to a server that says in its answers that it leaves."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import wait_for

DRAIN_S = 2.0
OBSERVED_S = 1.5


def runs_since(deployment, name, since_s):
    """Return the requests that a server began after a time."""
    instance = f"i-{name}"
    return [
        run
        for run in deployment.ledger
        if run.instance == instance and run.began_s > since_s
    ]


def keep_sending(deployment, path, key, until_s):
    """Send requests to all nodes in turn until a time."""
    while boottime_s() < until_s:
        for name in deployment.nodes:
            deployment.send_request(name, path, key)
        gevent.sleep(0.05)


def test_a_server_that_says_it_leaves_gets_nothing_after_its_bound(deployment):
    """Guards against requests to a server that reports its leaving in answers only."""
    deployment.servers["n3"].says_leaving = True
    assert deployment.send_request("n0", "/stock/1", None).status == 200
    bound_s = boottime_s() + DRAIN_S
    keep_sending(deployment, "/stock/1", None, bound_s + OBSERVED_S)
    assert not runs_since(deployment, "n3", bound_s)


def test_keys_of_a_server_that_says_it_leaves_move_to_others(deployment):
    """Guards against callers who are refused for the keys of a leaving server."""
    key = 7
    owner = deployment.holder(key)
    deployment.servers[owner].says_leaving = True
    deployment.send_request(owner, "/look/1", key)
    bound_s = boottime_s() + DRAIN_S
    keep_sending(deployment, "/look/1", key, bound_s + OBSERVED_S)
    assert not runs_since(deployment, owner, bound_s)
    other = next(name for name in deployment.nodes if name not in (owner, "n3"))
    assert deployment.send_request(other, "/look/1", key).status == 200


def test_a_node_that_restarts_beside_a_leaving_server_hears_it_from_callers(deployment):
    """Guards against a new process that has not seen the answers of its server.

    The node where the request begins has passed one on, and stays bound by it.
    """
    server = deployment.servers["n3"]
    server.says_leaving = True
    assert deployment.send_request("n0", "/stock/1", None).status == 200
    bound_s = boottime_s() + DRAIN_S
    server.says_leaving = False
    deployment.nodes["n3"].kill()
    deployment.start("n3", "z0", "stock")
    gevent.sleep(max(0.0, bound_s - boottime_s()))
    wait_for(lambda: deployment.nodes["n3"].backend is not None)
    end_s = boottime_s() + OBSERVED_S
    while boottime_s() < end_s:
        assert deployment.send_request("n0", "/stock/1", None).status == 503
    assert not runs_since(deployment, "n3", bound_s)
