"""Answers to unknown routes while the node's routes may be outdated."""

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import wait_for

APPLY_S = 2.0
"""How long a change of the routes may take to be in force, see the settings file."""


def test_an_unknown_route_is_answered_404_only_with_current_routes(deployment):
    """Guards against a final 404 from routes older than a change may take to apply."""
    routes = deployment.nodes["n0"].routes
    assert deployment.send_request("n0", "/added/1").status == 404
    deployment.store.fault = "busy"
    wait_for(lambda: routes.age_s(boottime_s()) > APPLY_S)
    answer = deployment.send_request("n0", "/added/1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    deployment.store.fault = ""
    wait_for(lambda: deployment.send_request("n0", "/added/1").status == 404)


def test_known_routes_are_served_during_an_outage_of_the_store(deployment):
    """Guards against an outage of the store that interrupts service."""
    routes = deployment.nodes["n0"].routes
    deployment.store.fault = "busy"
    wait_for(lambda: routes.age_s(boottime_s()) > APPLY_S)
    assert deployment.send_request("n0", "/look/1", key=7).status == 200
