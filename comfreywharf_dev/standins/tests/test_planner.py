"""The planner with real processes: join, drain, and the loss of the planner."""

import pytest

from comfreywharf.daemon.records.follower import new_record_id
from comfreywharf.records import DrainChanged
from comfreywharf_dev.standins.cluster import Cluster, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

WAIT_S = 30.0


def owners(cluster, seen_by):
    """Return how many slices of the booking service each node owns."""
    counts = {}
    for slice_ in cluster.state(seen_by)["slices"]["booking"]["slices"]:
        counts[slice_["owner"]] = counts.get(slice_["owner"], 0) + 1
    return counts


def test_a_joining_node_gets_slices_and_a_drained_one_loses_all(tmp_path):
    """The new node gets some slices, and the rest when the first node is drained."""
    first, second, *witnesses = riga_plans(booking=2, files=4)
    with Cluster(tmp_path, [first, *witnesses]) as cluster:
        cluster.submit(riga_services())
        cluster.wait_owned("booking")
        cluster.join(second)
        wait_until(lambda: owners(cluster, "booking-1").get("booking-2"), WAIT_S)
        cluster.append(
            DrainChanged(
                record_id=new_record_id(),
                node_id="booking-1",
                draining=True,
                author="operator",
            )
        )
        wait_until(lambda: "booking-1" not in owners(cluster, "booking-2"), WAIT_S)
        assert owners(cluster, "booking-2") == {"booking-2": 32}


def test_another_node_plans_after_the_planner_is_killed(tmp_path):
    """A survivor starts a new term, and the new planner's records take effect.

    Guards against a planner that isn't replaced, and against a new planner whose term
    is refused: after the planner is killed, no slice would be moved or get a new
    standby.
    """
    with Cluster(tmp_path, riga_plans(booking=3, files=3)) as cluster:
        cluster.submit(riga_services())
        cluster.wait_owned("booking")
        before = cluster.state("booking-1")
        lost = before["planner_id"]
        cluster.plans[lost].node_process.kill()
        left = next(node_id for node_id in cluster.plans if node_id != lost)
        wait_until(lambda: cluster.state(left)["planner_id"] != lost, WAIT_S)
        assert cluster.state(left)["planner_term"] > before["planner_term"]
        wait_until(lambda: not slices_with_standby(cluster, left, lost), WAIT_S)


def slices_with_standby(cluster, seen_by, node_id):
    """Return the slices whose standby is a node."""
    slices = cluster.state(seen_by)["slices"]["booking"]["slices"]
    return [slice_ for slice_ in slices if slice_["standby"] == node_id]
