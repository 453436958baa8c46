"""Tests of what a reply tells about whether a backend server was reached."""

import attrs
import pytest

from comfreywharf.routing import Outcome, Reason, may_have_reached_backend, verdict_of


@attrs.frozen
class Reply:
    """The fields of a reply that `may_have_reached_backend` reads."""

    reason: str
    outcome: Outcome
    backend_reached: bool | None = None


def refused(reason, backend_reached=None):
    return Reply(reason.value, verdict_of(reason).outcome, backend_reached)


@pytest.mark.parametrize("reached", [True, False])
def test_a_refusal_says_whether_the_server_was_reached(reached):
    """The same reason comes from a node and from a server."""
    reply = refused(Reason.NOT_YET_OWNER, reached)
    assert may_have_reached_backend(reply) == reached


def test_refusals_of_an_earlier_release_are_judged_by_their_reason():
    """Guards against uncounted arrivals while nodes of two releases run."""
    assert may_have_reached_backend(refused(Reason.NOT_YET_OWNER))
    assert may_have_reached_backend(refused(Reason.REFUSED_BY_BACKEND))
    assert not may_have_reached_backend(refused(Reason.WRONG_OWNER))
    assert not may_have_reached_backend(refused(Reason.OVERLOADED))


def test_a_request_whose_outcome_is_unknown_may_have_reached_a_server():
    """A node that lost the connection to its peer can't tell."""
    assert may_have_reached_backend(refused(Reason.PEER_LOST, False))
    assert may_have_reached_backend(Reply("", Outcome.ANSWERED))
