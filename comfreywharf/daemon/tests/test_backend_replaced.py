"""A backend server that another one takes the place of, unnoticed."""

from types import SimpleNamespace

import pytest

from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.tests.builders import announcement, node_settings


@pytest.mark.parametrize(("fenced", "surrenders"), [(False, 0), (True, 1)])
def test_the_lease_is_given_up_only_where_the_new_one_needs_a_higher_fence(
    fenced, surrenders
):
    """Symptom: keys are refused for a second or two whenever a server restarts fast.
    Sequence: a new instance announces itself before the old one's port refused.
    Cause: the lease was surrendered, and standbys took the keys over, also where a
    grant message replaces all that came before it."""
    settings = node_settings()
    ports = OwnPorts(settings)
    ports.fenced = fenced
    node = Node(settings, ports)
    given_up = []
    node.leases = SimpleNamespace(
        surrender=lambda *args: given_up.append(args), recover=lambda: None
    )
    node.backend_announced(announcement("1"))
    node.backend_announced(announcement("2"))
    assert len(given_up) == surrenders
    assert node.backend.announcement.instance == "2"
