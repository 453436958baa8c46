"""The step that decided how a request ended is found among all of them."""

import orjson
import pytest

from comfreywharf.cli.main import run
from comfreywharf.events.explain import Step
from comfreywharf.events.verdict import format_verdict, verdict_on

REFUSED = Step(9, "ingress", "refused", {"asked": "owner", "fold": 7})
GIVEN_UP = Step(8, "ingress", "given_up", {"fold": 7, "fold_age_ms": 116})
FULL = Step(7, "owner", "not_admitted", {"reason": "overloaded", "running": 9})
AGAIN = Step(3, "ingress", "sent_again", {"after": "wrong-owner"})
NO_RIGHT = Step(2, "other", "no_right", {"reason": "wrong-owner", "fold": 3})


def test_the_last_refusal_before_the_end_decides():
    """Guards against an engineer who follows a refusal that another try made up for."""
    steps = [NO_RIGHT, AGAIN, FULL, GIVEN_UP, REFUSED]
    verdict = verdict_on(steps)
    assert steps[verdict.index] is FULL
    assert verdict.complete
    assert list(format_verdict(steps, verdict)) == [
        "decided by owner, not_admitted: overloaded (running=9)",
        "  ingress believed: log read to offset 7, 116 ms old",
    ]


def test_a_missing_line_of_the_node_that_was_asked_is_told():
    """Guards against a node that is blamed for what another one decided."""
    verdict = verdict_on([GIVEN_UP, REFUSED])
    assert not verdict.complete
    lines = list(format_verdict([GIVEN_UP, REFUSED], verdict))
    assert "  the line of owner, which was asked, is missing" in lines


def test_an_ingress_that_asked_nobody_decides_itself():
    step = Step(1, "ingress", "refused", {"reason": "no-owner", "asked": ""})
    verdict = verdict_on([step])
    assert verdict.complete
    assert verdict.index == 0


@pytest.mark.parametrize(
    "steps", [[], [NO_RIGHT, AGAIN], [Step(1, "ingress", "answered", {})]]
)
def test_a_request_that_has_not_ended_without_an_answer_has_no_verdict(steps):
    assert verdict_on(steps) is None


def test_the_tool_marks_the_deciding_step(capsys, tmp_path):
    """The text ends with the verdict; in JSON, one of the steps is marked."""
    path = tmp_path / "nodes.log"
    lines = [
        {"clock": s.clock << 16, "node": s.node, "decision": s.decision}
        | {"request": "r1", **s.facts}
        for s in (FULL, GIVEN_UP, REFUSED)
    ]
    path.write_bytes(b"\n".join(map(orjson.dumps, lines)))
    assert run(["explain", "r1", str(path)]) == 0
    assert "decided by owner, not_admitted" in capsys.readouterr().out
    assert run(["explain", "r1", str(path), "--json"]) == 0
    steps = [orjson.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [step["deciding"] for step in steps] == [True, False, False]
    assert steps[0]["beliefs"][0]["age_ms"] == 116
