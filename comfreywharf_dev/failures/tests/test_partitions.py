"""Network partitions between nodes, in both directions or in one."""

import pytest

from comfreywharf_dev.failures.callers import Callers, book
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    node_ids_except,
    pick_owner,
    running_cluster,
    violations,
)
from comfreywharf_dev.standins.cluster import LOG, wait_until
from comfreywharf_dev.standins.faultproxy import Direction, Mode

pytestmark = pytest.mark.processes


def test_a_failure_domain_that_is_cut_off_stops_serving(tmp_path):
    """A failure domain that is cut off stops serving; others take its keys over.

    Guards against an owner inside that serves after its lease because it can't be
    notified of its replacement, so that one calendar is booked on both sides. A domain
    is cut off from the others and the log while callers on both sides book; after the
    partition, the traffic that was held back arrives late.
    """
    with running_cluster(tmp_path, booking=6, proxied=True) as cluster:
        owner, _, _ = pick_owner(cluster)
        inside = in_domain(cluster, cluster.plans[owner].failure_domain)
        outside = node_ids_except(cluster, *inside)
        with (
            Callers(cluster, KEYS, node_ids=outside) as callers,
            Callers(cluster, KEYS, node_ids=inside, count=2) as cut_off,
        ):
            callers.wait_served()
            cluster.faults.cut_group(inside, [*outside, LOG])
            callers.wait_served()
            cluster.faults.heal()
            callers.wait_served()
            cut_off.wait_served()
        assert violations(cluster, [*callers.results, *cut_off.results]) == []


def in_domain(cluster, failure_domain):
    plans = cluster.plans.values()
    return [one.node_id for one in plans if one.failure_domain == failure_domain]


def test_an_owner_that_cannot_send_is_replaced(tmp_path):
    """An owner that receives but can't send is replaced.

    Guards against an owner that extends its lease on any message it receives rather
    than on a granted renewal, so that two servers book the same calendar. What the
    owner sends is held back and its renewals don't reach the witnesses; what others
    send arrives, and they still forward requests to it.
    """
    with running_cluster(tmp_path, proxied=True) as cluster:
        owner, _, survivors = pick_owner(cluster)
        with (
            Callers(cluster, KEYS, node_ids=survivors) as callers,
            Callers(cluster, KEYS, node_ids=[owner], count=1) as inside,
        ):
            callers.wait_served()
            cluster.faults.cut_outgoing(owner, [*survivors, LOG])
            callers.wait_served()
            cluster.faults.heal()
            callers.wait_served()
            inside.wait_served()
        assert violations(cluster, [*callers.results, *inside.results]) == []


def test_an_owner_without_answers_to_renewals_stops_in_time(tmp_path):
    """An owner stops in time if its renewals arrive, but not the answers to them.

    Guards against an owner that treats a sent renewal as granted, so that two servers
    book the same calendar, and against witnesses that keep a lease for a node that
    can't use it, so that no server does. The witnesses receive the owner's renewals;
    their answers are held back.
    """
    with running_cluster(tmp_path, proxied=True) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            for peer in survivors:
                cluster.faults.set_flow(owner, peer, Direction.BACK, mode=Mode.HOLD)
            callers.wait_served()
            cluster.faults.heal()
            callers.wait_served()
            wait_until(lambda: book(cluster, owner, key).accepted, 20)
        assert violations(cluster, callers.results) == []


def test_broken_connections_cause_no_second_effect(tmp_path):
    """Connections that break under load lose answers, but cause no second effect.

    Guards against a lost answer that is treated as a request that wasn't run, so that
    a booking is applied twice, and against a caller that waits without end. The
    owner's connections are reset, and later left half open, with requests in flight.
    """
    with running_cluster(tmp_path, proxied=True) as cluster:
        owner, _, (ingress, *_) = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=[ingress]) as callers:
            callers.wait_served()
            for _ in range(5):
                cluster.faults.reset(ingress, owner)
                cluster.faults.lose_answers(ingress, owner, 2)
                callers.wait_served()
            cluster.faults.half_open(ingress, owner)
            callers.wait_served()
        assert violations(cluster, callers.results) == []
