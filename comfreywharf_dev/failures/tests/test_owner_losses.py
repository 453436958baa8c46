"""An owner is lost, or freezes and resumes after its lease expired."""

import time

import pytest

from comfreywharf_dev.failures.callers import Callers, book
from comfreywharf_dev.failures.invariants import CallOutcome
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    BackgroundCall,
    node_ids_except,
    pairs_safe_to_lose,
    pick_owner,
    running_cluster,
    start_long_booking,
    violations,
)
from comfreywharf_dev.standins.cluster import wait_until

pytestmark = pytest.mark.processes

LONG_TIMEOUT_MS = 4000
PAST_A_LEASE_S = 2.5
"""Longer than a lease of 1 s; nothing depends on how much longer."""


def test_killed_owners_keys_are_served_again(tmp_path):
    """A lost owner's keys are served by another, and nothing is applied twice.

    Guards against a takeover that needs the owner's release, so that its keys stay
    unavailable, and against a new owner that runs a request again. The owner's VM is
    lost while callers book, and they resend the requests without an answer.
    """
    with running_cluster(tmp_path) as cluster:
        owner, _, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.kill_vm(owner)
            callers.wait_served()
        assert violations(cluster, callers.results) == []


def test_a_resumed_owner_runs_no_request_it_had_received(tmp_path):
    """A node that resumes after its lease expired runs no request it had received.

    Guards against two servers that book the same calendar. The owner's node freezes, a
    request reaches its socket, its lease expires and the standby serves. When the
    node resumes, it must not treat its lease as valid as if no time had passed.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.freeze_node(owner)
            held = BackgroundCall(book, cluster, owner, key, timeout_ms=LONG_TIMEOUT_MS)
            callers.wait_served()
            cluster.resume_node(owner)
            late = held.get()
            callers.wait_served()
            wait_until(lambda: book(cluster, owner, key).accepted, 20)
        assert violations(cluster, [*callers.results, late]) == []


@pytest.mark.parametrize("checks_fences", [False, True])
def test_a_frozen_servers_request_has_no_effect_after_a_takeover(
    tmp_path, checks_fences
):
    """A request in a frozen server's socket has no effect after the takeover.

    Guards against a node that releases a key while a forwarded request can still be
    run, or that forwards a request with a deadline after the release. The backend
    server freezes with a request in its socket while its node runs; another server
    takes the key over; the frozen server resumes and reads the request.
    """
    with running_cluster(tmp_path, checks_fences=checks_fences) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.freeze_server(owner)
            held = BackgroundCall(book, cluster, owner, key, timeout_ms=1000)
            late = held.get()
            callers.wait_served()
            cluster.resume_server(owner)
            callers.wait_served()
        assert late.outcome is not CallOutcome.ANSWERED
        assert violations(cluster, [*callers.results, late]) == []


def test_a_resumed_vm_owns_nothing_after_its_lease_expired(tmp_path):
    """A VM that resumes after its lease expired owns nothing.

    Guards against two servers that book the same calendar. A request runs at the
    backend server when the whole VM freezes; the standby serves; the VM resumes and
    the request continues, though neither the node nor the server saw time pass.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, survivors = pick_owner(cluster)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            held = start_long_booking(cluster, survivors[0], key)
            cluster.freeze_node(owner)
            cluster.freeze_server(owner)
            callers.wait_served()
            cluster.resume_server(owner)
            cluster.resume_node(owner)
            late = held.get()
            callers.wait_served()
        assert violations(cluster, [*callers.results, late]) == []


def test_a_takeover_completes_though_a_witness_is_lost(tmp_path):
    """A takeover completes though one of the owner's witnesses is lost as well.

    Guards against a standby that waits for a witness that doesn't come back, so that
    the lost owner's keys are never served again. The witness is killed right after
    the owner's VM, before the standby has its lease.
    """
    with running_cluster(tmp_path, booking=6) as cluster:
        owner, witness = next(
            (one, other)
            for one, other in pairs_safe_to_lose(cluster, "booking-1")
            if other in witnesses_of(cluster, one)
        )
        survivors = node_ids_except(cluster, owner, witness)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.kill_vm(owner)
            cluster.kill_vm(witness)
            callers.wait_served()
        assert violations(cluster, callers.results) == []


def witnesses_of(cluster, node_id):
    return cluster.state(node_id)["members"][node_id]["witnesses"]


def test_a_takeover_completes_though_the_planner_is_lost(tmp_path):
    """A takeover completes and planning continues though the planner is lost.

    Guards against a takeover that needs the planner to name the next owner, so that
    keys stay without an owner. The owner's VM and the planner's are lost together.
    """
    with running_cluster(tmp_path, booking=6) as cluster:
        planner = cluster.state("booking-1")["planner_id"]
        owner = next(
            one
            for one, other in pairs_safe_to_lose(cluster, "booking-1")
            if other == planner
        )
        survivors = node_ids_except(cluster, owner, planner)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.kill_vm(owner)
            cluster.kill_vm(planner)
            callers.wait_served()
            wait_until(
                lambda: cluster.state(survivors[0])["planner_id"] in survivors, 20
            )
        assert violations(cluster, callers.results) == []


def test_owners_serve_again_after_two_witnesses_are_replaced(tmp_path):
    """Owners whose witnesses were lost serve again when those are replaced.

    Guards against a lease that waits for grants which no witness has any more, so that
    keys of healthy owners stay unavailable. Two VMs of different domains are lost at
    once, every lease with both among its witnesses expires, and both are replaced
    under the same names with empty memory.
    """
    lost = ("booking-2", "booking-3")
    with running_cluster(tmp_path) as cluster:
        survivors = node_ids_except(cluster, *lost)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            for node_id in lost:
                cluster.kill_vm(node_id)
            time.sleep(PAST_A_LEASE_S)
            for node_id in lost:
                cluster.start_node(node_id)
                cluster.start_server(node_id)
            callers.wait_served()
        assert violations(cluster, callers.results) == []


def test_a_frozen_owners_keys_are_served_though_its_standby_is_lost(tmp_path):
    """Keys are served again when the standby of a frozen owner is lost as well.

    Guards against an owner that resumes as if its lease were valid, so that there are
    two owners, and against a takeover that only the planned standby can do, so that
    there is none. The owner freezes, its standby is lost before or after it took over,
    and the owner resumes after its lease expired.
    """
    with running_cluster(tmp_path) as cluster:
        owner, key, others = pick_owner(cluster)
        standby = cluster.slice_of(others[0], "booking", key)["standby"]
        survivors = node_ids_except(cluster, owner, standby)
        with Callers(cluster, KEYS, node_ids=survivors) as callers:
            callers.wait_served()
            cluster.freeze_node(owner)
            held = BackgroundCall(book, cluster, owner, key, timeout_ms=LONG_TIMEOUT_MS)
            cluster.kill_vm(standby)
            time.sleep(PAST_A_LEASE_S)
            cluster.resume_node(owner)
            late = held.get()
            callers.wait_served()
        assert violations(cluster, [*callers.results, late]) == []
