"""The load of the backend server beside a node, and what its replies tell of it."""

import attrs
import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.servers.server_load import snapshot_from_message
from comfreywharf.daemon.servers.statements import AnswerKind, Statement
from comfreywharf.daemon.tests.builders import announcement, node_settings
from comfreywharf.load import ByReportedLoad
from comfreywharf.load.choice import DEFAULT_CHOOSER
from comfreywharf.load.serverload import CONTRADICTIONS, ReportedLoad
from comfreywharf.transport.gen.ttypes import ServerLoad

BUSY = ReportedLoad(running=3, waiting=2, slots=3, work_percent=200)


def make_node(choose_by_load=True):
    """Return a node with an announced backend server."""
    settings = attrs.evolve(node_settings(), choose_by_load=choose_by_load)
    node = Node(settings, OwnPorts(settings))
    node.backend_announced(announcement("1"))
    return node


def state(node, **statement):
    """Apply an answer of the backend server that states something."""
    incarnation = node.backend.announcement.incarnation
    node.record_statement(incarnation, AnswerKind.REQUEST, Statement(**statement))


def told(node):
    """Return the load that a reply of the node tells."""
    return node.load.server_load.message(boottime_s())


def event_names(node):
    return [event.name for event in node.events.since(0)]


def test_a_reply_tells_what_the_server_reports():
    """Guards against replies that tell an idle server while it is full."""
    node = make_node()
    assert told(node).running + told(node).waiting == 0
    node.load.server_load.record_answer(boottime_s() - 0.1, boottime_s())
    state(node, load=BUSY)
    message = told(node)
    assert message.running + message.waiting == 5
    assert 190 <= message.work_ms <= 250


def test_nothing_is_told_or_reported_without_the_setting():
    """Guards against a change for deployments that don't choose by load."""
    node = make_node(choose_by_load=False)
    state(node, load=BUSY)
    state(node, damaged_load="plenty")
    assert told(node) is None
    assert "damaged_load" not in event_names(node)
    assert isinstance(node.ports.make_chooser(), DEFAULT_CHOOSER)
    assert isinstance(make_node().ports.make_chooser(), ByReportedLoad)


def test_a_damaged_load_is_reported_once_for_each_start_of_the_server():
    """Guards against a load that is silently ignored, and against a full log."""
    node = make_node()
    for _ in range(3):
        state(node, damaged_load="plenty")
    assert node.metrics.damaged_loads == 3
    assert event_names(node).count("damaged_load") == 1
    node.backend_announced(announcement("2"))
    state(node, damaged_load="plenty")
    assert event_names(node).count("damaged_load") == 2


def test_a_restarted_server_is_known_anew():
    """Guards against a load of the server's earlier start in replies."""
    node = make_node()
    node.load.server_load.record_answer(boottime_s() - 0.1, boottime_s())
    state(node, load=BUSY)
    node.backend_announced(announcement("2"))
    message = told(node)
    assert (message.running, message.waiting, message.work_ms) == (0, 0, 0)


def test_doubt_and_belief_are_reported(monkeypatch):
    """Guards against a false report that no operator sees."""
    node = make_node()
    monkeypatch.setattr(node.forwarder, "awaited_since", lambda time_s: 3)
    idle = ReportedLoad(running=0, waiting=0, slots=3)
    for _ in range(2 * CONTRADICTIONS):
        state(node, load=idle)
    assert event_names(node).count("load_doubted") == 1
    assert not node.load.server_load.believed
    for _ in range(20):
        state(node, load=BUSY)
    assert event_names(node).count("load_believed") == 1


@pytest.mark.parametrize("fields", [(-1, 0, 3, 5), (0, -1, 3, 5), (0, 0, 0, 5)])
def test_a_load_that_cant_be_is_ignored(fields):
    """Guards against a node of another build that sends impossible numbers."""
    names = ("running", "waiting", "slots", "work_ms")
    message = ServerLoad(**dict(zip(names, fields, strict=True)))
    assert snapshot_from_message(message) is None
