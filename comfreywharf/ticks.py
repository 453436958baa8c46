"""Periodic tasks of a process that are woken together.

A process that looks for five things ten times a second, each by a timer of its own, is
woken fifty times a second to find nothing. `sleep_to_tick` lets the timers of the same
interval end at the same time, and those of a multiple of it at some of these times, so
that the event loop is woken once for all of them. Another process has other ticks:
those of a whole fleet on one clock would all run at once. Source: timer coalescing, as
in timerslack(7) of Linux.
"""

import random

import gevent

from comfreywharf.clock import boottime_s

__all__ = ["PHASE_S", "seconds_to_tick", "sleep_to_tick"]

EARLY_FRACTION = 0.1
"""The fraction of an interval by which a timer may end before its tick."""

PHASE_S = random.random()
"""When this process's ticks are, in seconds after a full second since boot."""


def sleep_to_tick(interval_s):
    """Let other greenlets run until the next tick of an interval."""
    gevent.sleep(seconds_to_tick(boottime_s(), interval_s, PHASE_S))


def seconds_to_tick(now_s, interval_s, phase_s):
    """Return the time to the next tick of an interval, in seconds.

    It is at most 1.1 intervals: a tick that is nearly due counts as this one, since a
    timer may end a little early.

    >>> round(seconds_to_tick(now_s=10.4, interval_s=0.5, phase_s=0.1), 3)
    0.2
    >>> round(seconds_to_tick(now_s=10.599, interval_s=0.5, phase_s=0.1), 3)
    0.501
    """
    left_s = interval_s - (now_s - phase_s) % interval_s
    return left_s if left_s > EARLY_FRACTION * interval_s else left_s + interval_s
