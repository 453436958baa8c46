"""A request that crashes backend servers while harmless ones are in flight."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from comfreywharf_dev.standins.cluster import Cluster, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

RESENDS = 50
HARMLESS_REQUESTS = 4
WAIT_S = 20.0


def crashed(cluster):
    """Return the ids of the nodes whose backend servers crashed."""
    return [
        node_id
        for node_id, plan in cluster.plans.items()
        if plan.server_process.poll() is not None
    ]


def has_all_members(cluster, node_id):
    """Return whether a node's state has every member."""
    return len(cluster.state(node_id)["members"]) == len(cluster.plans)


def send_crashing(cluster, service, number):
    """Send the crashing request through the next node.

    Return its status, reason and headers.
    """
    node_id = list(cluster.plans)[number % len(cluster.plans)]
    status, headers, _ = cluster.call(node_id, f"/{service}/crash", key="poisonous")
    return status, headers.get("Comfreywharf-Reason"), headers


def send_harmless(cluster, service, number, work_ms):
    """Send a harmless request with its own key and path; return status and reason."""
    node_id = list(cluster.plans)[-1]
    path = f"/{service}/look?name=innocent-{number}&work_ms={work_ms}"
    status, headers, _ = cluster.call(node_id, path, key=f"innocent-{number}")
    return status, headers.get("Comfreywharf-Reason")


def is_quarantined(cluster, service, number):
    """Return whether a node quarantines the crashing request."""
    return send_crashing(cluster, service, number)[1] == "quarantined"


@pytest.mark.parametrize("service", ["files", "booking"])
def test_a_crashing_request_stops_few_servers_and_no_harmless_request(
    tmp_path, service
):
    """Fifty resends crash at most three servers, and no harmless request is refused.

    Guards against one request that crashes server after server because nodes don't
    share the quarantine, and against harmless requests that are quarantined with it.
    The crashing request is sent while others are in flight at the same server, and
    is sent again through the next node each time.
    """
    plans = riga_plans(**{"booking": 0, "files": 0, service: 5})
    with (
        Cluster(tmp_path, plans) as cluster,
        ThreadPoolExecutor(HARMLESS_REQUESTS) as pool,
    ):
        cluster.submit(riga_services())
        for node_id in cluster.plans:
            wait_until(
                lambda node_id=node_id: has_all_members(cluster, node_id), WAIT_S
            )
        if service == "booking":
            cluster.wait_owned(service)
        in_flight = [
            pool.submit(send_harmless, cluster, service, number, 300)
            for number in range(HARMLESS_REQUESTS)
        ]
        resends = itertools.count()
        wait_until(lambda: is_quarantined(cluster, service, next(resends)), WAIT_S)
        for number in range(RESENDS):
            status, reason, headers = send_crashing(cluster, service, number)
            assert (status, reason) == (503, "quarantined")
            assert int(headers["Retry-After"]) > 0
        assert 1 <= len(crashed(cluster)) <= 3
        for number, first in enumerate(in_flight):
            first.result()
            again = (cluster, service, number, 300)
            wait_until(lambda again=again: send_harmless(*again)[0] == 200, WAIT_S)
