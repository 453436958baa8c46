"""A record is submitted once, even if answers are lost."""

import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.cli import submission as module
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.submission import exit_code, submit_once
from comfreywharf.cli.tests.builders import FakeNode, make_order, submission
from comfreywharf.daemon.operating.documents import SubmissionDocument, Verdict

verdicts = st.sampled_from([None, "accepted", "refused", "unknown"])


@pytest.fixture(autouse=True)
def no_query_interval(monkeypatch):
    monkeypatch.setattr(module, "QUERY_INTERVAL_S", 0)


def submit(node):
    return submit_once(node, "/config", make_order(), SubmissionDocument, 4)[1]


@given(posted=verdicts, outcomes=st.lists(verdicts, max_size=14))
@settings(derandomize=True, deadline=None)
def test_a_record_is_posted_once_and_its_outcome_reported(posted, outcomes):
    """A patch must not be appended twice, nor its outcome be reported wrongly.

    The answer to the post is lost, or is sent before the outcome is known, so that
    the tool has to query the outcome.
    """
    node = FakeNode([posted], outcomes)
    verdicts_read = [v for v in [posted, *outcomes][: module.MAX_QUERIES + 1] if v]
    final_verdicts = [v for v in verdicts_read if v != "unknown"]
    if not verdicts_read:
        with pytest.raises(CommandError, match="config outcome r1 --base 4") as raised:
            submit(node)
        assert raised.value.code == ExitCode.UNREACHABLE
    else:
        expected = Verdict(final_verdicts[0] if final_verdicts else "unknown")
        assert submit(node).verdict == expected
    assert node.posts == ["r1"]
    assert set(node.queried_record_ids) <= {"r1"}


def test_the_outcome_is_queried_at_another_node_after_a_crash(monkeypatch):
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
def test_only_an_accepted_record_exits_with_0(verdict, code):
    """Only an accepted record, which was read back from the log, exits with 0."""
    assert exit_code(submission(verdict)) == code
