"""A backend server that another one takes the place of, unnoticed."""

from types import SimpleNamespace

import pytest

from comfreywharf.daemon.backend import Announcement
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.settings.model import Address, NodeSettings

SETTINGS = NodeSettings(
    node_id="n",
    host="127.0.0.1",
    caller_port=0,
    peer_port=0,
    operator_port=0,
    backend_port=0,
    failure_domain="d",
    region="r",
    log=Address("127.0.0.1", 1),
)


def announcement(instance):
    return Announcement(
        name="s",
        service="booking",
        host="127.0.0.1",
        port=1,
        slots=1,
        connections=1,
        checks_fences=True,
        instance=instance,
    )


@pytest.mark.parametrize(("fenced", "surrenders"), [(False, 0), (True, 1)])
def test_the_lease_is_given_up_only_where_the_new_one_needs_a_higher_fence(
    fenced, surrenders
):
    """Symptom: keys are refused for a second or two whenever a server restarts fast.
    Sequence: a new instance announces itself before the old one's port refused.
    Cause: the lease was surrendered, and standbys took the keys over, also where a
    grant message replaces all that came before it."""
    ports = OwnPorts(SETTINGS)
    ports.fenced = fenced
    node = Node(SETTINGS, ports)
    given_up = []
    node.leases = SimpleNamespace(
        surrender=lambda *args: given_up.append(args), recover=lambda: None
    )
    node.backend_announced(announcement("1"))
    node.backend_announced(announcement("2"))
    assert len(given_up) == surrenders
    assert node.backend.announcement.instance == "2"
