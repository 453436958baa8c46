"""Callers that send without end to a node with the project's own protocol."""

import pytest

from comfreywharf_dev.standins.cluster import Cluster
from comfreywharf_dev.standins.crowd import Crowd, peak_memory_mb
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

NODE = "files-1"
MEMORY_MB = 128
FLOOD_BYTES = 40 << 20

CHUNKED = (
    b"POST /files/upload HTTP/1.1\r\nHost: x\r\nComfreywharf-Timeout-Ms: 60000\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
FLOODS = {
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "a chunk's extension": (CHUNKED + b"1;", b"x"),
    "a head": (b"GET /files/list HTTP/1.1\r\n", b"X-A: b\r\n"),
    "requests": (b"", b"GET /nothing/x HTTP/1.1\r\nHost: x\r\n\r\n"),
}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Yield a running cluster with one node for files."""
    folder = tmp_path_factory.mktemp("unruly")
    with Cluster(folder, riga_plans(booking=3, files=1)) as running:
        running.submit(riga_services())
        running.wait_owned("booking")
        yield running


@pytest.mark.parametrize("name", FLOODS)
def test_a_request_without_an_end_stops_nobody_else(cluster, name):
    """Guards against a node that serves one caller only, or runs out of memory."""
    plan = cluster.plans[NODE]
    start, block = FLOODS[name]
    with (
        Crowd(plan.node_process) as crowd,
        crowd.flood(plan.caller_port, start, block, 3, FLOOD_BYTES),
    ):
        status, headers, _ = cluster.call(NODE, "/booking/book", key="vesta")
    assert (status, headers["Comfreywharf-Outcome"]) == (200, "answered")
    assert plan.node_process.poll() is None
    assert peak_memory_mb(plan.node_process) <= MEMORY_MB
