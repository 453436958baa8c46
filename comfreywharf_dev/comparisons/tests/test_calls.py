"""What the compared ways give the runs of the heaviest load."""

from comfreywharf_dev.comparisons.__main__ import CALL_WAYS
from comfreywharf_dev.comparisons.call_loads import CALL_LOADS
from comfreywharf_dev.comparisons.calls import simulate_calls

SECONDS = 3.0
MOST_THROWN_AWAY = 0.05


def outcomes_of(name, load=CALL_LOADS[0]):
    way = next(way for way in CALL_WAYS if way.name == name)
    return simulate_calls(load, way, seconds=SECONDS)


def test_little_work_is_thrown_away_for_calls_that_find_no_room():
    """Guards against runs that fail since a call waits at one of several servers."""
    outcomes = outcomes_of("pass on")
    assert outcomes.thrown_away <= MOST_THROWN_AWAY
    assert outcomes.thrown_away < outcomes_of("near first").thrown_away


def test_a_simulation_always_gives_the_same_figures():
    """Guards against ways that are compared by chance."""
    assert outcomes_of("pass on") == outcomes_of("pass on")
