"""Requests in a small deployment on the platform's stand-ins, without faults."""

import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.tests.builders import forward_request
from comfreywharf.platform.tests.builders import Deployment
from comfreywharf.routing import Outcome, Reason


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Yield four nodes with their servers; all keys are held."""
    with Deployment(tmp_path_factory.mktemp("without_faults")) as started:
        yield started


def test_a_request_reaches_the_server_that_holds_its_key(deployment):
    """From any node, for the lowest key, the highest key and one between.

    A stand-in server doesn't run a request if it doesn't hold the key.
    """
    for key in (0, 30_000, 65_535):
        for name in deployment.nodes:
            answer = deployment.send_request(name, key=key)
            assert (answer.status, answer.body) == (200, b"done")
            assert answer.headers["x-response-stamp"].startswith("stamp-id-")
            assert deployment.ledger[-1].key == key
            assert len(deployment.holders(key)) <= 1


def test_a_request_is_forwarded_unchanged(deployment):
    """Method, path, query and body are unchanged; the router's headers are set."""
    body = bytes(range(256)) * 2000
    name = deployment.non_holder(7)
    answer = deployment.send_request(
        name, "/book/x?y=%20z", method="POST", body=body, X_Caller_Service="forged"
    )
    assert (answer.status, answer.body) == (200, body)
    sent = answer.headers["x-response-stamp"].removeprefix("stamp-")
    (seen,) = (
        headers
        for server in deployment.servers.values()
        for headers in server.headers
        if headers["HTTP_X_ATTEMPT_ID"] == sent
    )
    assert seen["HTTP_X_CALLER_SERVICE"] == deployment.servers[name].service
    assert seen["HTTP_HOST"] == "a.example"
    assert 0 < int(seen["HTTP_X_DEADLINE_MS"]) < 1000


def test_a_service_without_keys_is_served_by_any_of_its_servers(deployment):
    """The only route to the service works from each node."""
    for name in deployment.nodes:
        answer = deployment.send_request(
            name, "/stock/1", key=None, method="POST", body=b"b"
        )
        assert (answer.status, answer.body) == (200, b"b")


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"path": "/none/"}, 404),
        ({"Host": "b.example"}, 404),
        ({"key": None}, 400),
        ({"key": 65_536}, 400),
        ({"key": "x"}, 400),
        ({"X_Deadline_Ms": "soon"}, 400),
        ({"X_Big": "b" * 9000}, 431),
    ],
)
def test_bad_input_is_refused_with_its_status(deployment, fields, status):
    """Each error in a request has its own status, and nothing is run."""
    runs = len(deployment.ledger)
    assert deployment.send_request("n0", **fields).status == status
    assert len(deployment.ledger) == runs


def test_a_smuggled_request_isnt_run(deployment):
    """Guards against a request that no caller sent (request smuggling).

    A request has a body that looks like another request, and two contradictory
    lengths, so that two hops could disagree on where the body ends.
    """
    inner = b"GET /look/smuggled HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s\r\n\r\n"
    head = (
        b"POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: o\r\n"
        b"X-Shard-Key: 7\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n"
    )
    deployment.send("n0", head % (len(inner) + 5) + inner)
    assert "s" not in [run.request_id for run in deployment.ledger]


def test_a_node_refuses_a_request_for_another_service(deployment):
    """Guards against a server that runs requests of another service.

    A machine is replaced at its address by one of another service, and a node that
    hasn't folded this yet forwards a request. The receiver has to compare the service.
    """
    message = forward_request(method="GET", path="/stock/1")
    message.service_name, message.key = "stock", b""
    name = next(n for n, s in deployment.servers.items() if s.service == "booking")
    runs = len(deployment.ledger)
    served = deployment.nodes[name].forwarder.serve(message, b"", boottime_s())
    assert served.reply.outcome == Outcome.NOT_RUN
    assert served.reply.reason == Reason.NO_BACKEND.value
    assert len(deployment.ledger) == runs
