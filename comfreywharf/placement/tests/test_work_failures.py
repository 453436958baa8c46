"""Placement by work when reports, planners or servers fail, and what it reports."""

from itertools import pairwise

from comfreywharf.placement import PlacementTuning
from comfreywharf.placement.tests.builders import SERVICE, PlannedCluster
from comfreywharf.placement.tests.work_builders import (
    COUNTING,
    KEYS,
    SMALL,
    hot_range,
    settled,
)


def test_a_hot_part_does_not_return_before_it_has_cooled_down():
    """Guards against parts that move away from an owner and back within seconds."""
    cluster = settled(SMALL)
    hot = hot_range(cluster, 60)
    seen = [cluster.owners(*hot[:2])]
    for step in range(24):
        cluster.set_hot(hot if step < 10 else None)
        cluster.run(0.5)
        seen.append(cluster.owners(*hot[:2]))
    assert cluster.reasons["hot_range"] > 0
    for owners in zip(*seen, strict=True):
        changes = [now for last, now in pairwise(owners) if last != now]
        assert owners[0] not in changes
        assert len(set(changes)) == len(changes)


def test_a_joined_server_is_given_work_once():
    """Guards against a server that stays empty since no other one is over."""
    cluster = settled(SMALL, utilisation=0.5)
    cluster.join("joined", 1.0)
    cluster.run(15.0)
    assert set(cluster.reasons) <= {"joined_server", "cooled_range"}
    assert cluster.owners(0, KEYS).count("joined") > 0.03 * KEYS
    assert cluster.keys_moved < 0.2 * KEYS


def test_lost_reports_move_nothing_until_their_timeout():
    """Guards against slices that count as idle or unmeasured with a lost report."""
    cluster = settled(SMALL, utilisation=0.5)
    cluster.silent = {"node-1", "node-2"}
    cluster.run(3.0)
    cluster.silent = set()
    cluster.run(3.0)
    assert cluster.keys_moved < 0.02 * KEYS


def test_a_new_planner_moves_nothing_for_lack_of_reports():
    """Guards against moves while a new planner knows some of the nodes' loads."""
    cluster = settled(SMALL, utilisation=0.5)
    cluster.replace_planner()
    cluster.run(10.0)
    assert cluster.keys_moved < 0.02 * KEYS


def test_a_restarted_server_keeps_its_keys_while_its_speed_is_unknown():
    """Guards against keys that move for the times of a server that has just started."""
    cluster = settled(SMALL, utilisation=0.5)
    cluster.restart_server("node-1")
    cluster.run(10.0)
    assert cluster.keys_moved < 0.02 * KEYS


def test_requests_are_counted_while_no_node_measures_work():
    """Guards against another placement while all nodes are of an earlier build."""
    owners = []
    for by_work in (False, True):
        tuning = PlacementTuning(cheap_moves=True, scale_by_speed=True, by_work=by_work)
        cluster = PlannedCluster(nodes=4, tuning=tuning, slices=40)
        cluster.service_ms = 300.0
        rates = {
            s.start: 1.0 + 5.0 * (n % 4 == 0) for n, s in enumerate(cluster.slices)
        }
        cluster.run_rounds(rounds=10, rates=rates)
        owners.append([(s.start, s.owner) for s in cluster.slices])
    assert owners[0] == owners[1]


def test_capacities_and_reasons_are_known_only_where_work_is_weighed():
    """Guards against a gauge or event that shows what isn't measured."""
    cluster = settled(SMALL)
    slow = min(cluster.speeds, key=cluster.speeds.get)
    fast = max(cluster.speeds, key=cluster.speeds.get)
    capacities = cluster.planning.capacities
    assert capacities[SERVICE, slow] < capacities[SERVICE, fast]
    counting = settled(SMALL, COUNTING)
    assert not counting.planning.capacities
    assert not counting.reasons
