"""Drawn faults are the same for a seed, and never two of one resource overlap."""

from hypothesis import given, settings, strategies as st

from comfreywharf_dev.soak.plan import MAX_FAULT_S, MIN_FAULT_S, draw_faults

NODES = ("booking-1", "booking-2", "booking-3")


@settings(derandomize=True, deadline=None)
@given(seed=st.integers(0, 1 << 32), count=st.integers(0, 40))
def test_no_two_faults_use_one_resource_at_a_time(seed, count):
    schedule = draw_faults(seed, NODES, count, duration_s=10.0)
    assert len(schedule) == count
    ends_s = {}
    for one in schedule:
        assert one.begin_s >= ends_s.get(one.fault.resource, 0.0)
        assert MIN_FAULT_S <= one.end_s - one.begin_s <= MAX_FAULT_S
        ends_s[one.fault.resource] = one.end_s


def test_a_seed_draws_the_same_faults_again():
    drawn = [draw_faults(7, NODES, 20, duration_s=10.0) for _ in range(2)]
    assert drawn[0] == drawn[1] != draw_faults(8, NODES, 20, duration_s=10.0)
