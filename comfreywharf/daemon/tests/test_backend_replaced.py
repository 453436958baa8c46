"""A backend server that another instance replaces before its loss is detected."""

from types import SimpleNamespace

import pytest

from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.tests.builders import announcement, node_settings


@pytest.mark.parametrize(("fenced", "surrenders"), [(False, 0), (True, 1)])
def test_the_lease_is_given_up_only_where_the_new_instance_needs_a_higher_fence(
    fenced, surrenders
):
    """A fast restart keeps the lease if a grants message replaces all earlier ones.

    A new instance announces itself before the earlier one's port refuses. If the
    lease were surrendered without need, standbys would take the keys over, and they
    would be refused for a second or two after each fast restart.
    """
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
