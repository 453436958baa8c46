"""Takeover of a lost owner's keys, with real processes."""

import pytest

from comfreywharf_dev.standins.cluster import Cluster, http_json, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

KEY = "vesta"


@pytest.mark.parametrize("log_down", [False, True])
def test_killed_owners_keys_are_served_again(tmp_path, log_down):
    """A killed owner's keys are served again by its standby.

    Guards against a takeover that needs the log, so that keys stay without an owner
    after a VM is lost: no node may take the keys over before the lease has expired.
    The owner's node and server are killed, with the log up or down.
    """
    with Cluster(tmp_path, riga_plans(booking=3, files=1)) as cluster:
        cluster.submit(riga_services())
        cluster.wait_standbys_ready("booking")
        _, _, answer = cluster.call("files-1", "/booking/book", key=KEY)
        owner = answer["server"].removeprefix("server-")
        if log_down:
            http_json(cluster.log_port, "POST", "/switches", {"down": True})
        cluster.plans[owner].node_process.kill()
        cluster.plans[owner].server_process.kill()

        def served_again():
            status, _, again = cluster.call("files-1", "/booking/book", key=KEY)
            return status == 200 and again["server"] != answer["server"]

        wait_until(served_again, 20)
