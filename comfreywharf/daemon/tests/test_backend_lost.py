"""When a node gives its backend server up, and when it is taken for ended."""

import socket

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.servers.backend_lifecycle import BackendLifecycle
from comfreywharf.daemon.tests.builders import announcement, node_settings


def make_node():
    """Return a node, and the list of ends that it tells its ports."""
    settings = node_settings()
    node = Node(settings, OwnPorts(settings))
    ended = []
    node.ports.backend_lost = lambda: ended.append(node.backend)
    node.ports.identify = lambda *arguments: None
    return node, ended


def test_a_new_server_isnt_given_up_for_the_port_of_the_one_before():
    """Symptom: a server that began again in place gets no work, for good.
    Sequence: a server crashed and is silent; its port is tried; while that goes on
    the next server's heartbeat comes; the port refused.
    Cause: the refusal was taken for the server's that is there by now. Its life
    counts as ended, so that each further heartbeat of it is passed over."""
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


def test_a_server_that_speaks_isnt_ended_since_its_port_refused_once():
    """Symptom: a living server gets no work, for good.
    Sequence: its port refuses, so that its keys are given up; its heartbeats go on;
    for two seconds it has no room for an answer to the question who it is.
    Cause: only an answer counted as a sign of life, and without one it was ended."""
    node, ended = make_node()
    node.ports.check_port_after_s = 1.0
    life = BackendLifecycle(node, drain_s=2.0)
    life.receive_heartbeat(announcement("i-1"), 1, False)
    node.backend_refused(node.backend)
    assert node.backend is None
    node._last_report_s = boottime_s() - 5.0
    life.receive_heartbeat(announcement("i-1"), 2, False)
    node._record_refused_as_ended(boottime_s() - node._last_report_s)
    assert ended == []


def test_a_server_that_has_answers_to_give_isnt_dead_though_its_port_refuses():
    """Symptom: a key is given on while its last holder still works on it.
    Sequence: a server closes its port, and goes on with what it has.
    Cause: a port that refuses was taken for the end of the process."""
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
