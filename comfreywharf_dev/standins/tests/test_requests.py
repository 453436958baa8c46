"""Requests under faults, with real processes and checks of the ledger."""

import os
import signal
import socket
import time

import attrs
import pytest

from comfreywharf_dev.standins.cluster import Cluster, http_json, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

SETTLED_S = 1.0
"""Longer than a round of the planner and the fold of what it decides."""


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    services = riga_services(slices=4)
    services["booking"] = attrs.evolve(services["booking"], max_body_bytes=1 << 20)
    folder = tmp_path_factory.mktemp("requests")
    with Cluster(folder, riga_plans(booking=3, files=1)) as running:
        running.submit(services)
        running.wait_owned("booking")
        yield running


def owner_of(cluster, key):
    _, _, answer = cluster.call("files-1", "/booking/look", key=key, method="GET")
    return answer["server"].removeprefix("server-")


def other_than(cluster, owner):
    return next(n for n in cluster.plans if n != owner and n.startswith("booking"))


def effects_of(cluster, request_id):
    return [e for e in cluster.effects() if e["request_id"] == request_id]


def book(cluster, node_id, key, request_id, path="/booking/book", **headers):
    """Send a request for the first time."""
    headers.setdefault("Comfreywharf-First-Sent-Ago-Ms", "0")
    return resend(cluster, node_id, key, request_id, path, **headers)


def resend(cluster, node_id, key, request_id, path="/booking/book", **headers):
    """Send a request that may have been sent before."""
    sent_headers = {"Comfreywharf-Request-Id": request_id, **headers}
    status, answer_headers, body = cluster.call(node_id, path, key=key, **sent_headers)
    return status, answer_headers.get("Comfreywharf-Reason", ""), body


def restart_server(cluster, node_id):
    cluster.plans[node_id].server_process.wait()
    cluster.start_server(node_id)
    # The planner may have decided meanwhile to move the lost server's keys. They are
    # served until that decision is in force, and then not until the move ends.
    wait_until(lambda: is_served_for(cluster, SETTLED_S), 20)


def is_served_for(cluster, duration_s):
    """Return whether the key is served at each try for a time."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        status = cluster.call("files-1", "/booking/look", key="k", method="GET")[0]
        if status != 200:
            return False
        time.sleep(0.05)
    return True


def wait_running(cluster, node_id):
    """Wait until the server beside a node works on a request."""
    port = cluster.plans[node_id].server_port
    wait_until(lambda: http_json(port, "GET", "/load")[2]["busy_fraction"] > 0, 20)


def wait_idle(cluster, node_id):
    """Wait until the server beside a node works on nothing."""
    port = cluster.plans[node_id].server_port
    wait_until(lambda: http_json(port, "GET", "/load")[2]["busy_fraction"] == 0, 20)


def send_bytes(port, data):
    """Send bytes, end the sending side, and return all bytes of the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts)


def test_a_resend_gets_the_first_answer_and_runs_nothing(cluster):
    """A request sent again through another node gets the first answer.

    Guards against nodes that don't remember that the request ran: a caller whose
    answer was lost sends it again, and it would take effect twice.
    """
    owner = owner_of(cluster, "vesta")
    first = book(cluster, owner, "vesta", "resend")
    again = resend(cluster, other_than(cluster, owner), "vesta", "resend")
    assert first[0] == 200 and again == first
    assert len(effects_of(cluster, "resend")) == 1


def test_an_id_reused_for_another_request_is_refused(cluster):
    """A request id with another path is refused and doesn't get the first answer."""
    book(cluster, "files-1", "vesta", "reused")
    again = resend(cluster, "files-1", "vesta", "reused", "/booking/book?other=1")
    assert again[:2] == (409, "request-id-reused")


