"""Tests of slot times and capacities, and of what reports of them may do wrong."""

import pytest

from comfreywharf.daemon.ownership.load_reports import load_report, node_report
from comfreywharf.load.estimates import ServiceTimes
from comfreywharf.placement import NodeReport, SliceMeter, SliceRate
from comfreywharf.placement.loads import LoadTable
from comfreywharf.placement.resize import Split
from comfreywharf.placement.work import (
    KindTime,
    KindTimes,
    relative_speeds,
    slice_work,
)
from comfreywharf.records import Slice

SHORT, LONG = (1, True), (2, True)


def sample(times, service_times, elapsed_s, samples=1):
    """Add requests of one duration between samples."""
    for _ in range(samples):
        for _ in range(6):
            service_times[LONG].add(elapsed_s, 0.0)
        times.sample(service_times)


def typical_ms(times):
    return {
        entry.kind: entry.typical_ms for entry in times.times_to_report(everything=True)
    }


def test_a_spell_of_slow_work_leaves_the_time_as_it_was():
    """Guards against moves because of 400 ms of work three times as long."""
    times, service_times = KindTimes(), {LONG: ServiceTimes()}
    sample(times, service_times, 0.3, samples=9)
    before_ms = typical_ms(times)[LONG]
    for _ in range(4):
        sample(times, service_times, 0.9)
        sample(times, service_times, 0.3, samples=4)
        assert typical_ms(times)[LONG] == pytest.approx(before_ms, rel=0.1)


def test_a_server_that_becomes_slow_for_good_is_noticed():
    """Guards against a smoothing that hides a slow server."""
    times, service_times = KindTimes(), {LONG: ServiceTimes()}
    sample(times, service_times, 0.3, samples=9)
    sample(times, service_times, 0.6, samples=12)
    assert typical_ms(times)[LONG] > 500.0


def test_a_frozen_server_does_not_make_its_slices_heavy():
    """Guards against slices that weigh ten times as much since no answer comes."""
    times, service_times = KindTimes(), {LONG: ServiceTimes()}
    sample(times, service_times, 0.3, samples=9)
    for _ in range(9):
        service_times[LONG].add(5.0, 0.0)
        times.sample(service_times)
    assert times.work_s(LONG) <= 2 * typical_ms(times)[LONG] / 1000 < 1.0


def test_times_are_not_sampled_again_while_no_request_ends():
    """Guards against a frozen or idle server that seems to become fast."""
    times, service_times = KindTimes(), {LONG: ServiceTimes()}
    sample(times, service_times, 0.3, samples=5)
    before_ms = typical_ms(times)
    for _ in range(20):
        times.sample(service_times)
    assert typical_ms(times) == before_ms


def test_a_restarted_server_has_no_times_until_it_has_answered_for_a_while():
    """Guards against the speed of the server that ran there before."""
    times, service_times = KindTimes(), {LONG: ServiceTimes()}
    sample(times, service_times, 0.3, samples=5)
    assert times.times_to_report() is not None
    assert times.times_to_report() is None
    restarted = {LONG: ServiceTimes()}
    sample(times, restarted, 3.0)
    assert times.times_to_report() == ()
    sample(times, restarted, 0.3, samples=9)
    assert typical_ms(times)[LONG] < 1000.0


def test_speed_compares_requests_of_the_same_kind():
    """Guards against a server that seems slow since it gets the long requests."""
    speeds = relative_speeds(
        {
            "short": {SHORT: 32.0},
            "long": {LONG: 323.0},
            "both": {SHORT: 32.0, LONG: 323.0},
            "slow": {SHORT: 64.0, LONG: 646.0},
            "unknown": {},
        }
    )
    assert speeds["short"] == pytest.approx(speeds["both"], rel=0.01)
    assert speeds["slow"] == pytest.approx(speeds["both"] / 2, rel=0.01)
    assert "unknown" not in speeds


def test_slices_of_an_earlier_build_count_with_the_mean_work():
    """Guards against slices without weight while nodes of two builds are mixed."""
    work = slice_work({0: (2.0, "new")}, {0: 10.0, 5: 20.0}, {"new": 0.5})
    assert work == {0: 1.0, 5: 2.0}
    assert slice_work({}, {0: 10.0, 5: 20.0}, {}) == {}


