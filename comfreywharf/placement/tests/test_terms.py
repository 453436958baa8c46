"""Tests of the election of the planner: who starts a term, and how many at once."""

from comfreywharf.placement.terms import (
    ReportAnswered,
    ReportFailed,
    StartTerm,
    TermState,
    Tick,
    decide,
)

NODES = tuple(f"node-{number}" for number in range(160))


def make_states(missed_reports):
    states = [TermState(node_id=node_id, term=1) for node_id in NODES[1:]]
    for state in states:
        for _ in range(missed_reports):
            decide(state, ReportFailed(planner_id="node-0"), 0.0)
    return states


def starts(states, seconds, *, planner_id="node-0", log_reachable=True):
    """Return ``(time, node_id)`` of each `StartTerm`; none of them is folded."""
    tick = Tick(
        planner_id=planner_id, term=1, members=NODES, log_reachable=log_reachable
    )
    found = []
    for step in range(int(seconds * 4)):
        for state in states:
            _, actions = decide(state, tick, step / 4)
            found += [(step / 4, state.node_id) for _ in actions]
    return found


def test_the_loss_of_the_planner_starts_few_terms():
    """Candidates start a term in order, and not all 160 at once.

    Guards against an overload of the log after the loss of the planner: all nodes
    detect the loss, and if each appended the start of a term at once, the log would
    refuse appends for seconds.
    """
    found = starts(make_states(missed_reports=3), 3)
    assert 1 <= len(found) <= 3


def test_a_single_missed_answer_starts_no_term():
    """Two unanswered reports aren't a loss; an answer resets their count."""
    states = make_states(missed_reports=2)
    for state in states:
        decide(state, ReportAnswered(planner_id="node-0", planning=True), 0.0)
        decide(state, ReportFailed(planner_id="node-0"), 0.0)
    assert starts(states, 20) == []


def test_an_outage_of_the_log_is_not_followed_by_many_appends():
    """The end of an outage of the log doesn't cause 160 appends.

    Guards against an overload of the log when it returns. During the outage the
    planner answers that it isn't planning; if each node's wait elapsed meanwhile,
    all nodes would append when the log is back.
    """
    states = make_states(missed_reports=9)
    assert starts(states, 20, log_reachable=False) == []
    assert 1 <= len(starts(states, 2)) <= 3


def test_nodes_cut_off_from_each_other_rarely_change_the_planner():
    """The planner's role changes less and less often between the two nodes.

    Guards against a term that starts every few seconds, so that no planner keeps
    the role long enough to learn the load. One link is cut, and each of the two
    nodes misses the other's answers; without backoff, each would take the role
    back after three missed answers.
    """
    states = {name: TermState(node_id=name) for name in ("node-0", "node-1")}
    planner_id, term = "node-0", 1
    for now_s in range(600):
        for name, state in states.items():
            if name != planner_id:
                decide(state, ReportFailed(planner_id=planner_id), now_s)
            tick = Tick(
                planner_id=planner_id,
                term=term,
                members=("node-0", "node-1"),
                log_reachable=True,
            )
            _, actions = decide(state, tick, now_s)
            if actions == [StartTerm(base_term=term)]:
                planner_id, term = name, term + 1
    assert term <= 20
