"""Requests that are long on their way between two nodes."""

from unittest import mock

import gevent

from comfreywharf.daemon.requests.forward_calls import ForwardCalls

KEY = 7
LONGER_THAN_ITS_CALLER_WAITS_S = 1.2


def test_a_request_that_arrives_after_its_deadline_is_not_run(deployment):
    """Guards against work for callers who have gone, sent on behind a full link."""
    forward = ForwardCalls.forward
    ingress = deployment.elsewhere(KEY)
    assert deployment.ask(ingress, key=KEY).status == 200
    deployment.ledger.clear()

    def arrive_late(self, request):
        gevent.sleep(LONGER_THAN_ITS_CALLER_WAITS_S)
        return forward(self, request)

    with mock.patch.object(ForwardCalls, "forward", arrive_late):
        answer = deployment.ask(ingress, key=KEY)
        gevent.sleep(LONGER_THAN_ITS_CALLER_WAITS_S)
    assert answer.status >= 500
    assert not deployment.ledger
