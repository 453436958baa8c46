"""A store that comes back from an older copy, without some acknowledged records."""

import gevent
import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import configuration, wait_for

LOST_RECORDS = 6
KEPT_RECORDS = 3
HOLD_S = 3.0
"""Longer than any grant of the earlier processes lasts."""
KEYS = range(0, 65536, 4096)
SOON_S = 6.0


def holds_within(condition, timeout_s):
    """Return whether a condition holds within some time."""
    try:
        wait_for(condition, timeout_s)
    except TimeoutError:
        return False
    return True


def record_count(deployment):
    """Return how many records the system's log has."""
    return deployment.store.topic("comfreywharf").end


def go_back(deployment, count=LOST_RECORDS):
    """Have the store lose the last records of the system, and its last snapshots."""
    deployment.store.go_back(comfreywharf=count, keyed_comfreywharf_snapshots=count)


def is_confirmed(deployment, since_s):
    """Return whether all nodes' folds are confirmed by the log since a time."""
    nodes = deployment.nodes.values()
    return all(node.follower.confirmed_s > since_s for node in nodes)


def restart_all(deployment):
    """Kill all nodes at once and start them again beside their servers."""
    for node in deployment.nodes.values():
        node.kill()
    for number, (name, server) in enumerate(deployment.servers.items()):
        deployment.start(name, f"z{number % 3}", server.service)


def grants_of(deployment, name):
    """Return the grants that a server has accepted, in their order."""
    return deployment.servers[name].accepted_grants


def highest_fence(deployment, key):
    """Return the highest fence with which any server has had a key."""
    return max(
        grant.fence
        for name in deployment.servers
        for grant in grants_of(deployment, name)
        if grant.first <= key <= grant.last
    )


def refused_grants(deployment):
    """Return how many grants the servers have refused for a fence that is too low."""
    return sum(server.refused_grants for server in deployment.servers.values())


def test_nodes_follow_the_log_after_it_went_back(deployment):
    """Guards against nodes that wait for good for records which are gone."""
    go_back(deployment)
    gevent.sleep(0.2)
    since_s = boottime_s()
    assert holds_within(lambda: is_confirmed(deployment, since_s), SOON_S)
    assert deployment.send_request("n0").status == 200


def test_fences_rise_though_the_log_went_back_and_all_nodes_restart(deployment):
    """Guards against a key that is granted under a lower fence than before."""
    restart_all(deployment)
    gevent.sleep(HOLD_S)
    assert holds_within(deployment.each_key_has_one_holder, 20.0)
    known = {name: len(grants_of(deployment, name)) for name in deployment.servers}
    highest = {key: highest_fence(deployment, key) for key in KEYS}
    before = refused_grants(deployment)
    go_back(deployment, record_count(deployment) - KEPT_RECORDS)
    restart_all(deployment)
    gevent.sleep(HOLD_S)
    assert holds_within(deployment.each_key_has_one_holder, 20.0)
    assert refused_grants(deployment) == before
    for name, count in known.items():
        for grant in grants_of(deployment, name)[count:]:
            keys = [key for key in KEYS if grant.first <= key <= grant.last]
            assert all(grant.fence > highest[key] for key in keys)


@pytest.mark.parametrize("rounds", [3])
def test_a_second_drill_during_the_first_is_got_over(deployment, rounds):
    """Guards against nodes of several histories that never agree again."""
    for _ in range(rounds):
        go_back(deployment, 2)
        gevent.sleep(0.3)
    since_s = boottime_s()
    assert holds_within(lambda: is_confirmed(deployment, since_s), SOON_S)
    deployment.store.put("keyed.op", "config", configuration(version=9))
    nodes = deployment.nodes.values()
    assert holds_within(lambda: all(n.routes.version == 9 for n in nodes), SOON_S)
