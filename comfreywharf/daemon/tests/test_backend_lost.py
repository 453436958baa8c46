"""When a node gives its backend server up, and when it considers it ended."""

import socket

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.servers.backend_lifecycle import (
    DRAIN_MARGIN_S,
    BackendLifecycle,
)
from comfreywharf.daemon.tests.builders import announcement, node_settings


def make_node():
    """Return a node, and the list of backend losses that it reports to its ports."""
    settings = node_settings()
    node = Node(settings, OwnPorts(settings))
    ended = []
    node.ports.backend_lost = lambda: ended.append(node.backend)
    node.ports.identify = lambda *arguments: None
    return node, ended


def test_a_new_server_isnt_given_up_for_the_refused_port_of_the_one_before():
    """A refused port check doesn't end a server that was announced during the check.

    A server crashes and is silent, so its port is checked. During the check the next
    server's heartbeat arrives; then the port refuses. If the refusal were attributed
    to the new server, it would be recorded as ended, and its further heartbeats
    would be ignored: it would never get work.
    """
    node, ended = make_node()
    node.ports.check_port_after_s = -1.0
    node.backend_announced(announcement("i-1"))

    def refuses_connections():
        node.backend_announced(announcement("i-2"))
        node.backend.refuses_connections = lambda: False
        return True

    node.backend.refuses_connections = refuses_connections
    watching = gevent.spawn(node._watch_backend)
    gevent.sleep(0.25)
    watching.kill()
    assert ended == []
    assert node.backend.announcement.instance == "i-2"


def test_a_server_that_sends_heartbeats_isnt_ended_by_one_refusal_of_its_port():
    """A heartbeat proves that a server runs, even without an answer to a query.

    A server's port refuses, so that its keys are given up. It continues to send
    heartbeats, but for two seconds it has no connection available for the query for
    its instance id. If only an answer to the query counted, the running server would
    be recorded as ended and would never get work again.
    """
    node, ended = make_node()
    node.ports.check_port_after_s = 1.0
    lifecycle = BackendLifecycle(node, drain_s=2.0)
    lifecycle.receive_heartbeat(announcement("i-1"), 1, False)
    node.backend_refused(node.backend)
    assert node.backend is None
    node._last_heartbeat_s = boottime_s() - 5.0
    lifecycle.receive_heartbeat(announcement("i-1"), 2, False)
    node._record_refused_as_ended(boottime_s() - node._last_heartbeat_s)
    assert ended == []


def test_a_server_with_pending_answers_isnt_given_up_though_its_port_refuses():
    """A refused port doesn't prove that a process with pending answers has ended.

    A leaving server closes its port and finishes its requests. If it were considered
    ended, a key would be granted to another server while this one still works on it.
    """
    node, _ = make_node()
    node.backend_announced(announcement("i-1"))
    backend = node.backend
    ours, servers = socket.socketpair()
    backend._client._pool._in_use.add(ours)
    node.backend_refused(backend)
    assert node.backend is backend
    servers.close()
    node.backend_refused(backend)
    assert node.backend is None
    ours.close()


def test_a_server_that_deregistered_at_a_new_process_stays_leaving():
    """Guards against requests to a leaving server by an older heartbeat of it.

    The process has just started and hears of the server's leaving first.
    """
    node, _ = make_node()
    lifecycle = BackendLifecycle(node, drain_s=DRAIN_MARGIN_S)
    lifecycle.receive_deregistration(announcement("i-1").incarnation)
    lifecycle.receive_heartbeat(announcement("i-1"), 1, False)
    assert node.leaving_backend is not None
    assert node.closed_to_new_work


def test_the_next_incarnation_isnt_taken_for_the_leaving_one():
    """Guards against a server without work since the one before it had left."""
    node, _ = make_node()
    lifecycle = BackendLifecycle(node, drain_s=DRAIN_MARGIN_S)
    lifecycle.receive_deregistration(announcement("i-1").incarnation)
    lifecycle.receive_heartbeat(announcement("i-2"), 1, False)
    assert node.leaving_backend is None
