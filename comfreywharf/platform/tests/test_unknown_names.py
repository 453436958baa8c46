"""Names of the platform that the adapter doesn't know are reported and counted."""

from comfreywharf.metrics import Metrics
from comfreywharf.platform.tests.builders import configuration, wait_for
from comfreywharf.platform.unknown_names import (
    MAX_REPORTED,
    MessageKind,
    UnknownNames,
)


def reported_names(node):
    """Return the ``(message, name)`` pairs that a node has reported."""
    events = [event for event in node.events.since(0) if event.name == "unknown_name"]
    return [(event.fields["message"], event.fields["name"]) for event in events]


def test_an_unknown_header_of_an_answer_is_reported_once(deployment):
    """Guards against a rule of the platform that is ignored without a line."""
    owner = deployment.holder(7)
    node = deployment.nodes[owner]
    deployment.servers[owner].extra_headers = [("Server-Mood", "weary")]
    for _ in range(3):
        assert deployment.send_request(owner).status == 200
    assert reported_names(node).count(("server-answer", "server-mood")) == 1
    assert node.metrics.unknown_names["server-answer"] == 3


def test_an_unknown_field_of_a_heartbeat_is_reported(deployment):
    """Guards against the same in what a server reports of itself."""
    deployment.servers["n1"].extra_fields = {"mood": "weary"}
    node = deployment.nodes["n1"]
    wait_for(lambda: ("heartbeat", "mood") in reported_names(node))


def test_an_unknown_field_of_the_configuration_is_reported(deployment):
    """Guards against the same in what the operator writes."""
    document = configuration(version=2)
    document["services"]["stock"]["mood"] = "weary"
    deployment.store.put("keyed.op", "config", document)
    nodes = deployment.nodes.values()
    wait_for(lambda: any(("configuration", "mood") in reported_names(n) for n in nodes))


def test_an_unknown_header_of_the_store_is_reported(deployment):
    """Guards against the same in the store's answers."""
    deployment.store.extra_headers = [("Store-Mood", "weary")]
    nodes = deployment.nodes.values()
    wait_for(
        lambda: any(("store-answer", "store-mood") in reported_names(n) for n in nodes)
    )


def test_the_known_names_are_not_reported(deployment):
    """A deployment that uses what the adapter knows reports nothing."""
    deployment.send_request("n0")
    assert not any(reported_names(node) for node in deployment.nodes.values())


def test_the_number_of_reported_names_is_bounded():
    """Guards against a server that sends a new header with each answer."""
    reported = []
    metrics = Metrics()
    names = UnknownNames(lambda event, **fields: reported.append(fields), metrics)
    for number in range(10 * MAX_REPORTED):
        names.check(MessageKind.SERVER_ANSWER, {f"x-{number}", "content-length"})
    assert len(reported) == MAX_REPORTED
    assert metrics.unknown_names["server-answer"] == 10 * MAX_REPORTED
