"""Work at the backend servers that takes longer than the shortest lease."""

import pytest
from gevent.pool import Pool

from comfreywharf.platform.tests.builders import Deployment, configuration, wait_for

WORK_S = 1.7
KEYS = range(0, 65536, 8192)
ROUNDS = 3


def set_long_targets(deployment, version=2):
    document = configuration(version)
    for route in document["routes"].values():
        route.update(timeout="9000ms", targetLatency="2000ms")
    document["services"]["booking"]["grants"] = deployment.grants
    deployment.store.put("keyed.op", "config", document)
    nodes = deployment.nodes.values()
    wait_for(lambda: all(node.routes.version == version for node in nodes))


def ask_all(deployment):
    """Return the statuses of one request for each of some keys, sent at once."""

    def ask(key):
        answer = deployment.send_request("n0", key=key, X_Deadline_Ms="8000")
        return answer.status

    return Pool(len(KEYS)).map(ask, KEYS)


@pytest.mark.parametrize("grants", ["direct", "heartbeat"])
def test_work_longer_than_the_shortest_lease_is_finished(tmp_path, grants):
    """Guards against bookings that end with 500 since their server's hold was over."""
    with Deployment(tmp_path, grants=grants) as deployment:
        set_long_targets(deployment)
        for server in deployment.servers.values():
            server.work_s = WORK_S
        for _ in range(ROUNDS):
            ask_all(deployment)
        assert ask_all(deployment) == [200] * len(KEYS)
