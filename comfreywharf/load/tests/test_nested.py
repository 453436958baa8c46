"""Tests of the calls that a backend server makes while it runs requests."""

import pytest

from comfreywharf.load.nested import MIN_RUNS, ConnectionOrigin, NestedCalls

RUNS_PER_S = 40


def play(nested, calls_per_run, since_s, until_s):
    """Count runs at an even rate, each with its part of a call."""
    runs = int((until_s - since_s) * RUNS_PER_S)
    for number in range(runs):
        now_s = since_s + number / RUNS_PER_S
        nested.record_run(now_s)
        for _ in range(int(number * calls_per_run), int((number + 1) * calls_per_run)):
            nested.record_call("stock", now_s)


@pytest.mark.parametrize("calls_per_run", [0.25, 0.7, 2.0])
def test_the_mean_of_calls_per_run_is_learned(calls_per_run):
    """A steady load gives its own mean."""
    nested = NestedCalls()
    play(nested, calls_per_run, 0.0, 20.0)
    assert nested.calls_per_run(20.0)["stock"] == pytest.approx(calls_per_run, rel=0.05)


def test_the_mean_follows_another_mix_of_requests():
    """Guards against a mean over all time, which a new mix would hardly change."""
    nested = NestedCalls()
    play(nested, 0.1, 0.0, 100.0)
    play(nested, 1.4, 100.0, 130.0)
    assert nested.calls_per_run(130.0)["stock"] > 1.2


def test_a_few_runs_tell_nothing():
    """Guards against a mean of one run and the calls of the one before."""
    nested = NestedCalls()
    nested.record_call("stock", 0.0)
    for _ in range(MIN_RUNS - 1):
        nested.record_run(0.0)
    assert nested.calls_per_run(0.0) is None


def test_a_server_never_calls_its_own_service():
    """A connection that asked for the service beside the node stays a caller's."""
    origin = ConnectionOrigin()
    assert origin.may_be_nested("stock", "booking")
    assert not origin.may_be_nested("booking", "booking")
    assert not origin.may_be_nested("stock", "booking")
