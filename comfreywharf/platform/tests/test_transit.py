"""Requests with a long transit time between two nodes."""

from unittest import mock

import gevent

from comfreywharf.daemon.requests.forward_calls import ForwardCalls

KEY = 7
TRANSIT_S = 1.2
"""Longer than the caller waits, which is 1 s."""


class SlowLink:
    """A network path on which a request takes ``delay_s`` between nodes."""

    def __init__(self):
        self.delay_s = 0.0
        forward = ForwardCalls.forward

        def arrive(calls, request):
            gevent.sleep(self.delay_s)
            return forward(calls, request)

        self.patch = mock.patch.object(ForwardCalls, "forward", arrive)


def test_a_request_that_arrives_after_its_deadline_is_not_run(deployment):
    """Guards against work for callers that are gone.

    On a congested link between two nodes, a request is on its way until after its
    deadline.
    """
    link = SlowLink()
    with link.patch:
        ingress = deployment.non_holder(KEY)
        assert deployment.send_request(ingress, key=KEY).status == 200
        deployment.ledger.clear()
        link.delay_s = TRANSIT_S
        answer = deployment.send_request(ingress, key=KEY)
        gevent.sleep(TRANSIT_S)
    assert answer.status >= 500
    assert not deployment.ledger
