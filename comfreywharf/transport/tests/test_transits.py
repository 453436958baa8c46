"""The queueing delay of messages, estimated with two clocks that differ."""

import pytest

from comfreywharf.transport.transits import MAX_QUEUED_S, WINDOW_S, TransitTimes

APART_S = -4_000.0
"""How far the receiver's clock is ahead of the sender's."""


def arrive(times, sent_s, took_s):
    return times.queued_s(sent_s, sent_s + APART_S + took_s)


def test_the_excess_over_the_fastest_message_is_queueing_delay():
    """Guards against deadlines that don't include the transit time."""
    times = TransitTimes()
    for number in range(20):
        arrive(times, number * 0.1, took_s=0.01)
    assert arrive(times, 2.0, took_s=1.81) == pytest.approx(1.8)


def test_a_lasting_slower_route_stops_counting_as_queueing_delay():
    """Guards against requests that are refused for good after a change of the route."""
    times = TransitTimes()
    arrive(times, 0.0, took_s=0.01)
    for number in range(1, 60):
        queued_s = arrive(times, number * WINDOW_S / 20, took_s=0.5)
    assert queued_s == pytest.approx(0.0)


def test_a_replaced_machines_clock_isnt_taken_for_queueing_delay():
    """Guards against a replaced machine whose requests are all refused."""
    times = TransitTimes()
    arrive(times, 5_000.0, took_s=0.01)
    assert arrive(times, 10.0, took_s=MAX_QUEUED_S + 6_000.0) == 0.0
    assert arrive(times, 11.0, took_s=MAX_QUEUED_S + 6_000.2) == pytest.approx(0.2)
