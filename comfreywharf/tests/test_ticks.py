"""Periodic tasks with the same interval, or multiples of it, are woken together."""

from hypothesis import given, strategies as st

from comfreywharf.ticks import EARLY_FRACTION, seconds_to_tick

INTERVALS_S = (0.1, 0.1, 0.1, 0.1, 0.1, 0.25, 0.25, 0.5)
PHASE_S = 0.03
DURATION_S = 10.0

times = st.floats(min_value=0.0, max_value=1e7)
intervals = st.floats(min_value=0.02, max_value=10.0)


@given(now_s=times, interval_s=intervals, phase_s=st.floats(0.0, 1.0))
def test_a_wait_is_neither_empty_nor_much_longer_than_its_interval(
    now_s, interval_s, phase_s
):
    """Guards against a task that spins, or that skips a tick."""
    left_s = seconds_to_tick(now_s, interval_s, phase_s)
    shortest_s = EARLY_FRACTION * interval_s
    assert shortest_s < left_s <= interval_s + shortest_s


def test_a_timer_that_ends_a_little_early_doesnt_run_its_task_twice():
    """Guards against two wake-ups for one tick."""
    left_s = seconds_to_tick(PHASE_S + 1.0 - 1e-4, 0.1, PHASE_S)
    assert abs(left_s - 0.1 - 1e-4) < 1e-6


def wake_ups(starts_s):
    """Return the times, in ms, at which a process with periodic tasks is woken."""
    times_ms = set()
    for start_s, interval_s in zip(starts_s, INTERVALS_S, strict=True):
        now_s = start_s
        while now_s < DURATION_S:
            now_s += seconds_to_tick(now_s, interval_s, PHASE_S)
            times_ms.add(round(now_s * 1000))
    return times_ms


def test_the_tasks_of_an_idle_node_cost_few_wake_ups():
    """Guards against timers that wake a process one after the other."""
    starts_s = [0.013 * number for number in range(len(INTERVALS_S))]
    ticks_of_tenths = 10 * DURATION_S
    quarters_between = 2 * DURATION_S
    assert len(wake_ups(starts_s)) <= ticks_of_tenths + quarters_between + 1
