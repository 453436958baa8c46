"""Node processes while their log service is down or truncated."""

import signal

import pytest

from comfreywharf.records import DrainChanged, ServiceConfig
from comfreywharf_dev.standins.cluster import (
    Cluster,
    http_json,
    wait_listening,
    wait_until,
)
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("log-outage")
    with Cluster(folder, riga_plans(booking=3, files=1)) as running:
        running.submit(riga_services(slices=6))
        running.wait_owned("booking")
        yield running


def switch(cluster, **switches):
    http_json(cluster.log_port, "POST", "/switches", switches)


def book(cluster, node_id, key):
    status, headers, _ = cluster.call(node_id, "/booking/book", key=key)
    return status, headers["Comfreywharf-Outcome"]


def test_owned_keys_are_served_while_the_log_is_down(cluster):
    """Owned keys are served while the log is down.

    Guards against leases or routes to owners that depend on the log, so that bookings
    are refused for as long as it is down. Callers book through every node for longer
    than a lease lasts.
    """
    switch(cluster, down=True)
    wait_until(lambda: not cluster.status("booking-1")["log_reachable"], 10)
    for number in range(60):
        node_id = f"booking-{number % 3 + 1}"
        assert book(cluster, node_id, f"bride-{number}") == (200, "answered")
    switch(cluster, down=False)
    wait_until(lambda: cluster.status("booking-1")["log_reachable"], 10)


def test_services_and_owners_survive_a_rolling_restart_after_truncation(cluster):
    """Services and owners survive a rolling restart after the log was truncated.

    Guards against nodes that start only from the records that the log still has. The
    log keeps 40 records, so that the record of the configuration expires, and each
    node is killed and replaced in turn.
    """
    version = cluster.status("booking-1")["config_version"]
    switch(cluster, retention_records=40)
    for number in range(80):
        cluster.append(
            DrainChanged(
                record_id=f"fill-{number}", node_id="none", draining=False, author="x"
            )
        )
    for node_id in list(cluster.plans):
        first = http_json(cluster.log_port, "GET", "/streams/comfreywharf?from=0")
        first_offset = first[2]["first"]
        wait_until(
            lambda at=first_offset: any(
                cluster.state(n)["snapshot_offset"] >= at for n in cluster.plans
            ),
            20,
        )
        process = cluster.plans[node_id].node_process
        process.send_signal(signal.SIGKILL)
        process.wait()
        cluster.start_node(node_id)
        wait_listening(cluster.plans[node_id].caller_port)
        cluster.wait_owned("booking")
        assert cluster.status(node_id)["config_version"] == version
    assert first_offset > 10
    service = ServiceConfig(name="stock", divided_by_key=False)
    cluster.submit({"stock": service}, base_version=version)
    for node_id in cluster.plans:
        wait_until(
            lambda n=node_id: cluster.status(n)["config_version"] == version + 1, 10
        )
        assert book(cluster, node_id, "bride") == (200, "answered")
