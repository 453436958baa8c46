"""Nodes and backend servers stop, crash, restart and are replaced."""

import pytest

from comfreywharf_dev.failures.callers import Callers
from comfreywharf_dev.failures.invariants import CallOutcome
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    node_ids_except,
    owns_any_slice,
    pick_owner,
    running_cluster,
    start_long_booking,
    violations,
)
from comfreywharf_dev.standins.cluster import NodePlan, wait_until

pytestmark = pytest.mark.processes


def test_a_planned_stop_refuses_no_request(tmp_path):
    """A planned stop aborts and refuses no request, and its keys stay available.

    Guards against errors at each deployment: the node must not close its ports or
    release its keys with requests in progress, and the ingress must not refuse
    requests during the handover. The owner's node gets SIGTERM while callers book and
    two long requests run.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            long = [
                start_long_booking(cluster, node_id, key)
                for node_id in (owner, survivors[0])
            ]
            cluster.terminate_node(owner)
            results = [one.get() for one in long]
            callers.wait_served()
            cluster.plans[owner].node_process.wait(20)
            callers.wait_served()
        results += callers.results
        refused = [one for one in results if one.outcome is not CallOutcome.ANSWERED]
        assert refused == []
        assert violations(cluster, results) == []


def test_a_planned_stop_during_a_log_outage_aborts_no_request(tmp_path):
    """A node that stops while the log is down aborts no request.

    Guards against a node that waits for the log without end, and against one that
    exits with its lease held, so that its keys stay unavailable. The owner gets
    SIGTERM while its keys can't be moved by a record.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.set_log_switches(down=True)
            long = start_long_booking(cluster, survivors[0], key)
            cluster.terminate_node(owner)
            result = long.get()
            cluster.plans[owner].node_process.wait(30)
            callers.wait_served()
            cluster.set_log_switches(down=False)
            callers.wait_served()
        assert result.outcome is CallOutcome.ANSWERED
        assert violations(cluster, [*callers.results, result]) == []


def test_drained_node_gets_no_new_work(tmp_path):
    """A drained node's keys move, and its server gets no more requests.

    Guards against keys that aren't moved off a drained node, and against an ingress
    that keeps using an outdated route. An operator drains a node while callers book.
    """
    with running_cluster(tmp_path) as cluster:
        owner, _, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS) as callers:
            callers.wait_served()
            cluster.drain(owner)
            wait_until(lambda: not owns_any_slice(cluster, survivors[0], owner), 20)
            callers.wait_served()
            before = count_effects(cluster, owner)
            callers.wait_served()
        assert count_effects(cluster, owner) == before
        assert violations(cluster, callers.results) == []


def count_effects(cluster, node_id):
    """Return how many effects a node's backend server applied."""
    name = cluster.plans[node_id].server_name
    return sum(1 for one in cluster.effects() if one["server"] == name)


def test_configuration_and_owners_survive_replacing_every_vm(tmp_path):
    """The configuration and the keys' owners survive the replacement of every VM.

    Guards against durable state that is kept in nodes only, so that a new fleet has no
    configuration or keys have no owner. For each node a new one starts and the old one
    stops; nothing on a VM is kept.
    """
    with running_cluster(tmp_path) as cluster:
        config = cluster.state("booking-1")["config"]
        results = []
        for number, node_id in enumerate(list(cluster.plans), start=5):
            domain = cluster.plans[node_id].failure_domain
            cluster.join(
                NodePlan(
                    node_id=f"booking-{number}",
                    service="booking",
                    failure_domain=domain,
                )
            )
            survivors = node_ids_except(cluster, node_id)
            with Callers(cluster, KEYS, node_ids=survivors) as callers:
                cluster.terminate_node(node_id)
                cluster.remove_stopped_node(node_id)
                callers.wait_served()
            results += callers.results
        for node_id in cluster.plans:
            assert cluster.state(node_id)["config"] == config
        assert violations(cluster, results) == []


def test_a_server_crash_affects_only_requests_in_progress(tmp_path):
    """The crash of a backend server affects only its requests in progress.

    Guards against a node that keeps its lease for a server that doesn't answer, so
    that keys stay unavailable, and against a request that is run twice. The server is
    killed with requests in progress while its node runs; later it is started again.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS) as callers:
            callers.wait_served()
            during = start_long_booking(cluster, owner, key)
            cluster.kill_server(owner)
            callers.wait_served()
            cluster.start_server(owner)
            callers.wait_served()
            result = during.get()
        assert result.outcome is not CallOutcome.NOT_RUN
        assert violations(cluster, [*callers.results, result]) == []
