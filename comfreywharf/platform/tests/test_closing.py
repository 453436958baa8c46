"""Servers that close their port before they stop."""

import gevent
import pytest

from comfreywharf.platform.tests.builders import LONG_TIMEOUT_MS, wait_for
from comfreywharf_dev.standins.platform_server import post


@pytest.mark.parametrize("leaves", [True, False])
def test_a_server_that_closes_its_port_keeps_its_keys_while_it_works(
    deployment, leaves
):
    """Guards against a key that is granted again while its last holder works on it.

    A server that leaves closes its port and its idle connections, and goes on with its
    request. Its node is then refused a connection for the next grant, which doesn't
    prove that the process has ended. If it counted as proof, the keys would move before
    the server's request ends: in one case, 0.14 s before, at a planned leave.
    """
    deployment.allow_long_requests()
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.work_s = 0.8
    wait_for(lambda: server.remaining_hold_s(7) > 1.0)
    deadline = str(LONG_TIMEOUT_MS)
    non_holder = deployment.non_holder(7)
    pending = gevent.spawn(deployment.send_request, non_holder, X_Deadline_Ms=deadline)
    wait_for(lambda: server.busy)
    if leaves:
        port = deployment.ports[name][3]
        assert post(port, f"/-/instances/{server.instance}/deregister", {}) == 200
    server.close_port()
    while not pending.ready():
        assert deployment.holders(7) in ([], [name])
        gevent.sleep(0.01)
    assert pending.value.status == 200
    server.crash()
    wait_for(lambda: deployment.holder(7) not in (None, name))
