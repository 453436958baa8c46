"""Services of the routes, declared once their servers are there."""

from types import SimpleNamespace

import attrs

from comfreywharf.daemon.owning.service_declarer import (
    SLICES_PER_SERVER,
    ServiceDeclarer,
)
from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.placement import PlacementPace
from comfreywharf.records import ClusterState, Configuration
from comfreywharf.routes.tests.builders import make_table


def make_declarer(servers):
    """Return what declares, for a node that began to plan at 0."""
    routes = Routes()
    routes.use(make_table())
    members = {str(n): SimpleNamespace(service="booking") for n in range(servers)}
    node = SimpleNamespace(
        routes=routes,
        follower=SimpleNamespace(state=ClusterState(members=members)),
        ports=SimpleNamespace(placement=PlacementPace(gather_s=2.0)),
    )
    declarer = ServiceDeclarer(node)
    declarer._planning_since_s = 0.0
    return declarer, node.follower.state


def test_a_new_service_waits_for_its_servers():
    """Symptom: one server refuses callers for seconds, the others are idle.
    Sequence: all machines start; the planner divides the service's keys when the
    first server has announced itself. Cause: 16 slices for seven servers."""
    declarer, state = make_declarer(1)
    assert declarer._services_to_declare(1.9) == {}
    state.members.update({str(n): SimpleNamespace(service="booking") for n in range(7)})
    assert declarer._services_to_declare(2.1)["booking"].slices == 7 * SLICES_PER_SERVER


def test_a_declared_service_keeps_its_slices_whoever_is_there():
    """The number is for the beginning; nothing is declared anew for a restart."""
    declarer, state = make_declarer(7)
    (declared,) = declarer._services_to_declare(3.0).values()
    state.config = Configuration(version=1, services={"booking": declared})
    state.members.clear()
    assert declarer._services_to_declare(4.0) == {}
    state.config = Configuration(
        version=2, services={"booking": attrs.evolve(declared, max_body_bytes=1)}
    )
    assert declarer._services_to_declare(4.0) == {"booking": declared}
