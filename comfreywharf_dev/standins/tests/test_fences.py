"""Backend servers that check fences, with real processes."""

import signal

import pytest

from comfreywharf_dev.standins.cluster import Cluster, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

KEY = "vesta"


def test_servers_that_check_fences_serve_under_their_grants(tmp_path):
    """A server that checks fences serves its keys, also after a takeover.

    Guards against a node that forwards under a fence that it never granted, so that
    the server refuses every request. The owner's node freezes and its keys move to
    the standby's server while callers book.
    """
    plans = riga_plans(booking=3, files=1, checks_fences=True)
    with Cluster(tmp_path, plans) as cluster:
        cluster.submit(riga_services())
        cluster.wait_owned("booking")
        status, _, answer = cluster.call("files-1", "/booking/book", key=KEY)
        assert status == 200
        owner = answer["server"].removeprefix("server-")
        cluster.plans[owner].node_process.send_signal(signal.SIGSTOP)

        def served_again():
            status, _, again = cluster.call("files-1", "/booking/book", key=KEY)
            return status == 200 and again["server"] != answer["server"]

        wait_until(served_again, 20)
        cluster.plans[owner].node_process.send_signal(signal.SIGCONT)
        fences = [effect["fence"] for effect in cluster.effects()]
        assert fences == sorted(fences)
