"""The platform's log service is down, slow, or loses answers."""

import pytest
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.recording.follower import new_record_id
from comfreywharf.records import ConfigPatched, ServiceConfig
from comfreywharf_dev.failures.callers import Callers
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    Later,
    owns,
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
def test_owner_killed_while_the_log_fails(tmp_path, fault):
    """Two faults together: keys are served again without the log's help.

    Symptom: a lost owner's keys stay dark as long as the log does, or are taken
    over twice once it is back. Sequence: the log fails; work that is assigned
    goes on; the owner's VM is lost; the log comes back. Cause: the takeover waits
    for a record, or a takeover whose answer was lost is written again.
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
            wait_until(lambda: not owns(cluster, survivors[0], owner), 20)
            callers.wait_served()
        assert violations(cluster, callers.told) == []


def test_one_node_loses_the_log_alone(tmp_path):
    """A node that is cut off from the log alone goes on serving what it owns.

    Symptom: keys of a healthy server go dark. Sequence: the link between one node
    and the log is cut and stays so for longer than a lease. Cause: the node needs
    the log to renew its lease, or gives up what it owns without news from it.
    """
    with running_cluster(tmp_path, proxied=True) as cluster:
        owner, _, _ = pick_owner(cluster)
        cluster.faults.cut(owner, LOG)
        with Callers(cluster, KEYS) as callers:
            callers.wait_served()
            wait_until(lambda: not cluster.status(owner)["log_reachable"], 20)
            callers.wait_served()
            assert cluster.status(owner)["serving"].get("booking")
        assert violations(cluster, callers.told) == []


def test_operators_racing(tmp_path):
    """Of two patches against one version exactly one comes into force, everywhere.

    Symptom: an operator's accepted change is gone, or two nodes follow two
    configurations. Sequence: two operators read version 1 and submit at once; the
    answer to the first one is lost, so that he submits the same record again.
    Cause: patches are merged, or a resend counts as a second patch.
    """
    with running_cluster(tmp_path) as cluster:
        patches = [patch(name) for name in ("anna", "boris")]
        cluster.set_log_switches(lose_answers=1)
        for later in [Later(submit, cluster, one) for one in patches]:
            later.get()
        wait_until(lambda: len(versions(cluster, "next_offset")) == 1, 20)
        wait_until(lambda: versions(cluster, "config_version") == {2}, 20)
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
    """Append until an answer came, as a tool does that writes the same record."""
    for _ in range(3):
        try:
            return cluster.append(record)
        except (OSError, HTTPParseError, ValueError):
            continue
    raise TimeoutError("three answers of the log service were lost")


def versions(cluster, field):
    return {cluster.status(node_id)[field] for node_id in cluster.plans}


def winner(cluster, node_id):
    return cluster.state(node_id)["config"]["author"]