def rate(per_s, slots, epoch):
    return SliceRate(
        service="booking",
        start=0,
        requests_per_s=per_s,
        epoch=epoch,
        slots_needed=slots,
    )


def test_a_report_from_before_a_split_does_not_undo_its_estimate():
    """Guards against a late report that gives all load to the left part of a split."""
    table = LoadTable(started_s=0.0)
    report = NodeReport(node_id="a", incarnation=1, slices=(rate(40.0, 4.0, 7),))
    table.record_report(report, 0.0)
    split = Split(service="booking", start=0, base_epoch=7, at=50, right_per_s=30.0)
    table.record_work_split(split, 0.75)
    table.record_report(report, 1.0)
    assert table.rates["booking"] == {0: 10.0, 50: 30.0}
    assert table.work["booking"] == {0: (1.0, "a"), 50: (3.0, "a")}
    later = NodeReport(node_id="a", incarnation=1, slices=(rate(12.0, 1.2, 9),))
    table.record_report(later, 2.0)
    assert table.work["booking"][0] == (1.2, "a")


def test_a_split_that_the_log_refuses_leaves_the_load_as_it_was():
    """Guards against a hot slice that seems half as heavy after a split without effect.

    Its node has reported its load and reports it again only when it changes.
    """
    table = LoadTable(started_s=0.0)
    report = NodeReport(node_id="a", incarnation=1, slices=(rate(40.0, 4.0, 7),))
    table.record_report(report, 0.0)
    split = Split(service="booking", start=0, base_epoch=7, at=50, right_per_s=30.0)
    table.record_work_split(split, 0.75)
    table.undo_refused_resizes("booking", [Slice(start=0, end=99, epoch=7)])
    assert table.rates["booking"] == {0: 40.0}
    assert table.work["booking"] == {0: (4.0, "a")}
    table.record_report(report, 1.0)
    assert table.rates["booking"] == {0: 40.0}


def test_omitted_times_stay_known_until_the_node_restarts():
    """Guards against a speed that is lost with a report, or kept for a new process."""
    table = LoadTable(started_s=0.0)
    times = (KindTime(priority=2, repeatable=True, typical_ms=300.0),)
    known = {LONG: 300.0}
    table.record_report(NodeReport(node_id="a", incarnation=1, kind_times=times), 0.0)
    table.record_report(NodeReport(node_id="a", incarnation=1), 1.0)
    assert table.kind_times("a") == known
    table.record_report(NodeReport(node_id="a", incarnation=2), 2.0)
    assert table.kind_times("a") == {}


def test_reports_carry_work_only_where_it_is_measured():
    """Guards against a changed message where slices aren't weighed by work."""
    times = (KindTime(priority=2, repeatable=True, typical_ms=300.0),)
    report = NodeReport(
        node_id="a", incarnation=1, slices=(rate(40.0, 4.0, 7),), kind_times=times
    )
    assert node_report(load_report(report)) == report
    meter = SliceMeter()
    meter.set_owned([("booking", Slice(start=0, end=9, epoch=7))])
    meter.close_window(0.0)
    meter.count("booking", 0, 5)
    meter.close_window(1.0)
    plain = NodeReport(node_id="a", incarnation=1, slices=meter.all_rates())
    message = load_report(plain)
    assert message.kind_times is None
    assert message.slices[0].slots_needed is None
    assert message.slices[0].slice_epoch == -1


def test_a_slice_that_was_gained_is_not_reported_as_idle():
    """Guards against a hot part that counts as idle after its move, and moves again."""
    meter = SliceMeter(by_work=True)
    meter.close_window(0.0)
    meter.set_owned([("booking", Slice(start=0, end=9))], 1.0)
    meter.close_window(1.0)
    assert meter.changed_rates(9) == ()
    meter.count("booking", 0, 10)
    for _ in range(10):
        meter.count_work("booking", 0, 0.2)
    meter.close_window(1.5)
    (entry,) = meter.changed_rates(9)
    assert entry.requests_per_s == pytest.approx(20.0)
    assert entry.slots_needed == pytest.approx(4.0)
