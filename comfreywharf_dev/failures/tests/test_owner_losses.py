"""An owner is lost, or freezes and comes back believing that it still owns."""

import time

import pytest

from comfreywharf_dev.failures.callers import Callers, book
from comfreywharf_dev.failures.invariants import ToldOutcome
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    Later,
    bearable_losses,
    others_than,
    pick_owner,
    running_cluster,
    start_long,
    violations,
)
from comfreywharf_dev.standins.cluster import wait_until

pytestmark = pytest.mark.processes

LONG_MS = 4000
PAST_A_LEASE_S = 2.5
"""Longer than a lease of 1 s; what lapses only then makes no difference here."""


def test_owner_killed(tmp_path):
    """A lost owner's keys are served by another, and nothing is applied twice.

    Symptom: a calendar can't be booked any more, or one booking stands twice.
    Sequence: callers book; the owner's VM is lost; callers send again what had
    no answer. Cause: nobody takes over without the owner's release, or the new
    owner runs a request again that the lost one had run.
    """
    with running_cluster(tmp_path) as cluster:
        owner, _, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.kill_vm(owner)
            callers.wait_served()
        assert violations(cluster, callers.told) == []


def test_owner_frozen_then_resumed(tmp_path):
    """A node that wakes up after its lease applies nothing that it held.

    Symptom: two bookings of one calendar by two servers. Sequence: the owner's
    node freezes; a request reaches its socket; its lease lapses and the standby
    serves; the node wakes up and finds the request. Cause: it believes in its
    lease, since no time seems to have passed.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.freeze_node(owner)
            held = Later(book, cluster, owner, key, timeout_ms=LONG_MS)
            callers.wait_served()
            cluster.thaw_node(owner)
            late = held.get()
            callers.wait_served()
            wait_until(lambda: book(cluster, owner, key).accepted, 20)
        assert violations(cluster, [*callers.told, late]) == []


@pytest.mark.parametrize("checks_fences", [False, True])
def test_only_the_backend_server_frozen(tmp_path, checks_fences):
    """A request in a frozen server's socket has no effect after the takeover.

    Symptom: a booking appears in a calendar that another server owns by now.
    Sequence: the backend server freezes, its node lives; a request lies in the
    server's socket; another server takes the key; the server thaws and reads the
    request. Cause: the node released the key while what it had forwarded could
    still be run, or the request carried a deadline past the release.
    """
    with running_cluster(tmp_path, checks_fences=checks_fences) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.freeze_server(owner)
            held = Later(book, cluster, owner, key, timeout_ms=1000)
            late = held.get()
            callers.wait_served()
            cluster.thaw_server(owner)
            callers.wait_served()
        assert late.outcome is not ToldOutcome.ANSWERED
        assert violations(cluster, [*callers.told, late]) == []


def test_node_and_backend_server_frozen(tmp_path):
    """A VM that stood still as a whole wakes up owning nothing.

    Symptom: two bookings of one calendar by two servers. Sequence: a request
    runs at the backend server; the whole VM freezes; the standby serves; the
    VM wakes up and the request goes on. Cause: neither the node nor the server
    saw time pass, and the server's work was half done.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            held = start_long(cluster, survivors[0], key)
            cluster.freeze_node(owner)
            cluster.freeze_server(owner)
            callers.wait_served()
            cluster.thaw_server(owner)
            cluster.thaw_node(owner)
            late = held.get()
            callers.wait_served()
        assert violations(cluster, [*callers.told, late]) == []


def test_witness_killed_during_a_takeover(tmp_path):
    """A takeover ends though one of those who grant it is lost meanwhile.

    Symptom: the lost owner's keys are never served again. Sequence: the owner's
    VM is lost; before the standby has its lease, a witness is lost as well.
    Cause: the standby waits for a witness that doesn't come back.
    """
    with running_cluster(tmp_path, booking=6) as cluster:
        owner, witness = next(
            (one, other)
            for one, other in bearable_losses(cluster, "booking-1")
            if other in witnesses_of(cluster, one)
        )
        survivors = others_than(cluster, owner, witness)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.kill_vm(owner)
            cluster.kill_vm(witness)
            callers.wait_served()
        assert violations(cluster, callers.told) == []


def witnesses_of(cluster, node_id):
    return cluster.state(node_id)["members"][node_id]["witnesses"]


def test_planner_killed_during_a_takeover(tmp_path):
    """A takeover ends though the planner is lost meanwhile, and planning goes on.

    Symptom: keys without an owner for good. Sequence: the owner's VM is lost, and
    the planner's with it. Cause: only the planner would name the next owner.
    """
    with running_cluster(tmp_path, booking=6) as cluster:
        planner = cluster.state("booking-1")["planner_id"]
        owner = next(
            one
            for one, other in bearable_losses(cluster, "booking-1")
            if other == planner
        )
        survivors = others_than(cluster, owner, planner)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.kill_vm(owner)
            cluster.kill_vm(planner)
            callers.wait_served()
            wait_until(
                lambda: cluster.state(survivors[0])["planner_id"] in survivors, 20
            )
        assert violations(cluster, callers.told) == []


def test_two_witnesses_lost_and_replaced(tmp_path):
    """Owners whose witnesses were lost serve again when those are replaced.

    Symptom: keys of healthy owners stay dark for good. Sequence: two VMs of
    different domains are lost at once; every lease that had both among its
    witnesses lapses; both are replaced under their names, with empty memory.
    Cause: a lease waits for grants that nobody remembers.
    """
    lost = ("booking-2", "booking-3")
    with running_cluster(tmp_path) as cluster:
        survivors = others_than(cluster, *lost)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            for node_id in lost:
                cluster.kill_vm(node_id)
            time.sleep(PAST_A_LEASE_S)
            for node_id in lost:
                cluster.start_node(node_id)
                cluster.start_server(node_id)
            callers.wait_served()
        assert violations(cluster, callers.told) == []


def test_owner_frozen_and_its_standby_killed(tmp_path):
    """Two faults together: the standby of a frozen owner is lost as well.

    Symptom: two owners once the first wakes up, or none for good. Sequence: the
    owner freezes; its standby is lost before or after it took over; the owner
    wakes up after its lease. Cause: the owner goes on where it stopped, or the
    pre-agreed standby was the only way on.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, others = pick_owner(cluster)
        standby = cluster.slice_of(others[0], "booking", key)["standby"]
        survivors = others_than(cluster, owner, standby)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.freeze_node(owner)
            held = Later(book, cluster, owner, key, timeout_ms=LONG_MS)
            cluster.kill_vm(standby)
            time.sleep(PAST_A_LEASE_S)
            cluster.thaw_node(owner)
            late = held.get()
            callers.wait_served()
        assert violations(cluster, [*callers.told, late]) == []
