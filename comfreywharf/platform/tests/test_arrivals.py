"""Arrivals at a backend server beyond the first of each request, of all nodes."""

from collections import Counter

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.fleets import EXTRA, FRACTION, Fleet
from comfreywharf.routing import Reason

KEY = 7
CALLERS_PER_NODE = 6
CALLER_PAUSE_S = 0.05
MISDIRECTED_S = 2.0
FLEET_SIZES = (10, 40)
LOST_HOLDS = 4
REQUESTS_THAT_EARN_A_RETRY = 30
BETWEEN_LOSSES_S = 0.7


def arrivals_after_calm(path, size, refusal):
    """Return the `Arrivals` at a server that refuses all, after it has served all."""
    fleet = Fleet(path / f"{size} nodes", size)
    fleet.send(per_node=100)
    fleet.begin_window()
    fleet.server = refusal
    fleet.send(per_node=5)
    return fleet.arrivals


def test_requests_for_keys_that_a_server_doesnt_hold_stay_within_the_bound(tmp_path):
    """Guards against requests that go on to a server which doesn't hold their key."""
    for size in FLEET_SIZES:
        arrivals = arrivals_after_calm(tmp_path, size, Reason.NOT_YET_OWNER)
        assert arrivals.repeated <= arrivals.allowed


def test_a_retry_that_reaches_no_server_is_given_back(tmp_path):
    """Guards against nodes without a right that use up a service's retries."""
    fleet = Fleet(tmp_path, 1)
    fleet.send(per_node=100)
    tokens = fleet.retry_tokens
    fleet.server = Reason.NOT_YET_OWNER
    fleet.arrivals_left = 1
    (reply,) = fleet.send(per_node=1)
    assert reply.reason == Reason.WRONG_OWNER.value
    assert fleet.retry_tokens >= tokens > 1


def test_a_burst_of_retries_is_bounded_for_any_number_of_nodes(tmp_path):
    """Guards against a burst that is each node's own, saved up in a calm time."""
    for size in FLEET_SIZES:
        arrivals = arrivals_after_calm(tmp_path, size, Reason.REFUSED_BY_BACKEND)
        assert arrivals.repeated <= arrivals.allowed


def test_calls_of_repeated_runs_stay_within_the_called_services_bound(tmp_path):
    """Guards against retries that become arrivals beyond the bound elsewhere.

    Each run makes a call to a service that gets no other requests.
    """
    fleet = Fleet(tmp_path, 10)
    fleet.send(per_node=100)
    fleet.server, fleet.runs_second_arrivals = Reason.REFUSED_BY_BACKEND, True
    fleet.calls = 1.0
    fleet.send(per_node=100)
    assert fleet.repeated_runs * fleet.calls <= EXTRA


def test_a_server_that_holds_no_key_for_a_while_gets_few_requests_twice(deployment):
    """Guards against the same through real nodes: 2 s in which a server misdirects."""
    server = deployment.servers[deployment.holder(KEY)]
    answers = []
    ends_s = boottime_s() + MISDIRECTED_S

    def call(name):
        while boottime_s() < ends_s:
            answers.append(deployment.send_request(name))
            gevent.sleep(CALLER_PAUSE_S)

    before = Counter(server.arrivals)
    server.misdirects = True
    tasks = [
        gevent.spawn(call, name)
        for name in deployment.nodes
        for _ in range(CALLERS_PER_NODE)
    ]
    gevent.joinall(tasks, raise_error=True)
    server.misdirects = False
    repeated = sum(count - 1 for count in (server.arrivals - before).values())
    assert repeated <= FRACTION * len(answers) + EXTRA
    # A key that has moved to another server meanwhile is served there.
    assert {answer.status for answer in answers} <= {200, 503}
    assert not [run for run in deployment.ledger if run.instance == server.instance]
    assert deployment.send_request("n0").status == 200


def request_bytes(path, request_id, *lines):
    """Return a request for the key without a body."""
    head = (
        f"GET {path} HTTP/1.1",
        "Host: a.example",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 1000",
        f"X-Shard-Key: {KEY}",
        *lines,
    )
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def test_calls_of_servers_earn_no_retries(deployment):
    """Guards against retries beyond the bound at a service that servers call.

    A connection that has carried a request for the service beside the node is a
    caller's, and its requests earn retries; any other may be the server's.
    """
    node = deployment.nodes["n0"]
    calls = [request_bytes("/stock/1", f"call-{number}") for number in range(10)]
    closing = request_bytes("/stock/1", "last", "Connection: close")
    deployment.send("n0", b"".join([*calls, closing]))
    by_time = node.ingress.retry_tokens["stock"]
    deployment.send(
        "n0", request_bytes("/look/1", "look") + b"".join([*calls, closing])
    )
    earned = 11 * node.ports.retry_fraction
    assert node.ingress.retry_tokens["stock"] - by_time >= 0.9 * earned
    assert by_time < 0.5 * earned


def test_a_hold_that_a_server_has_lost_is_granted_again_at_once(deployment):
    """Guards against requests for a key that its server refuses until a renewal."""
    owner = deployment.holder(KEY)
    server = deployment.servers[owner]
    for _ in range(REQUESTS_THAT_EARN_A_RETRY):
        deployment.send_request(owner)
    for _ in range(LOST_HOLDS):
        server.held = []
        before = server.misdirected
        answers = [deployment.send_request(owner) for _ in range(5)]
        assert server.misdirected - before <= 1
        assert [answer.status for answer in answers] == [200] * 5
        gevent.sleep(BETWEEN_LOSSES_S)
