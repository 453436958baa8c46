"""The checks of the invariants, on ledgers that break one rule each."""

import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf_dev.failures.invariants import CallOutcome, Rule, find_violations
from comfreywharf_dev.failures.tests.builders import call_result, effect, grant

ANSWERED, NOT_RUN, UNKNOWN, NO_ANSWER = (
    CallOutcome.ANSWERED,
    CallOutcome.NOT_RUN,
    CallOutcome.UNKNOWN,
    CallOutcome.NO_ANSWER,
)

BROKEN = {
    "older owner after newer": (
        Rule.ONE_OWNER,
        [effect(1, "a", 4, "r1"), effect(2, "b", 6, "r2"), effect(3, "a", 4, "r3")],
        [],
        [],
    ),
    "one fence, two servers": (
        Rule.ONE_OWNER,
        [effect(1, "a", 4, "r1"), effect(2, "b", 4, "r2")],
        [],
        [],
    ),
    "fence went down on one server": (
        Rule.ONE_OWNER,
        [effect(1, "a", 6, "r1"), effect(2, "a", 4, "r2")],
        [],
        [],
    ),
    "a server's older owner after another server's": (
        Rule.ONE_OWNER,
        [
            effect(1, "a", 4, "r1"),
            effect(2, "b", 6, "r2"),
            effect(3, "a", 8, "r3"),
            effect(4, "a", 4, "r4", arrived_s=1),
        ],
        [],
        [],
    ),
    "older owner after newer, ledger not in order of time": (
        Rule.ONE_OWNER,
        [effect(3, "a", 4, "r3"), effect(1, "a", 4, "r1"), effect(2, "b", 6, "r2")],
        [],
        [],
    ),
    "grants overlap under one fence": (
        Rule.ONE_FENCE_ONE_SERVER,
        [],
        [],
        [grant("a", 4, 0, 10), grant("b", 4, 9, 12)],
    ),
    "applied twice": (
        Rule.AT_MOST_ONCE,
        [effect(1, "a", 4, "r1"), effect(2, "b", 6, "r1")],
        [],
        [],
    ),
    "not run, yet in the ledger": (
        Rule.NOT_RUN_IS_PROVED,
        [effect(1, "a", 4, "r1")],
        [call_result("r1", NOT_RUN), call_result("r1", NOT_RUN)],
        [],
    ),
    "answered, yet not in the ledger": (
        Rule.ANSWERED_IS_DONE,
        [],
        [call_result("r1", UNKNOWN), call_result("r1", ANSWERED)],
        [],
    ),
    "another key's answer": (
        Rule.OWN_ANSWER,
        [effect(1, "a", 4, "r1")],
        [call_result("r1", ANSWERED, echoed_key="other")],
        [],
    ),
    "another request's answer": (
        Rule.OWN_ANSWER,
        [effect(1, "a", 4, "r1")],
        [call_result("r1", ANSWERED, echoed_id="other")],
        [],
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_broken_rule_is_found(name):
    rule, effects, answers, grants = BROKEN[name]
    found = find_violations(effects, answers, grants)
    assert [violation.rule for violation in found] == [rule]


def test_what_is_allowed_is_not_reported():
    """Handovers, resends, rising fences and services without owners are allowed."""
    effects = [
        effect(4, "a", 10, "r9"),
        effect(5, "a", 8, "r10", arrived_s=3.5),
        effect(1, "a", 4, "r1"),
        effect(2, "b", 6, "r2"),
        effect(3, "a", 8, "r3"),
        effect(1, "a", 4, "r4", key_hash="8"),
        effect(1, "c", -1, "r5", key_hash=""),
        effect(2, "d", -1, "r6", key_hash=""),
    ]
    answers = [
        call_result("r1", ANSWERED),
        call_result("r2", NO_ANSWER),
        call_result("r2", NOT_RUN),
        call_result("r7", NOT_RUN),
        call_result("r8", UNKNOWN),
    ]
    grants = [grant("a", 4), grant("a", 4), grant("b", 6), grant("b", 4, 10, 20)]
    assert find_violations(effects, answers, grants) == []


@settings(derandomize=True, deadline=None)
@given(
    owners=st.lists(st.sampled_from("abc"), min_size=2, max_size=8, unique=False),
    data=st.data(),
)
def test_any_effect_after_the_hand_over_is_found(owners, data):
    """An effect of any earlier owner after a newer owner's first effect is found."""
    effects = [
        effect(at_s, server, at_s, f"r{at_s}") for at_s, server in enumerate(owners)
    ]
    assert find_violations(effects) == []
    late = data.draw(st.integers(0, len(owners) - 2))
    effects.append(effect(len(owners), owners[late], late, "late"))
    assert {one.rule for one in find_violations(effects)} == {Rule.ONE_OWNER}
