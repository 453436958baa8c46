"""A node that shuts down, and requests that its peers forward to it."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import wait_for

GRACE_S = 3.0


def test_a_stopping_node_starts_no_request_of_its_peers(deployment):
    """Guards against a request that the shutdown of its server's node cuts off.

    While the store is unavailable, its peers aren't notified that the node stops.
    """
    node = deployment.nodes["n3"]
    deployment.store.fault = "busy"
    stopping = gevent.spawn(node.stop_within, GRACE_S, node.ports.caller_server)
    wait_for(lambda: node.finishing)
    answer = deployment.send_request(
        "n0", "/stock/1", key=None, method="POST", body=b"b"
    )
    assert answer.status == 503
    assert not any(run.instance == "i-n3" for run in deployment.ledger)
    stopping.join()


def test_a_request_that_a_stopping_node_accepts_is_answered_before_its_end(deployment):
    """Guards against callers that are cut off since a server was busy for too long."""
    deployment.allow_long_requests()
    node, server = deployment.nodes["n0"], deployment.servers["n3"]
    server.may_finish.clear()
    start_s = boottime_s()
    stopping = gevent.spawn(node.stop_within, GRACE_S, node.ports.caller_server)
    wait_for(lambda: node.stopping)
    answer = deployment.send_request("n0", "/stock/1", None, X_Deadline_Ms="9000")
    answered_s = boottime_s()
    assert answer.status in {503, 504}
    # The platform ends the process after the grace period. A node without running
    # requests ends by itself right after the last answer.
    assert answered_s < start_s + GRACE_S
    server.may_finish.set()
    stopping.join()
