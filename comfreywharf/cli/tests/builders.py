"""Fake nodes with predefined answers, for tests of the tool without processes."""

from comfreywharf.cli.client import AnswerLost
from comfreywharf.daemon.operating.documents import (
    NodeDocument,
    PatchOrder,
    SubmissionDocument,
    Verdict,
)

__all__ = ["FakeNode", "make_order", "submission"]


def make_order():
    """Return a patch order."""
    return PatchOrder(
        record_id="r1", base_version=4, author="ilze", services={"booking": None}
    )


def submission(verdict):
    """Return the answer to the order of `make_order`, with a verdict."""
    return SubmissionDocument(
        record_id="r1", verdict=Verdict(verdict), version=5, next_offset=9
    )


class FakeNode:
    """A node that answers posts and queries from lists of verdicts.

    ``None`` and the end of a list stand for a lost answer.
    """

    def __init__(self, post=(), outcomes=(), others=()):
        self._answers = {"post": list(post), "outcome": list(outcomes)}
        self._others = [
            NodeDocument(
                node_id=node_id,
                host="127.0.0.1",
                caller_port=1,
                peer_port=2,
                operator_port=3,
                failure_domain="teika",
                region="riga",
                service="booking",
                incarnation=1,
                draining=False,
                owned_slices=0,
                standby_slices=0,
                awaited_slices=0,
                lease_epoch=1,
                checks_fences=False,
            )
            for node_id in others
        ]
        self.posts = []
        self.queried_record_ids = []

    def get(self, path, cls, **query):
        if path == "/nodes":
            return self._others
        self.queried_record_ids.append(query["record_id"])
        return self._next_answer("outcome")

    def post(self, path, order, cls):
        self.posts.append(order.record_id)
        return self._next_answer("post")

    def _next_answer(self, kind):
        verdict = self._answers[kind].pop(0) if self._answers[kind] else None
        if verdict is None:
            raise AnswerLost("lost")
        return submission(verdict)