@pytest.mark.parametrize("when,effects", [("before", 0), ("after", 1)])
def test_the_outcome_is_unknown_if_the_server_crashes(cluster, when, effects):
    """The outcome is unknown if the server crashes before or after the effect.

    Guards against reporting a booking as failed that is in the calendar: a lost
    connection doesn't show whether the request was applied.
    """
    owner = owner_of(cluster, "k")
    path = f"/booking/crash?when={when}"
    request_id = f"crash-{when}"
    assert book(cluster, owner, "k", request_id, path)[:2] == (504, "backend-lost")
    restart_server(cluster, owner)
    assert len(effects_of(cluster, request_id)) == effects
    # The resend isn't run: it would crash the server, or book twice.
    assert resend(cluster, owner, "k", request_id, path)[0] == 504
    assert cluster.plans[owner].server_process.poll() is None


def test_the_outcome_is_unknown_if_the_server_crashes_while_working(cluster):
    """The outcome is unknown if the server crashes while it runs the request.

    Guards against reporting the request as not run because it had no effect: the node
    can't tell whether it had one. The server is killed while it works.
    """
    owner = owner_of(cluster, "k")
    request = (
        b"POST /booking/book?work_ms=2000 HTTP/1.1\r\nHost: x\r\n"
        b"Comfreywharf-Timeout-Ms: 4000\r\nComfreywharf-Key: k\r\n"
        b"Comfreywharf-Request-Id: at-work\r\n"
        b"Comfreywharf-First-Sent-Ago-Ms: 0\r\nContent-Length: 0\r\n\r\n"
    )
    port = cluster.plans["files-1"].caller_port
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(request)
        wait_running(cluster, owner)
        cluster.plans[owner].server_process.kill()
        head = sock.recv(65536).decode()
    assert " 504 " in head and "Comfreywharf-Reason: backend-lost" in head
    restart_server(cluster, owner)
    assert effects_of(cluster, "at-work") == []


def test_a_timed_out_request_has_no_later_effect(cluster):
    """A request that takes longer than its timeout has no effect afterwards.

    Guards against a server that gets neither the deadline nor the cancellation, so
    that a booking appears after its caller got a timeout.
    """
    path = "/booking/book?work_ms=400"
    status, reason, _ = book(
        cluster, "files-1", "k", "slow", path, **{"Comfreywharf-Timeout-Ms": "100"}
    )
    assert (status, reason) == (504, "deadline-passed")
    wait_idle(cluster, owner_of(cluster, "k"))
    assert effects_of(cluster, "slow") == []
    # Its cancellation proved that it didn't run, so the resend runs.
    status, reason, _ = book(cluster, "files-1", "k", "slow", path)
    assert (status, reason) == (200, "")
    assert len(effects_of(cluster, "slow")) == 1


