"""Replies that a node makes without an answer of the backend server."""

import pytest

from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.routing import Outcome, Reason

PROMISES = (408, 421, 429, 503)


@pytest.mark.parametrize("reason", Reason)
def test_a_request_that_may_have_run_gets_no_status_that_denies_it(reason):
    """Guards against an upload that is refused as not run, and has run."""
    assert refusal(reason, outcome=Outcome.UNKNOWN).status not in PROMISES


def test_an_upload_that_was_too_slow_before_it_was_passed_on_is_refused():
    """Guards against a refusal that says less than is known."""
    reply = refusal(Reason.BODY_TOO_SLOW)
    assert (reply.status, reply.outcome) == (408, Outcome.NOT_RUN)
