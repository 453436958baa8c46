"""A record is submitted once, even if answers are lost."""

import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.cli import submission as module
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.submission import exit_code, submit_once
from comfreywharf.cli.tests.builders import FakeNode, order, submission
from comfreywharf.daemon.operating.documents import SubmissionDocument, Verdict

verdicts = st.sampled_from([None, "accepted", "refused", "unknown"])


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(module, "QUERY_INTERVAL_S", 0)


def submit(node):
    return submit_once(node, "/config", order(), SubmissionDocument, 4)[1]


@given(posted=verdicts, asked=st.lists(verdicts, max_size=14))
@settings(derandomize=True, deadline=None)
def test_posted_once_and_reported_as_it_is(posted, asked):
    """A patch must not be appended twice, nor its outcome be reported wrongly.

    Both could happen if the answer to the post is lost, or if it is sent before
    the outcome is known, since the tool then queries the outcome.
    """
    node = FakeNode([posted], asked)
    final = [v for v in [posted, *asked][: module.MAX_QUERIES + 1] if v]
    certain = [v for v in final if v != "unknown"]
    if not final:
        with pytest.raises(CommandError, match="config outcome r1 --base 4") as raised:
            submit(node)
        assert raised.value.code == ExitCode.UNREACHABLE
    else:
        expected = Verdict(certain[0] if certain else "unknown")
        assert submit(node).verdict == expected
    assert node.posts == ["r1"]
    assert set(node.asked) <= {"r1"}


def test_the_asked_node_dies(monkeypatch):
    """A patch in force must not be reported as failed if the queried node crashes.

    The node appends the record and crashes, and another node has read it. The
    tool has to query the other node as well.
    """
    node = FakeNode([None], [], others=["booking-2"])
    other = FakeNode([], ["accepted"])
    monkeypatch.setattr(module, "other_nodes", lambda _: [("booking-2", other)])
    assert submit(node).verdict == Verdict.ACCEPTED
    assert other.posts == []


@pytest.mark.parametrize(
    "verdict, code",
    [("accepted", ExitCode.FINE), ("refused", 1), ("unknown", 1)],
)
def test_exit_codes(verdict, code):
    """Only an accepted record, which was read back from the log, exits with 0."""
    assert exit_code(submission(verdict)) == code
