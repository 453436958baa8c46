"""The whole path with real processes: caller, ingress, owner, backend server."""

import pytest

from comfreywharf_dev.standins.cluster import Cluster
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("whole-path")
    with Cluster(folder, riga_plans(booking=3, files=1)) as running:
        running.submit(riga_services())
        running.wait_owned("booking")
        yield running


@pytest.mark.parametrize("node_id", ["booking-1", "booking-2", "booking-3", "files-1"])
def test_any_node_serves_any_key(cluster, node_id):
    """A request reaches the owner of its key through any ingress node."""
    servers = set()
    for _ in range(3):
        status, headers, answer = cluster.call(node_id, "/booking/book", key="vesta")
        assert (status, headers["Comfreywharf-Outcome"]) == (200, "answered")
        assert answer["key"] == "vesta"
        servers.add(answer["server"])
    assert len(servers) == 1


def test_an_answered_booking_is_applied_once(cluster):
    """An answered booking is applied once."""
    _, headers, _ = cluster.call("booking-1", "/booking/book", key="once")
    request_id = headers["Comfreywharf-Request-Id"]
    applied = [e for e in cluster.effects() if e["request_id"] == request_id]
    assert len(applied) == 1
