"""Servers that close their port before they end."""

import gevent
import pytest

from comfreywharf.platform.tests.builders import LONG_MS, wait_for
from comfreywharf_dev.standins.platform_server import post


@pytest.mark.parametrize("leaves", [True, False])
def test_a_server_that_closes_its_port_keeps_its_keys_while_it_works(
    deployment, leaves
):
    """Symptom: a key is given on while its last holder still works on it.
    Sequence: a server that leaves closes its port and its idle connections, and goes
    on with the request that it has; its node is refused a connection for the next
    grant.
    Cause: a port that refuses was taken for the proof that the process had ended.
    Evidence: two of four plays of a day with planned leaves only broke the rule; in the
    lines of one the node gives the server up as refused at 31.405 s, the keys go on at
    31.473 s, and the server's request ends well at 31.613 s."""
    deployment.allow_long_requests()
    name = deployment.holder(7)
    server = deployment.servers[name]
    server.work_s = 0.8
    wait_for(lambda: server.remaining_hold_s(7) > 1.0)
    deadline = str(LONG_MS)
    elsewhere = deployment.elsewhere(7)
    asking = gevent.spawn(deployment.ask, elsewhere, X_Deadline_Ms=deadline)
    wait_for(lambda: server.busy)
    if leaves:
        port = deployment.ports[name][3]
        assert post(port, f"/-/instances/{server.instance}/deregister", {}) == 200
    server.close_port()
    while not asking.ready():
        assert deployment.holders(7) in ([], [name])
        gevent.sleep(0.01)
    assert asking.value.status == 200
    server.crash()
    wait_for(lambda: deployment.holder(7) not in (None, name))
