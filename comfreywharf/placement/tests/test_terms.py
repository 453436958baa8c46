"""Who starts a planner's term, and how many try."""

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
    """Return ``(time, node_id)`` of each `StartTerm`, as if none were folded."""
    tick = Tick(
        planner_id=planner_id, term=1, members=NODES, log_reachable=log_reachable
    )
    found = []
    for step in range(int(seconds * 4)):
        for state in states:
            _, actions = decide(state, tick, step / 4)
            found += [(step / 4, state.node_id) for _ in actions]
    return found


def test_the_loss_of_the_planner_brings_few_candidates_one_after_another():
    """Candidates try in an order, and not all 160 at the same moment.

    Symptom: the log refuses appends for seconds after the loss of one node.
    Sequence: the planner is lost, and all nodes miss its answers. Cause: each
    appends the start of a term at once.
    """
    found = starts(make_states(missed_reports=3), 3)
    assert 1 <= len(found) <= 3


def test_a_single_missed_answer_starts_no_term():
    """Two lost messages are no loss of the planner; an answer clears the count."""
    states = make_states(missed_reports=2)
    for state in states:
        decide(state, ReportAnswered(planner_id="node-0", planning=True), 0.0)
        decide(state, ReportFailed(planner_id="node-0"), 0.0)
    assert starts(states, 20) == []


def test_nobody_appends_while_the_log_is_down_and_few_do_when_it_is_back():
    """An outage of the log isn't followed by 160 appends.

    Symptom: the log goes down again as it comes back. Sequence: the log is down,
    so the planner answers that it isn't planning; the log returns. Cause: every
    node's wait ran out during the outage.
    """
    states = make_states(missed_reports=9)
    assert starts(states, 20, log_reachable=False) == []
    assert 1 <= len(starts(states, 2)) <= 3


def test_two_nodes_that_cannot_reach_each_other_settle():
    """The role changes hands ever more rarely, instead of every few seconds.

    Symptom: a term starts every few seconds, and no planner lives long enough to
    know the load. Sequence: one link is cut; each of two nodes misses the other's
    answers. Cause: whoever misses three answers takes the role back.
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
