"""Tests of the slice rates that a node reports."""

from hypothesis import given, settings, strategies as st

from comfreywharf.placement import SliceMeter, rates_per_report
from comfreywharf.records import Slice

counts = st.lists(st.integers(0, 2000), min_size=6, max_size=6)


def make_meter(slices):
    meter = SliceMeter()
    meter.set_owned(
        ("booking", Slice(start=10 * n, end=10 * n + 10)) for n in range(slices)
    )
    meter.close_window(0.0)
    return meter


@settings(derandomize=True, deadline=None)
@given(windows=st.lists(counts, min_size=1, max_size=12), limit=st.integers(1, 6))
def test_reports_are_bounded_and_omitted_rates_follow(windows, limit):
    """No report exceeds the limit; the omitted rates follow in later reports."""
    meter = make_meter(6)
    reported = {}
    now_s = 0.0
    for window in windows:
        now_s += 1.0
        for number, count in enumerate(window):
            meter.count("booking", 10 * number, count)
        meter.close_window(now_s)
        entries = meter.changed_rates(limit)
        assert len(entries) <= limit
        reported.update({entry.start: entry.requests_per_s for entry in entries})
    for _ in range(6):
        reported.update({e.start: e.requests_per_s for e in meter.changed_rates(limit)})
    measured = {entry.start: entry.requests_per_s for entry in meter.all_rates()}
    for start, rate in measured.items():
        assert abs(reported[start] - rate) <= max(1.0, 0.05 * reported[start]) + 1e-9


def test_a_slice_with_new_bounds_is_measured_from_scratch():
    """After a split, the rate of the whole slice isn't reported for its part."""
    meter = make_meter(1)
    meter.count("booking", 0, 100)
    meter.close_window(1.0)
    assert meter.all_rates()[0].requests_per_s == 100.0
    meter.set_owned([("booking", Slice(start=0, end=5))])
    meter.count("booking", 0, 10)
    meter.close_window(2.0)
    assert meter.all_rates()[0].requests_per_s == 10.0


def test_rates_that_all_nodes_report_together_are_bounded():
    """640 nodes report about as many rates per second in total as 10 do."""
    assert rates_per_report(10) >= 10
    assert rates_per_report(640) == 2
