"""Tests that both ends of every TCP connection have TCP_NODELAY set."""

from contextlib import closing

import pytest
from gevent import socket

from comfreywharf.records import ServiceConfig
from comfreywharf_dev.bench.processes import AuditedCluster
from comfreywharf_dev.bench.socket_audit import established_connections
from comfreywharf_dev.standins.deployments import riga_plans

pytestmark = pytest.mark.processes

KEYS = 24


def port_of(address):
    return int(address.rpartition(":")[2])


def hop_kinds(cluster, connections):
    """Return the kinds of hop that connections belong to, at either end."""
    kinds = {cluster.log_port: "log"}
    for plan in cluster.plans.values():
        for kind in ("caller", "peer", "backend", "server"):
            kinds[getattr(plan, f"{kind}_port")] = kind
    return {
        (kinds[port_of(one[end])], end)
        for one in connections
        for end in ("local", "peer")
        if port_of(one[end]) in kinds
    }


def test_all_connections_have_nodelay_set(tmp_path):
    """No node has a connection with Nagle's algorithm enabled.

    Without TCP_NODELAY, a small request takes 40 ms instead of 2 ms: one end holds
    back its second small segment while the first is unacknowledged, and the other
    end delays its acknowledgement.
    """
    with AuditedCluster(tmp_path, riga_plans(booking=4, files=0)) as cluster:
        cluster.submit({"booking": ServiceConfig(name="booking", slices=8)})
        cluster.wait_owned("booking")
        callers = [
            socket.create_connection(("127.0.0.1", plan.caller_port))
            for plan in cluster.plans.values()
        ]
        for index in range(KEYS):
            cluster.call("booking-1", "/booking/book", key=f"key-{index}")
        connections = [one for node in cluster.plans for one in cluster.audit(node)]
        for caller in callers:
            caller.close()
        hops = hop_kinds(cluster, connections)
    assert {
        ("caller", "local"),
        ("peer", "local"),
        ("peer", "peer"),
        ("backend", "local"),
        ("server", "peer"),
        ("log", "peer"),
    } <= hops
    assert [one for one in connections if not one["nodelay"]] == []


def test_the_audit_reports_a_connection_without_nodelay():
    """A connection with Nagle's algorithm enabled is reported without nodelay."""
    with closing(socket.create_server(("127.0.0.1", 0))) as server:
        with closing(socket.create_connection(server.getsockname())) as client:
            name = "{}:{}".format(*client.getsockname())
            (found,) = [one for one in established_connections() if one.local == name]
            assert not found.nodelay
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            (found,) = [one for one in established_connections() if one.local == name]
            assert found.nodelay
