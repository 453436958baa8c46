"""One node of a deployment reads the store, and relays what it reads to its peers."""

from unittest import mock

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.logclient import LogError
from comfreywharf.platform.tests.builders import configuration, wait_for


def store_reader(deployment):
    """Return the name of the only node that reads the store, or ``None``."""
    found = [n for n, node in deployment.nodes.items() if not node.follower.relayed]
    return found[0] if len(found) == 1 else None


def test_one_node_reads_the_store_and_all_receive_its_records(deployment):
    """Guards against calls to the store in proportion to nodes times records.

    Only one node may read the records from the store.
    """
    wait_for(lambda: store_reader(deployment))
    deployment.store.put("keyed.op", "config", configuration(version=4))
    nodes = deployment.nodes.values()
    wait_for(lambda: all(node.routes.version == 4 for node in nodes))
    assert store_reader(deployment)


def test_nodes_receive_new_records_after_the_reader_is_lost(deployment):
    """Guards against an outdated configuration after the loss of another node.

    The node that reads the store is killed, and a configuration is written. Its peers
    must not go on waiting for it.
    """
    wait_for(lambda: store_reader(deployment))
    lost = store_reader(deployment)
    deployment.nodes.pop(lost).kill()
    deployment.store.put("keyed.op", "config", configuration(version=4))
    nodes = deployment.nodes.values()
    wait_for(lambda: all(node.routes.version == 4 for node in nodes))


def test_a_reader_that_the_store_refuses_is_bypassed(deployment):
    """Guards against an outdated configuration during a partial outage of the store.

    The store answers all nodes but the one that reads it. The peers must not count that
    node's answers as current.
    """
    wait_for(lambda: store_reader(deployment))
    store = deployment.nodes[store_reader(deployment)].ports.store
    with mock.patch.object(store, "_call", side_effect=LogError("refused")):
        deployment.store.put("keyed.op", "config", configuration(version=4))
        nodes = deployment.nodes.values()
        wait_for(lambda: all(node.routes.version == 4 for node in nodes))


def test_a_reader_whose_reads_of_the_routes_fail_is_bypassed(deployment):
    """Guards against outdated routes from a relay that still reads the record log."""
    wait_for(lambda: store_reader(deployment))
    failing = deployment.nodes[store_reader(deployment)]
    others = [node for node in deployment.nodes.values() if node is not failing]
    read = failing.ports.store.read

    def read_records_only(topic, *arguments):
        if topic == "keyed.op":
            raise LogError("no answer")
        return read(topic, *arguments)

    with mock.patch.object(failing.ports.store, "read", read_records_only):
        wait_for(lambda: failing.routes.age_s(boottime_s()) > 1.0)
        deployment.configure(4)
        wait_for(lambda: all(node.routes.version == 4 for node in others))
    assert failing.follower.reachable
