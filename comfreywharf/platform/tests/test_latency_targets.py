"""The latency target of a request, as it is taken from its route."""

from types import SimpleNamespace

import pytest

from comfreywharf.daemon.callers.caller_stream import Head
from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.platform.callers import CallerApplication
from comfreywharf.routes.tests.builders import make_table


@pytest.fixture
def application():
    """Return the application of a node with one route, whose target is 400 ms."""
    routes = Routes()
    routes.apply(make_table())
    return CallerApplication(SimpleNamespace(routes=routes), "booking", 2.0)


def target_ms(application, deadline_ms):
    """Return the time until its target that a request of a caller is given."""
    headers = [("host", "x.example"), ("x-attempt-id", "1"), ("x-shard-key", "7")]
    headers.append(("x-deadline-ms", str(deadline_ms)))
    head = Head(method="GET", target="/a/b", headers=headers, length=0, keep_alive=True)
    origin = SimpleNamespace(may_be_nested=lambda service, caller: False)
    incoming = SimpleNamespace(origin=origin, part=object())
    return application._parse(head, incoming, 0.0).unwrap().request.target_ms


def test_one_caller_with_much_time_doesnt_make_the_others_late(application):
    """Guards against requests that wait behind all others for another's deadline."""
    assert target_ms(application, 2500) == 400
    assert target_ms(application, 60_000) == 400
    assert target_ms(application, 2500) == 400


def test_a_second_attempt_has_as_much_time_until_its_target(application):
    """Guards against returns of refused callers that wait behind all others."""
    assert target_ms(application, 1000) == 400
    assert target_ms(application, 550) == 400
