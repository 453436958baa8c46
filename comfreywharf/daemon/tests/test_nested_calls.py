"""Tests of the mark that the calls of a backend server get at the node beside it."""

from types import SimpleNamespace

import pytest

from comfreywharf.daemon.operating.metering import Meter
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.daemon.servers.nested_calls import NestedCallMarker
from comfreywharf.daemon.tests.builders import forward_request
from comfreywharf.load.callroutes import MIN_OBSERVATIONS, Run
from comfreywharf.metrics import Metrics
from comfreywharf.records import ServiceConfig
from comfreywharf.routes import RouteTable
from comfreywharf.routing import Reason

RUN = Run(1, rank=0, deadline_s=11.0)


class Beside:
    """A marker with the runs in progress at its server, which tests change."""

    def __init__(self):
        self.runs = [RUN]
        self.metrics = Metrics()
        self._listeners = []
        node = SimpleNamespace(
            routes=SimpleNamespace(subscribe=self._listeners.append),
            metrics=self.metrics,
        )
        self.marker = NestedCallMarker(node, lambda: self.runs)

    def learn(self, route="stock"):
        """Let the marker observe enough calls of the run in progress."""
        for _ in range(MIN_OBSERVATIONS):
            self.serve(call(route=route))

    def serve(self, one):
        """Mark one call, end it at once, and return it."""
        self.marker.observe_end(one, self.marker.mark(one))
        return one

    def configure(self, table):
        """Put a table of routes in force."""
        for listener in self._listeners:
            listener(table)


@pytest.fixture
def beside():
    return Beside()


def call(route="stock", may_be_nested=True, expires_s=10.4):
    request = SimpleNamespace(service_name="orders", priority=1, nested=None)
    return SimpleNamespace(
        request=request, may_be_nested=may_be_nested, route=route, expires_s=expires_s
    )


def test_a_call_gets_the_rank_of_its_run(beside):
    """Guards against calls of urgent runs that queue with less urgent requests."""
    beside.learn()
    marked = beside.serve(call())
    assert (marked.request.nested, marked.request.priority) == (True, 0)
    assert beside.metrics.nested_calls == {("orders", 0): 1}


def test_a_request_without_a_run_isnt_marked(beside):
    """Guards against callers' requests on a call's route that get a place before."""
    beside.learn()
    beside.runs = []
    assert beside.serve(call()).request.nested is None


def test_a_request_that_outlasts_its_run_teaches_the_marker(beside):
    """Guards against routes of callers that are taken for routes of calls."""
    for _ in range(MIN_OBSERVATIONS):
        one = call()
        runs = beside.marker.mark(one)
        beside.runs = []
        beside.marker.observe_end(one, runs)
        beside.runs = [RUN]
    assert beside.serve(call()).request.nested is None


def test_a_known_callers_request_is_neither_marked_nor_observed(beside):
    """Guards against callers on kept connections that blur what is known of calls."""
    beside.learn()
    beside.runs = []
    for _ in range(MIN_OBSERVATIONS):
        beside.serve(call(may_be_nested=False))
    beside.runs = [RUN]
    assert beside.serve(call()).request.nested


def test_a_removed_route_has_to_be_learned_again(beside):
    """Guards against a route that a new configuration gives to callers."""
    beside.learn()
    beside.configure(RouteTable(version=2))
    assert beside.serve(call()).request.nested is None


def test_a_call_on_a_route_that_is_more_urgent_than_its_run_stays_as_it_is(beside):
    """Guards against calls of lookups that delay uploads, which are more urgent."""
    beside.learn()
    beside.runs = [Run(1, rank=2, deadline_s=11.0)]
    one = beside.serve(call())
    assert (one.request.nested, one.request.priority) == (None, 1)


def ended_calls(nested, reply):
    """Return the lost calls that a node of the desk counts after one call has ended."""
    announcement = SimpleNamespace(service="desk")
    node = SimpleNamespace(
        metrics=Metrics(), backend=SimpleNamespace(announcement=announcement)
    )
    request = forward_request()
    request.key, request.priority, request.nested = b"", 1, nested
    call = SimpleNamespace(
        request=request, service=ServiceConfig(name="booking"), began_s=1.0
    )
    Meter(node).request_ended(call, reply)
    return dict(node.metrics.lost_nested_calls)


def test_lost_calls_are_counted_for_the_service_whose_runs_they_fail():
    """Guards against an operator who can't tell whose work is thrown away."""
    refused = refusal(Reason.OVERLOADED)
    lost = {("desk", "booking", "1", "overloaded"): 1}
    assert ended_calls(True, refused) == lost
    assert ended_calls(None, refused) == {}
    answered = refusal(Reason.OVERLOADED)
    answered.reason = ""
    assert ended_calls(True, answered) == {}
