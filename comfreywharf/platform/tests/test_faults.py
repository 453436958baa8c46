"""A small deployment on the platform's stand-ins, under faults."""

import gevent

from comfreywharf.platform.tests.builders import configuration, wait_for


def test_an_answer_to_another_request_isnt_forwarded(deployment):
    """Guards against a caller who receives the answer to another caller's request.

    A server answers with the id of another request. Its position on the connection
    alone doesn't identify an answer.
    """
    for server in deployment.servers.values():
        server.answer_id = "other"
    answer = deployment.send_request("n0", method="POST", path="/book/1", body=b"b")
    assert answer.status == 504


def test_a_configuration_is_replaced_by_newer_versions_only(deployment):
    """A removed route is gone at all nodes, and an older version doesn't restore it."""
    newer = configuration(version=5)
    del newer["routes"]["look"]
    deployment.store.put("keyed.op", "config", newer)
    nodes = deployment.nodes.values()
    wait_for(lambda: all(node.routes.version == 5 for node in nodes))
    deployment.store.put("keyed.op", "config", configuration(version=3))
    gevent.sleep(0.5)
    assert all(deployment.send_request(name).status == 404 for name in deployment.nodes)


def test_a_broken_configuration_changes_nothing(deployment):
    """The node keeps running with the configuration that it had."""
    deployment.store.put("keyed.op", "config", {"version": 9, "routes": []})
    gevent.sleep(0.5)
    assert deployment.send_request("n0").status == 200
