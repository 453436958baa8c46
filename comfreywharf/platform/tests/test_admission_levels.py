"""Requests for an overloaded service, at the node where they arrive."""

from comfreywharf.platform.tests.builders import Deployment
from comfreywharf.transport.gen.ttypes import AdmissionLevel

KEY = 7
REQUESTS = 40


def test_a_request_above_the_level_of_its_owner_doesnt_leave_its_node(tmp_path):
    """Guards against requests of which a link carries what the owner refuses.

    The owner's level reaches the other node with the answer to a first request.
    """
    with Deployment(tmp_path, contracts="pressure") as deployment:
        deployment.allow_long_requests()
        other = deployment.non_holder(KEY)
        stated = AdmissionLevel(rank=0, fraction=0.0, valid_ms=1000)
        for node in deployment.nodes.values():
            node.load.admission_level = lambda service: stated
        arrived = deployment.servers[deployment.holder(KEY)].arrivals
        answers = [deployment.send_request(other, key=KEY) for _ in range(REQUESTS)]
        refused = [answer for answer in answers if answer.status == 503]
        assert answers[0].status == 200
        assert len(refused) > REQUESTS / 4
        for answer in refused:
            assert answer.body == b"overloaded\n"
            assert 0.3 <= float(answer.headers["retry-after"]) <= 0.34
            assert answer.headers["x-attempt-id"] not in arrived
