"""Services of the routes, declared once their servers are there."""

from types import SimpleNamespace

import attrs

from comfreywharf.daemon.owning.declaring import SLICES_PER_SERVER, Declaring
from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.placement import PlacementTuning
from comfreywharf.records import ClusterState, Configuration
from comfreywharf.routes.tests.builders import make_table


def make_declaring(servers):
    """Return what declares, for a node that began to plan at 0."""
    routes = Routes()
    routes.apply(make_table())
    members = {str(n): SimpleNamespace(service="booking") for n in range(servers)}
    node = SimpleNamespace(
        routes=routes,
        follower=SimpleNamespace(state=ClusterState(members=members)),
        ports=SimpleNamespace(placement=PlacementTuning(gather_s=2.0)),
    )
    declaring = Declaring(node)
    declaring._planning_since_s = 0.0
    return declaring, node.follower.state


def test_a_new_service_waits_for_its_servers():
    """Symptom: one server refuses callers for seconds, the others are idle.
    Sequence: all machines start; the planner divides the service's keys when the
    first server has announced itself. Cause: 16 slices for seven servers."""
    declaring, state = make_declaring(1)
    assert declaring._missing(1.9) == {}
    state.members.update({str(n): SimpleNamespace(service="booking") for n in range(7)})
    assert declaring._missing(2.1)["booking"].slices == 7 * SLICES_PER_SERVER


def test_a_declared_service_keeps_its_slices_whoever_is_there():
    """The number is for the beginning; nothing is declared anew for a restart."""
    declaring, state = make_declaring(7)
    (declared,) = declaring._missing(3.0).values()
    state.config = Configuration(version=1, services={"booking": declared})
    state.members.clear()
    assert declaring._missing(4.0) == {}
    state.config = Configuration(
        version=2, services={"booking": attrs.evolve(declared, max_body_bytes=1)}
    )
    assert declaring._missing(4.0) == {"booking": declared}
