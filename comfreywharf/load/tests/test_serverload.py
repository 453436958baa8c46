"""The load of a server, from its own reports and the counts of its node."""

import pytest

from comfreywharf.load.serverload import (
    CONFIRMATIONS,
    CONTRADICTIONS,
    MAX_REPORT_AGE_S,
    ReportedLoad,
    ServerLoadState,
    estimated_answer_s,
)
from comfreywharf.load.tests.builders import load_snapshot

SLOTS = 3


def report(running=0, waiting=0, work_percent=100):
    return ReportedLoad(
        running=running, waiting=waiting, slots=SLOTS, work_percent=work_percent
    )


def doubted_state():
    """Return the state of a server that reports no load with three in flight."""
    state = ServerLoadState()
    changes = [
        state.record_report(report(), in_flight=3, settled=2, now_s=0.0)
        for _ in range(CONTRADICTIONS)
    ]
    assert changes == [None] * (CONTRADICTIONS - 1) + [False]
    return state


def present(state, now_s, in_flight=1, queued=0):
    return state.snapshot(in_flight, queued, SLOTS, now_s).present


def test_a_report_adds_what_the_node_doesnt_count():
    """Guards against a server that looks idle since its work isn't this node's."""
    state = ServerLoadState()
    state.record_report(report(running=3, waiting=2), 1, 0, now_s=0.0)
    assert present(state, now_s=0.5, in_flight=1) == 5
    assert present(state, now_s=0.5, in_flight=2, queued=4) == 10
    snapshot = state.snapshot(2, 4, SLOTS, 0.5)
    assert (snapshot.running, snapshot.waiting) == (3, 7)


def test_the_nodes_own_count_is_the_least():
    """Guards against a report that lags and makes a full server look idle."""
    state = ServerLoadState()
    state.record_report(report(running=1), in_flight=3, settled=0, now_s=0.0)
    assert present(state, now_s=0.0, in_flight=3) == 3


def test_a_server_that_reports_too_little_isnt_believed():
    """Guards against a false report that says how long work takes."""
    state = doubted_state()
    state.record_report(report(work_percent=10), 3, 2, now_s=0.0)
    state.record_work(0.2, now_s=0.0)
    snapshot = state.snapshot(3, 0, SLOTS, now_s=0.0)
    assert (snapshot.present, snapshot.work_s) == (3, 0.2)


def test_a_single_low_report_is_no_contradiction():
    """Guards against doubt about a report that was written before a request came."""
    state = ServerLoadState()
    for _ in range(4 * CONTRADICTIONS):
        assert state.record_report(report(), 3, 2, now_s=0.0) is None
        assert state.record_report(report(running=3), 3, 2, now_s=0.0) is None
    assert state.believed


def test_consistent_reports_are_believed_again():
    """Guards against a server that is doubted for good."""
    state = doubted_state()
    changes = [
        state.record_report(report(running=3), 3, 2, now_s=0.0)
        for _ in range(CONFIRMATIONS)
    ]
    assert changes == [None] * (CONFIRMATIONS - 1) + [True]


def test_an_idle_server_doesnt_regain_belief():
    """Guards against doubt that ends since no load contradicts no request."""
    state = doubted_state()
    for _ in range(4 * CONFIRMATIONS):
        assert state.record_report(report(), 1, 0, now_s=0.0) is None
    assert not state.believed


def test_a_server_that_stops_reporting_is_counted_by_its_node():
    """Guards against a last report that holds for good."""
    state = ServerLoadState()
    state.record_report(report(running=3, work_percent=300), 1, 0, now_s=0.0)
    state.record_work(0.3, now_s=0.0)
    assert present(state, now_s=MAX_REPORT_AGE_S) == 3
    later = state.snapshot(1, 0, SLOTS, now_s=MAX_REPORT_AGE_S + 0.01)
    assert (later.present, later.work_s) == (1, pytest.approx(0.1))


def test_the_duration_of_work_follows_the_report_at_once():
    """Guards against a slow machine that is noticed only after many slow answers."""
    state = ServerLoadState()
    for _ in range(30):
        state.record_work(0.1, now_s=0.0)
    state.record_report(report(work_percent=300), 1, 0, now_s=0.0)
    assert state.snapshot(1, 0, SLOTS, 0.0).work_s == pytest.approx(0.3)
    for _ in range(30):
        state.record_work(0.3, now_s=0.0)
    assert state.snapshot(1, 0, SLOTS, 0.0).work_s == pytest.approx(0.3)


def test_an_estimate_counts_what_was_sent_since():
    """Guards against requests that all go to the server that was idle last."""
    idle = load_snapshot(running=0)
    estimates = [estimated_answer_s(idle, 0.0, sent) for sent in range(6)]
    assert estimates[0] == idle.work_s
    assert estimates[5] > estimates[3] > estimates[2]


def test_an_old_load_weighs_less():
    """Guards against a server that is avoided for a queue that has drained."""
    full = load_snapshot(running=3, waiting=6)
    assert estimated_answer_s(full, 0.9, 0) < estimated_answer_s(full, 0.0, 0)
