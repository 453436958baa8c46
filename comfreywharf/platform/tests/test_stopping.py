"""A node that shuts down, and requests that its peers forward to it."""

import gevent

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
