"""Nodes and backend servers leave, return and are replaced, planned or not."""

import pytest

from comfreywharf_dev.failures.callers import Callers
from comfreywharf_dev.failures.invariants import ToldOutcome
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    others_than,
    owns,
    pick_owner,
    running_cluster,
    start_long,
    violations,
)
from comfreywharf_dev.standins.cluster import NodePlan, wait_until

pytestmark = pytest.mark.processes


def test_graceful_stop_under_load(tmp_path):
    """A planned stop cuts and refuses no request, and its keys go on elsewhere.

    Symptom: callers see errors at each deployment. Sequence: callers book; one
    request takes long; the owner's node is told to stop. Cause: the node closes
    its ports, or gives its keys up, with requests in progress, or the ingress
    refuses in the gap.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            long = [
                start_long(cluster, node_id, key) for node_id in (owner, survivors[0])
            ]
            cluster.terminate_node(owner)
            told = [one.get() for one in long]
            callers.wait_served()
            cluster.plans[owner].node_process.wait(20)
            callers.wait_served()
        told += callers.told
        refused = [one for one in told if one.outcome is not ToldOutcome.ANSWERED]
        assert refused == []
        assert violations(cluster, told) == []


def test_planned_stop_during_a_log_outage(tmp_path):
    """A node that is drained while the log is down still cuts nothing.

    Symptom: requests in progress are cut, or the keys stay dark until the log is
    back. Sequence: the log is down; the owner is told to stop; its keys can't be
    moved by a record. Cause: the node waits for the log for ever, or ends with
    its lease held.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.set_log_switches(down=True)
            long = start_long(cluster, survivors[0], key)
            cluster.terminate_node(owner)
            told = long.get()
            cluster.plans[owner].node_process.wait(30)
            callers.wait_served()
            cluster.set_log_switches(down=False)
            callers.wait_served()
        assert told.outcome is ToldOutcome.ANSWERED
        assert violations(cluster, [*callers.told, told]) == []


def test_drained_node_gets_no_new_work(tmp_path):
    """A drained node's keys move, and its server gets no more work.

    Symptom: a server that is leaving gets work for good. Sequence: an operator
    drains a node; callers go on. Cause: nobody moves its keys, or an ingress
    goes on with an old route.
    """
    with running_cluster(tmp_path) as cluster:
        owner, _, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS) as callers:
            callers.wait_served()
            cluster.drain(owner)
            wait_until(lambda: not owns(cluster, survivors[0], owner), 20)
            callers.wait_served()
            before = count_of(cluster, owner)
            callers.wait_served()
        assert count_of(cluster, owner) == before
        assert violations(cluster, callers.told) == []


def count_of(cluster, node_id):
    """Return how many effects a node's backend server applied."""
    name = cluster.plans[node_id].server_name
    return sum(1 for one in cluster.effects() if one["server"] == name)


def test_all_nodes_replaced_one_after_another(tmp_path):
    """Once every VM was replaced, the configuration and the keys are still there.

    Symptom: a new fleet without configuration, or keys nobody owns. Sequence: for
    each node, a new one starts, the old one stops and ends; nothing on a VM is
    kept. Cause: something that must last lived in a node.
    """
    with running_cluster(tmp_path) as cluster:
        config = cluster.state("booking-1")["config"]
        told = []
        for number, node_id in enumerate(list(cluster.plans), start=5):
            domain = cluster.plans[node_id].failure_domain
            cluster.join(
                NodePlan(
                    node_id=f"booking-{number}",
                    service="booking",
                    failure_domain=domain,
                )
            )
            survivors = others_than(cluster, node_id)
            with Callers(cluster, KEYS, node_ids=survivors) as callers:
                cluster.terminate_node(node_id)
                cluster.remove_stopped(node_id)
                callers.wait_served()
            told += callers.told
        for node_id in cluster.plans:
            assert cluster.state(node_id)["config"] == config
        assert violations(cluster, told) == []


def test_backend_server_dies_and_comes_back(tmp_path):
    """A server's death costs at most what it had in progress.

    Symptom: keys stay dark though other servers live, or one booking stands
    twice. Sequence: the server dies with requests in progress; its node lives;
    later a new server process starts there. Cause: the node keeps its lease for
    a server that doesn't answer, or runs a request again that had run.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS) as callers:
            callers.wait_served()
            during = start_long(cluster, owner, key)
            cluster.kill_server(owner)
            callers.wait_served()
            cluster.start_server(owner)
            callers.wait_served()
            told = during.get()
        assert told.outcome is not ToldOutcome.NOT_RUN
        assert violations(cluster, [*callers.told, told]) == []
