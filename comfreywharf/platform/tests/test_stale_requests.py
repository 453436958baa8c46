"""Requests that a node sends on after it could not run for a while."""

import gevent
import pytest

from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.tests.builders import (
    Reply,
    ScriptedServer,
    backend_for,
    complete_answer,
    forward_request,
    running_request,
)
from comfreywharf.routing import Reason

SETTLE_S = 0.3
"""Longer than a request without a fault takes from its arrival to its server."""


@pytest.mark.parametrize("late_s", [0.0, 1.0])
def test_a_request_is_not_sent_to_its_server_after_its_deadline(late_s):
    """Guards against a node that stops between the admission and the send."""
    with ScriptedServer(*[Reply(complete_answer(b"a"))] * 2) as server:
        backend = backend_for(server)
        on_time = running_request()
        assert backend.exchange(forward_request(), "", b"", on_time).read(9) == b"a"
        with pytest.raises(BackendError) as caught:
            late = running_request(timeout_s=-late_s)
            backend.exchange(forward_request(), "", b"", late)
        assert caught.value.reason == Reason.DEADLINE_BEFORE_START
        gevent.sleep(SETTLE_S)
        assert server.requests == 1
