"""Backend servers whose health and load reports are wrong."""

import pytest

from comfreywharf_dev.standins.cluster import Cluster, http_json
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

REQUESTS = 90


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("wrong-reports")
    with Cluster(folder, riga_plans(booking=0, files=3)) as running:
        running.submit(riga_services())
        running.wait_members("files", 3)
        yield running


def switch(cluster, node_id, **switches):
    """Set the fault switches of a backend server."""
    port = cluster.plans[node_id].server_port
    assert http_json(port, "POST", "/switches", switches)[0] == 200


def send_requests(cluster, via):
    """Send requests through a node; return the statuses and the answering servers."""
    answers = [cluster.call(via, "/files/look", method="GET") for _ in range(REQUESTS)]
    statuses = [status for status, _, _ in answers]
    servers = [answer.get("server") for status, _, answer in answers if status == 200]
    return statuses, servers


def test_a_failing_server_with_good_health_reports_is_avoided(cluster):
    """A server that fails requests is avoided though it reports good health.

    Guards against relying on the health endpoint rather than on the node's own
    measurements: with one of three servers failing each request, a third of all
    requests would fail for as long as it runs.
    """
    switch(cluster, "files-2", failing=True, health_lies=True)
    port = cluster.plans["files-2"].server_port
    assert http_json(port, "GET", "/health")[2]["healthy"] is True
    statuses, _ = send_requests(cluster, "files-1")
    switch(cluster, "files-2", failing=False, health_lies=False)
    assert statuses.count(500) < REQUESTS / 6


def test_a_slow_server_that_reports_no_load_is_avoided(cluster):
    """A load report frozen at zero doesn't attract requests to a slow server.

    Guards against preferring the load report to the node's own counts, so that the
    slowest server gets most of the requests. A server becomes slow while its load
    endpoint keeps reporting zero.
    """
    switch(cluster, "files-3", slow_factor=30.0, load_frozen=0.0)
    port = cluster.plans["files-3"].server_port
    assert http_json(port, "GET", "/load")[2]["busy_fraction"] == 0
    _, servers = send_requests(cluster, "files-2")
    switch(cluster, "files-3", slow_factor=1.0, load_frozen=-1.0)
    assert len(servers) == REQUESTS
    assert servers.count("server-files-3") < REQUESTS / 6