def test_a_closed_caller_connection_cancels_the_request(cluster):
    """A request is cancelled when its caller closes the connection.

    Guards against a node that checks the connection only when it writes the answer, so
    that servers work for absent callers and queues grow. The caller closes its
    connection while the request runs at another node.
    """
    owner = owner_of(cluster, "vesta")
    port = cluster.plans[other_than(cluster, owner)].caller_port
    request = (
        b"POST /booking/book?work_ms=1500 HTTP/1.1\r\nHost: x\r\n"
        b"Comfreywharf-Timeout-Ms: 4000\r\n"
        b"Comfreywharf-Key: vesta\r\nComfreywharf-Request-Id: gone\r\n"
        b"Comfreywharf-First-Sent-Ago-Ms: 0\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(request)
        wait_running(cluster, owner)
    wait_idle(cluster, owner)
    assert effects_of(cluster, "gone") == []


def test_two_simultaneous_sends_have_one_effect(cluster):
    """A resend that arrives while the request runs waits for its answer."""
    ports = [plan.caller_port for plan in cluster.plans.values()]
    request = (
        b"POST /booking/book?work_ms=200 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Comfreywharf-Key: vesta\r\nComfreywharf-Request-Id: twice\r\n"
        b"Comfreywharf-First-Sent-Ago-Ms: 0\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    socks = [socket.create_connection(("127.0.0.1", port)) for port in ports]
    answers = []
    for sock in socks:
        sock.sendall(request)
    for sock in socks:
        with sock:
            parts = []
            while part := sock.recv(65536):
                parts.append(part)
        answers.append(b"".join(parts).split(b"\r\n\r\n", 1))
    assert all(head.startswith(b"HTTP/1.1 200") for head, _ in answers)
    assert len({body for _, body in answers}) == 1
    assert len(effects_of(cluster, "twice")) == 1


@pytest.mark.parametrize("beside_server", [True, False])
def test_a_truncated_answer_is_recognizable(cluster, beside_server):
    """A truncated answer can be recognized by the caller.

    Guards against forwarding the end of the server's connection, in the middle of a
    long answer, as the end of the answer: half a file would be stored as the whole.
    """
    node_id = "files-1" if beside_server else "booking-1"
    port = cluster.plans[node_id].caller_port
    path = b"GET /files/download?bytes=3000000&cut=1000000 HTTP/1.1\r\nHost: x\r\n\r\n"
    try:
        data = send_bytes_kept_open(port, path)
    except ConnectionResetError:
        return
    head, body = data.split(b"\r\n\r\n", 1)
    assert b"Content-Length: 3000000" in head and len(body) < 3_000_000


def send_bytes_kept_open(port, data):
    """Send bytes, keep the sending side open, and return all bytes of the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(data)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts)


BAD_INPUT = {
    "no HTTP": (b"\x16\x03\x01 hello\r\n\r\n", 400, ""),
    "no such service": (b"GET /nothing/x HTTP/1.1\r\n\r\n", 404, "unknown-service"),
    "no key": (b"GET /booking/x HTTP/1.1\r\n\r\n", 400, "key-missing"),
    "long key": (
        b"GET /booking/x HTTP/1.1\r\nComfreywharf-Key: %s\r\n\r\n" % (b"k" * 600),
        400,
        "key-too-long",
    ),
    "long headers": (
        b"GET /files/x HTTP/1.1\r\n%s\r\n" % (b"X-A: %s\r\n" % (b"a" * 9000) * 2),
        431,
        "headers-too-large",
    ),
    "long line": (b"GET /files/%s HTTP/1.1\r\n\r\n" % (b"a" * 9000), 414, ""),
    "bad length": (b"POST /files/x HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, ""),
    "bad timeout": (
        b"GET /files/look HTTP/1.1\r\nComfreywharf-Timeout-Ms: -1\r\n\r\n",
        400,
        "bad-request",
    ),
    "bad id": (
        b"GET /files/look HTTP/1.1\r\nComfreywharf-Request-Id: a b\r\n\r\n",
        400,
        "bad-request",
    ),
    "folded header": (
        b"GET /files/look HTTP/1.1\r\nX-A: 1\r\n Comfreywharf-Fence: 9\r\n\r\n",
        400,
        "bad-request",
    ),
    "cut body": (
        b"POST /files/look HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
        400,
        "bad-request",
    ),
    "body over the limit": (
        b"POST /booking/book HTTP/1.1\r\nComfreywharf-Key: k\r\n"
        b"Content-Length: 9999999\r\n\r\n",
        413,
        "body-too-large",
    ),
    "chunks over the limit": (
        b"POST /booking/book HTTP/1.1\r\nComfreywharf-Key: k\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        + (b"10000\r\n" + b"x" * 0x10000 + b"\r\n") * 20
        + b"0\r\n\r\n",
        413,
        "body-too-large",
    ),
}


@pytest.mark.parametrize("name", BAD_INPUT)
def test_bad_input_is_refused_and_the_node_keeps_serving(cluster, name):
    """Bad input gets a specific error, and the node keeps serving other requests."""
    data, status, reason = BAD_INPUT[name]
    port = cluster.plans["booking-1"].caller_port
    answer = send_bytes(port, data)
    head = answer.split(b"\r\n\r\n", 1)[0].decode("latin-1")
    assert head.split(" ")[1] == str(status)
    assert not reason or f"Comfreywharf-Reason: {reason}" in head
    status, headers, _ = cluster.call("booking-1", "/booking/look", "k", "GET")
    assert (status, headers.get("Comfreywharf-Reason", "")) == (200, "")


@pytest.mark.parametrize(
    "data",
    [
        b"\x7f\xff\xff\xff",
        b"\x00\x00\x00\x04\x80\x02\x00\x01",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
    ids=["absurd length", "other version", "HTTP"],
)
def test_a_bad_peer_is_disconnected_and_the_node_keeps_serving(cluster, data):
    """Data that isn't a call of this version closes only its own connection."""
    assert send_bytes(cluster.plans["booking-1"].peer_port, data) == b""
    status, headers, _ = cluster.call("booking-1", "/booking/look", "k", "GET")
    assert (status, headers.get("Comfreywharf-Reason", "")) == (200, "")


def test_a_quoted_path_reaches_the_server_as_it_was_sent(cluster):
    """A percent-encoded line end in a path adds no header and breaks no request."""
    path = "/files/look%0d%0aX-A:%20b%20c"
    status, _, answer = cluster.call("booking-1", path, method="GET")
    assert status == 200 and answer["path"].startswith("/look\r\n")


def test_the_outcome_is_unknown_at_the_deadline_if_the_owner_is_frozen(cluster):
    """A caller gets an answer at the deadline though the owner's node is frozen.

    Guards against a wait without end: the connections of a frozen node stay open.
    """
    owner = owner_of(cluster, "vesta")
    process = cluster.plans[owner].node_process
    os.kill(process.pid, signal.SIGSTOP)
    try:
        status, reason, _ = book(cluster, "files-1", "vesta", "frozen")
    finally:
        os.kill(process.pid, signal.SIGCONT)
    assert (status, reason) == (504, "deadline-passed")
    assert len(effects_of(cluster, "frozen")) <= 1


def test_a_request_is_not_run_again_after_its_owner_node_crashed(cluster):
    """A request that ran isn't run again by the next owner.

    Guards against a standby that runs a resend of a request that the lost owner ran.
    The ids of requests that were run are lost with the owner's node. The node crashes
    while the server works, and the caller sends the request again.
    """
    owner = owner_of(cluster, "vesta")
    process = cluster.plans[owner].node_process
    request = (
        b"POST /booking/book?work_ms=1000 HTTP/1.1\r\nHost: x\r\n"
        b"Comfreywharf-Timeout-Ms: 4000\r\n"
        b"Comfreywharf-Key: vesta\r\nComfreywharf-Request-Id: died\r\n"
        b"Comfreywharf-First-Sent-Ago-Ms: 0\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    port = cluster.plans["files-1"].caller_port
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(request)
        wait_running(cluster, owner)
        process.kill()
        process.wait()
        head = sock.recv(65536).decode()
    assert " 504 " in head and "Comfreywharf-Outcome: unknown" in head

    def taken_over():
        status, _, answer = cluster.call(
            "files-1", "/booking/look", key="vesta", method="GET"
        )
        return status == 200 and answer["server"] != f"server-{owner}"

    wait_until(taken_over, 20)
    resent = resend(cluster, "files-1", "vesta", "died", "/booking/book?work_ms=1000")
    assert resent[:2] == (504, "not-vouched")
    assert len(effects_of(cluster, "died")) <= 1
    assert book(cluster, "files-1", "vesta", "fresh")[0] == 200


def test_a_request_during_a_takeover_waits_for_the_next_owner(tmp_path):
    """A request during a takeover is held until the standby serves.

    Guards against forwarding the first refusal to the caller, so that callers are
    refused for as long as a takeover lasts. An owner is lost, and the next request for
    its key arrives before the standby may serve.
    """
    with Cluster(tmp_path, riga_plans(booking=3, files=1), lease_ms=400) as cluster:
        cluster.submit(riga_services(slices=4))
        cluster.wait_owned("booking")
        owner = owner_of(cluster, "vesta")
        for process in (
            cluster.plans[owner].node_process,
            cluster.plans[owner].server_process,
        ):
            process.kill()
            process.wait()
        status, _, answer = book(
            cluster, "files-1", "vesta", "held", **{"Comfreywharf-Timeout-Ms": "5000"}
        )
        assert status == 200 and answer["server"] != f"server-{owner}"
        assert len(effects_of(cluster, "held")) == 1
