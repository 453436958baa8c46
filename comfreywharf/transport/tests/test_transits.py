"""The queueing delay of messages, estimated with two clocks that differ."""

import pytest

from comfreywharf.transport.transits import MAX_QUEUED_S, WINDOW_S, TransitTimes

CLOCK_OFFSET_S = -4_000.0
"""How far the receiver's clock is ahead of the sender's."""


def queueing_delay_s(times, sent_s, transit_s):
    return times.queued_s(sent_s, sent_s + CLOCK_OFFSET_S + transit_s)


def test_the_excess_over_the_fastest_message_is_queueing_delay():
    """Guards against deadlines that don't include the transit time."""
    times = TransitTimes()
    for number in range(20):
        queueing_delay_s(times, number * 0.1, transit_s=0.01)
    assert queueing_delay_s(times, 2.0, transit_s=1.81) == pytest.approx(1.8)


def test_a_lasting_slower_route_stops_counting_as_queueing_delay():
    """Guards against requests that are refused for good after a change of the route."""
    times = TransitTimes()
    queueing_delay_s(times, 0.0, transit_s=0.01)
    for number in range(1, 60):
        queued_s = queueing_delay_s(times, number * WINDOW_S / 20, transit_s=0.5)
    assert queued_s == pytest.approx(0.0)


def test_a_replaced_machines_clock_isnt_taken_for_queueing_delay():
    """Guards against a replaced machine whose requests are all refused."""
    times = TransitTimes()
    queueing_delay_s(times, 5_000.0, transit_s=0.01)
    assert queueing_delay_s(times, 10.0, transit_s=MAX_QUEUED_S + 6_000.0) == 0.0
    assert queueing_delay_s(
        times, 11.0, transit_s=MAX_QUEUED_S + 6_000.2
    ) == pytest.approx(0.2)
