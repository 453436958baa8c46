"""Declaration of the routes' services once their servers have announced themselves."""

from types import SimpleNamespace

import attrs

from comfreywharf.daemon.ownership.service_declarer import (
    SLICES_PER_SERVER,
    ServiceDeclarer,
)
from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.placement import PlacementTuning
from comfreywharf.records import ClusterState, Configuration
from comfreywharf.routes.tests.builders import make_table


def make_declarer(servers):
    """Return a `ServiceDeclarer` of a node that has planned since 0, and the state."""
    routes = Routes()
    routes.apply(make_table())
    members = {str(n): SimpleNamespace(service="booking") for n in range(servers)}
    node = SimpleNamespace(
        routes=routes,
        follower=SimpleNamespace(state=ClusterState(members=members)),
        ports=SimpleNamespace(placement=PlacementTuning(first_nodes_wait_s=2.0)),
    )
    declarer = ServiceDeclarer(node)
    declarer._planning_since_s = 0.0
    return declarer, node.follower.state


def test_new_service_is_declared_after_its_servers_are_announced():
    """Guards against too few slices when all machines start at the same time.

    If the planner divides the service's keys when the first of seven servers has
    announced itself, there are only 16 slices. One server then refuses callers for
    seconds while the others are idle.
    """
    declarer, state = make_declarer(1)
    assert declarer._services_to_declare(1.9) == {}
    state.members.update({str(n): SimpleNamespace(service="booking") for n in range(7)})
    assert declarer._services_to_declare(2.1)["booking"].slices == 7 * SLICES_PER_SERVER


def test_declared_service_keeps_its_number_of_slices():
    """The number of servers counts only initially, not after a restart."""
    declarer, state = make_declarer(7)
    (declared,) = declarer._services_to_declare(3.0).values()
    state.config = Configuration(version=1, services={"booking": declared})
    state.members.clear()
    assert declarer._services_to_declare(4.0) == {}
    state.config = Configuration(
        version=2, services={"booking": attrs.evolve(declared, max_body_bytes=1)}
    )
    assert declarer._services_to_declare(4.0) == {"booking": declared}
