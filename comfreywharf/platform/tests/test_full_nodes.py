"""Requests for which a node has no room: what their callers are told."""

import attrs
import gevent

from comfreywharf.platform.tests.builders import LONG_TIMEOUT_MS, wait_for

PLAIN = "n3"
"""The node beside the server of the service that isn't divided by key."""


def occupy(deployment, node):
    """Let one request take all the room that a node has; return its greenlet."""
    server = deployment.servers[PLAIN]
    server.may_finish.clear()
    deployment.allow_long_requests()
    memory = node.caller_memory
    memory.bounds = attrs.evolve(memory.bounds, requests=1)
    first = gevent.spawn(
        deployment.send_request,
        PLAIN,
        "/stock/1",
        None,
        method="POST",
        X_Deadline_Ms=str(LONG_TIMEOUT_MS),
    )
    wait_for(lambda: server.busy)
    return first


def test_a_request_without_room_is_refused_at_once_and_has_not_run(deployment):
    """Guards against a refusal that isn't true, or that names no time to return."""
    node = deployment.nodes[PLAIN]
    first = occupy(deployment, node)
    answer = deployment.send_request(PLAIN, "/stock/1", None, X_Attempt_Id="second")
    assert (answer.status, answer.body) == (503, b"router-full\n")
    assert answer.headers["x-attempt-id"] == "second"
    assert float(answer.headers["retry-after"]) > 0
    deployment.servers[PLAIN].may_finish.set()
    assert first.get(timeout=20).status == 200
    assert [run.request_id for run in deployment.ledger].count("second") == 0
    assert deployment.send_request(PLAIN, "/stock/1", None).status == 200


def test_a_body_without_room_is_refused_before_a_part_of_it_is_passed_on(deployment):
    """Guards against a request that is refused as not run, and has run."""
    node = deployment.nodes[PLAIN]
    memory = node.caller_memory
    memory.bounds = attrs.evolve(memory.bounds, memory_bytes=300_000)
    answer = deployment.send_request(
        PLAIN, "/stock/1", None, method="POST", body=b"x" * 250_000
    )
    assert (answer.status, answer.body) == (503, b"router-full\n")
    assert float(answer.headers["retry-after"]) > 0
    assert not deployment.ledger
    short = deployment.send_request(PLAIN, "/stock/1", None, method="POST", body=b"x")
    assert short.status == 200
