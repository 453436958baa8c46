"""Requests that are long on their way between two nodes."""

from unittest import mock

import gevent

from comfreywharf.daemon.requests.forward_calls import ForwardCalls

KEY = 7
LONGER_THAN_ITS_CALLER_WAITS_S = 1.2


class Way:
    """A way between nodes that takes ``took_s`` for a request."""

    def __init__(self):
        self.took_s = 0.0
        forward = ForwardCalls.forward

        def arrive(calls, request):
            gevent.sleep(self.took_s)
            return forward(calls, request)

        self.patch = mock.patch.object(ForwardCalls, "forward", arrive)


def test_a_request_that_arrives_after_its_deadline_is_not_run(deployment):
    """Guards against work for callers who have gone, sent on behind a full link."""
    way = Way()
    with way.patch:
        ingress = deployment.elsewhere(KEY)
        assert deployment.ask(ingress, key=KEY).status == 200
        deployment.ledger.clear()
        way.took_s = LONGER_THAN_ITS_CALLER_WAITS_S
        answer = deployment.ask(ingress, key=KEY)
        gevent.sleep(LONGER_THAN_ITS_CALLER_WAITS_S)
    assert answer.status >= 500
    assert not deployment.ledger
