"""The network between nodes is cut, both ways or one."""

import pytest

from comfreywharf_dev.failures.callers import Callers, book
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    others_than,
    pick_owner,
    running_cluster,
    violations,
)
from comfreywharf_dev.standins.cluster import LOG, wait_until
from comfreywharf_dev.standins.faultproxy import Direction, Mode

pytestmark = pytest.mark.processes


def test_failure_domain_cut(tmp_path):
    """A domain that is cut off stops serving; the others take its keys over.

    Symptom: one calendar is booked on both sides of the cut. Sequence: a domain
    loses the others and the log; callers on both sides go on; the cut heals, and
    what was held back arrives late. Cause: the owner inside goes on after its
    lease, since it can't hear that it was replaced.
    """
    with running_cluster(tmp_path, booking=6, proxied=True) as cluster:
        owner, _, _ = pick_owner(cluster)
        inside = in_domain(cluster, cluster.plans[owner].failure_domain)
        outside = others_than(cluster, *inside)
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
        assert violations(cluster, [*callers.told, *cut_off.told]) == []


def in_domain(cluster, failure_domain):
    plans = cluster.plans.values()
    return [one.node_id for one in plans if one.failure_domain == failure_domain]


def test_one_way_cut_of_an_owner(tmp_path):
    """An owner that hears everybody but is heard by nobody is replaced.

    Symptom: two servers book one calendar. Sequence: what the owner sends is
    lost, what others send arrives; its renewals don't reach the witnesses; others
    forward requests to it, which it runs. Cause: it counts its lease from an
    answer, or from hearing others, and not from a renewal that was granted.
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
        assert violations(cluster, [*callers.told, *inside.told]) == []


def test_one_way_cut_of_the_renewals_answers(tmp_path):
    """An owner whose renewals arrive, but not the answers to them, stops in time.

    Symptom: two servers book one calendar, or nobody for good. Sequence: the
    witnesses hear the owner, the owner doesn't hear them. Cause: it takes the
    sending for the grant; or the witnesses go on to hold a lease for a node that
    can't use it.
    """
    with running_cluster(tmp_path, proxied=True) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            for peer in survivors:
                cluster.faults.change(owner, peer, Direction.BACK, mode=Mode.HOLD)
            callers.wait_served()
            cluster.faults.heal()
            callers.wait_served()
            wait_until(lambda: book(cluster, owner, key).accepted, 20)
        assert violations(cluster, callers.told) == []


def test_connections_reset_and_half_open(tmp_path):
    """Links that break under load cost answers at most, never a second effect.

    Symptom: a booking stands twice, or a caller waits for ever. Sequence: the
    owner's connections are reset, later left half open, while requests are in
    flight. Cause: a lost answer is taken for a request that wasn't run.
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
        assert violations(cluster, callers.told) == []
