"""The platform's log service is unavailable, slow, or loses answers."""

import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.records.follower import new_record_id
from comfreywharf.records import ConfigPatched, ServiceConfig
from comfreywharf_dev.failures.callers import Callers
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    BackgroundCall,
    owns_any_slice,
    pick_owner,
    running_cluster,
    violations,
)
from comfreywharf_dev.standins.cluster import LOG, wait_until

pytestmark = pytest.mark.processes

LOG_FAULTS = {
    "down": {"down": True},
    "slow": {"slow_s": 1.5},
    "loses answers": {"lose_answers": 40},
}


@pytest.mark.parametrize("fault", LOG_FAULTS)
def test_a_killed_owners_keys_are_served_while_the_log_fails(tmp_path, fault):
    """A lost owner's keys are served again while the log fails.

    Guards against a takeover that waits for a record, so that the keys are unavailable
    for as long as the log, and against one that is written again after its answer was
    lost, so that keys are taken over twice. The log fails, the owner's VM is lost,
    and then the log recovers.
    """
    with running_cluster(tmp_path) as cluster:
        owner, _, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.set_log_switches(**LOG_FAULTS[fault])
            callers.wait_served()
            cluster.kill_vm(owner)
            callers.wait_served()
            cluster.set_log_switches(down=False, slow_s=0.0, lose_answers=0)
            wait_until(lambda: not owns_any_slice(cluster, survivors[0], owner), 20)
            callers.wait_served()
        assert violations(cluster, callers.results) == []


def test_a_node_cut_off_from_the_log_keeps_serving(tmp_path):
    """A node that is cut off from the log only keeps serving its keys.

    Guards against a healthy server's keys becoming unavailable because its node needs
    the log to renew its lease, or releases its slices without new records. The link
    between one node and the log is cut for longer than a lease.
    """
    with running_cluster(tmp_path, proxied=True) as cluster:
        owner, _, _ = pick_owner(cluster)
        cluster.faults.cut(owner, LOG)
        with Callers(cluster, KEYS) as callers:
            callers.wait_served()
            wait_until(lambda: not cluster.status(owner)["log_reachable"], 20)
            callers.wait_served()
            assert cluster.status(owner)["serving"].get("booking")
        assert violations(cluster, callers.results) == []


def test_only_one_of_two_conflicting_patches_takes_effect(tmp_path):
    """Exactly one of two patches against one version takes effect, on every node.

    Guards against patches that are merged and resends that count as a second patch:
    an accepted change would be lost, or nodes would have different configurations.
    Two operators submit patches of version 1 at once. The answer to the first
    submission is lost, and the same record is submitted again.
    """
    with running_cluster(tmp_path) as cluster:
        patches = [patch(name) for name in ("anna", "boris")]
        cluster.set_log_switches(lose_answers=1)
        for call in [BackgroundCall(submit, cluster, one) for one in patches]:
            call.get()
        wait_until(lambda: len(status_values(cluster, "next_offset")) == 1, 20)
        wait_until(lambda: status_values(cluster, "config_version") == {2}, 20)
        winners = {winner(cluster, node_id) for node_id in cluster.plans}
        assert len(winners) == 1
        for node_id in cluster.plans:
            services = cluster.state(node_id)["config"]["services"]
            assert len(services.keys() & {"for-anna", "for-boris"}) == 1
            assert f"for-{winner(cluster, node_id)}" in services


def patch(author):
    name = f"for-{author}"
    return ConfigPatched(
        record_id=new_record_id(),
        base_version=1,
        services={name: ServiceConfig(name=name, divided_by_key=False)},
        author=author,
    )


def submit(cluster, record):
    """Append one record until it is answered, as the operator's tool does."""
    for _ in range(3):
        try:
            return cluster.append(record)
        except (OSError, HTTPParseError, ValueError):
            continue
    raise TimeoutError("three answers of the log service were lost")


def status_values(cluster, field):
    return {cluster.status(node_id)[field] for node_id in cluster.plans}


def winner(cluster, node_id):
    return cluster.state(node_id)["config"]["author"]
