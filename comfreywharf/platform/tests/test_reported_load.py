"""Servers that report their load in their answers, and nodes that choose by it."""

import pytest

from comfreywharf.platform.tests.builders import Deployment, wait_for

SERVICES = ("booking", "booking", "booking", "stock", "stock")


@pytest.fixture
def by_load(tmp_path):
    """Yield nodes whose contracts name the load of servers."""
    with Deployment(tmp_path, SERVICES, contracts="pressure") as started:
        yield started


SENDER = "n2"
"""A node in whose failure domain no server of the service is, so that it uses both."""


def loads(deployment, name=SENDER):
    """Return the load that each member has told a node."""
    group = deployment.nodes[name].load.members._services["stock"]
    return {name: member.load for name, member in group.members.items()}


def send_until(deployment, condition, name=SENDER):
    def sent_and_held():
        assert deployment.send_request(name, "/stock/1", None).status == 200
        return condition()

    wait_for(sent_and_held)


def test_each_node_learns_the_load_of_other_nodes_servers(by_load):
    """Guards against a load that isn't sent, or not read."""
    by_load.servers["n4"].extra_headers = [("X-Instance-Load", "6,3,7,200")]
    send_until(by_load, lambda: all(loads(by_load).values()))
    assert loads(by_load)["n4"].present >= 7
    assert loads(by_load)["n4"].slots == 7
    assert loads(by_load)["n3"].present <= 1


def test_a_damaged_load_changes_nothing(by_load):
    """Guards against a server that gets nothing, or all, for a damaged header."""
    by_load.servers["n4"].extra_headers = [("X-Instance-Load", "plenty")]
    node = by_load.nodes["n4"]
    send_until(by_load, lambda: node.metrics.damaged_loads >= 3, "n4")
    assert loads(by_load, "n4")["n4"].present <= 1
    names = [event.name for event in node.events.since(0)]
    assert names.count("damaged_load") == 1


def test_without_the_contract_no_load_is_told(tmp_path):
    """Guards against a change for deployments that don't choose by load."""
    with Deployment(tmp_path, SERVICES) as deployment:
        server = deployment.servers["n4"]
        server.extra_headers = [("X-Instance-Load", "6,3,7")]
        send_until(deployment, lambda: server.arrivals)
        assert set(loads(deployment).values()) == {None}
