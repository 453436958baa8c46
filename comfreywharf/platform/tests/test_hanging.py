"""Servers that never answer what they can't queue, nor anything more on that line."""

import gevent
import pytest

from comfreywharf.platform.tests.builders import Deployment, wait_for


@pytest.fixture
def deployment(tmp_path):
    """Yield a deployment with two servers of a service that isn't divided by key."""
    services = ("booking", "booking", "booking", "stock", "stock")
    with Deployment(tmp_path, services) as started:
        yield started


def hang(server):
    """Have a server answer nothing any more, whatever it is asked."""
    server.work_s = 60.0


def test_a_request_that_hangs_ends_at_its_time_and_frees_its_slot(deployment):
    """Symptom: a server's slots are all in use, and it does nothing.
    Events: a server takes a request and never answers it.
    Cause: nobody ends the wait, or the slot is kept behind it."""
    name = deployment.holder(7)
    hang(deployment.servers[name])
    assert deployment.ask("n3", X_Deadline_Ms="400").status == 504
    admission = deployment.nodes[name].load.admission_state
    wait_for(lambda: not admission.in_flight)


def test_a_connection_that_hung_carries_no_further_request(deployment):
    """Symptom: one request after the other hangs, though the server has room again.
    Events: a request hangs; the server goes on with what comes on other connections.
    Cause: its connection was given back, and the next request went out there."""
    name = deployment.holder(7)
    server = deployment.servers[name]
    hang(server)
    assert deployment.ask("n3", X_Deadline_Ms="400").status == 504
    server.work_s = 0.0
    assert [deployment.ask("n3").status for _ in range(5)] == [200] * 5


def test_a_server_that_hangs_on_everything_is_left_alone(deployment):
    """Symptom: half of a service's requests end at their deadline for seconds.
    Events: one of two servers hangs on everything; the other one has room."""
    hang(deployment.servers["n3"])
    for _ in range(4):
        asked = [
            gevent.spawn(deployment.ask, "n0", "/stock/1", None, X_Deadline_Ms="300")
            for _ in range(8)
        ]
        gevent.joinall(asked)
    statuses = [deployment.ask("n0", "/stock/1", None).status for _ in range(10)]
    assert statuses.count(200) >= 9
