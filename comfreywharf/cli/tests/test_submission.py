"""A record is submitted once, whatever becomes of the answers."""

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
    monkeypatch.setattr(module, "ASK_AGAIN_S", 0)


def submit(node):
    return submit_once(node, "/config", order(), SubmissionDocument, 4)[1]


@given(posted=verdicts, asked=st.lists(verdicts, max_size=14))
@settings(derandomize=True, deadline=None)
def test_posted_once_and_reported_as_it_is(posted, asked):
    """Symptom: a patch stands twice in the log, or its author is told wrongly.

    Sequence: the answer to a post is lost or comes too early; the tool asks
    again. Cause: a lost answer says nothing of what became of the record.
    """
    node = FakeNode([posted], asked)
    final = [v for v in [posted, *asked][: module.ASK_AGAIN_TIMES + 1] if v]
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
    """Symptom: a patch in force is reported as failed.

    Sequence: the node appends the record and dies; another node has read it.
    Cause: the tool knew only the node that it asked.
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
    """Only what was read back counts as done."""
    assert exit_code(submission(verdict)) == code
