"""Servers that accept a request and never answer it."""

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
    """Make a server answer no further request."""
    server.work_s = 60.0


def test_a_request_that_hangs_ends_at_its_deadline_and_releases_its_slot(deployment):
    """Guards against slots that are occupied while the server does nothing.

    A server accepts a request and never answers it. The wait has to end at the
    deadline, and the slot has to be released with it.
    """
    name = deployment.holder(7)
    hang(deployment.servers[name])
    assert deployment.send_request("n3", X_Deadline_Ms="400").status == 504
    admission = deployment.nodes[name].load.admission_state
    wait_for(lambda: not admission.in_flight)


def test_a_connection_that_hung_carries_no_further_request(deployment):
    """Guards against requests that hang one after the other at a recovered server.

    A request hangs, and the server goes on with requests on other connections. The
    connection that hung must not return to the pool.
    """
    name = deployment.holder(7)
    server = deployment.servers[name]
    hang(server)
    assert deployment.send_request("n3", X_Deadline_Ms="400").status == 504
    server.work_s = 0.0
    assert [deployment.send_request("n3").status for _ in range(5)] == [200] * 5


def test_a_server_that_never_answers_is_avoided(deployment):
    """Guards against half of a service's requests ending at their deadline for seconds.

    One of two servers never answers; the other one has capacity.
    """
    hang(deployment.servers["n3"])
    for _ in range(4):
        tasks = [
            gevent.spawn(
                deployment.send_request, "n0", "/stock/1", None, X_Deadline_Ms="300"
            )
            for _ in range(8)
        ]
        gevent.joinall(tasks)
    statuses = [
        deployment.send_request("n0", "/stock/1", None).status for _ in range(10)
    ]
    assert statuses.count(200) >= 9
