"""When refused callers should return, and which requests are such returns.

The present time is an argument, as is the source of randomness.
"""

import random
from bisect import bisect_left, insort
from enum import IntEnum

import attrs

__all__ = [
    "Precedence",
    "RefusedCallers",
    "ReturnSchedule",
    "RouteAttempts",
    "admitted_by_precedence",
]

MIN_WAIT_S = 0.3
"""Shortest wait. A caller that returns sooner finds the same overload."""

MAX_WAIT_SHARE = 1 / 3
"""Longest wait as a share of the caller's remaining time; callers wait no longer."""

TARGET_WAIT_SHARE = 0.5
"""Longest wait as a share of the time left until the latency target. The rest is
needed by the second attempt itself."""

RETURN_SHARE = 0.5
"""Share of the admitted requests that may be returns in time for their targets. If it
were 1, all first attempts would have to return in a long overload."""

GENERATION_S = 5.0
"""How long the attempts on a route are remembered, at least."""

FIRST_TOLERANCE_S = 0.005
"""How much less time than others a first attempt may have left, since callers round
the time."""


DEADLINE_TOLERANCE_S = 0.01
"""How much the deadlines of two attempts of one caller may differ. They are derived
from the remaining time in each request, which is a little older when it arrives."""

MAX_REFUSED_CALLERS = 1024
"""Refused callers of a rank on one route that are remembered. Beyond it, those whose
deadlines come first are forgotten."""


class Precedence(IntEnum):
    """The order in which requests of a rank use the admitted fraction.

    ``WAITED``: it returned after its wait, in time for its target. ``FIRST``: a first
    attempt. ``LATE``: it returned after its wait, and its target has passed. ``EARLY``:
    it returned before the shortest wait that was given on its route.
    """

    WAITED = 0
    FIRST = 1
    LATE = 2
    EARLY = 3


def admitted_by_precedence(fraction, arrivals):
    """Return the admitted fraction of each precedence; they share a rank's fraction.

    ``arrivals`` are the recent arrivals of the rank by precedence. The fraction is of
    those that may be answered in time; late ones get what these leave.

    >>> admitted_by_precedence(0.625, {Precedence.FIRST: 6, Precedence.WAITED: 2})
    {<Precedence.WAITED: 0>: 1.0, <Precedence.FIRST: 1>: 0.5}
    """
    late = arrivals.get(Precedence.LATE, 0.0)
    left = fraction * (sum(arrivals.values()) - late)
    admitted = {}
    for precedence in sorted(arrivals):
        count = arrivals[precedence]
        admitted[precedence] = min(1.0, left / count) if count > 0 else 1.0
        left = max(0.0, left - count)
    return admitted


@attrs.define
class RouteAttempts:
    """Tell first attempts on a route from those that callers make after a refusal.

    The longest remaining time is that of a first attempt. What is remembered is at
    most two generations old, so that one caller with an unusual deadline doesn't make
    all others look like returns for good.

    >>> attempts = RouteAttempts()
    >>> attempts.precedence(2.0, late=False, now_s=0.0).name
    'FIRST'
    >>> attempts.record_wait(0.4, now_s=0.0)
    >>> attempts.precedence(1.5, late=False, now_s=0.5).name
    'WAITED'
    >>> attempts.precedence(1.9, late=False, now_s=0.1).name
    'EARLY'
    """

    _longest_s: list = attrs.Factory(lambda: [0.0, 0.0])
    _shortest_wait_s: list = attrs.Factory(lambda: [float("inf"), float("inf")])
    _generation_s: float = float("-inf")

    def precedence(self, remaining_s, late, now_s):
        """Return the `Precedence` of a request; ``late`` if its target has passed."""
        self._age(now_s)
        longest = self._longest_s
        if remaining_s > longest[0]:
            longest[0] = remaining_s
        elapsed_s = max(longest) - remaining_s
        wait_s = min(self._shortest_wait_s)
        if elapsed_s <= FIRST_TOLERANCE_S or wait_s == float("inf"):
            return Precedence.FIRST
        if elapsed_s < wait_s:
            return Precedence.EARLY
        return Precedence.LATE if late else Precedence.WAITED

    def record_wait(self, wait_s, now_s):
        """Record a wait that was given to a caller on the route."""
        self._age(now_s)
        self._shortest_wait_s[0] = min(self._shortest_wait_s[0], wait_s)

    def _age(self, now_s):
        if now_s - self._generation_s < GENERATION_S:
            return
        if now_s - self._generation_s >= 2 * GENERATION_S:
            self._longest_s[0] = 0.0
            self._shortest_wait_s[0] = float("inf")
        self._generation_s = now_s
        self._longest_s = [0.0, self._longest_s[0]]
        self._shortest_wait_s = [float("inf"), self._shortest_wait_s[0]]


@attrs.define
class RefusedCallers:
    """Recognise callers on a route that return before the end of their wait.

    All attempts of a caller end at one deadline, by which it is recognised. An attempt
    whose deadline differs, through a slow link for instance, counts as one of a caller
    that wasn't refused.

    >>> callers = RefusedCallers()
    >>> callers.record(deadline_s=8.0, until_s=5.4)
    >>> round(callers.left_s(8.001, now_s=5.1), 3), callers.left_s(8.5, now_s=5.1)
    (0.3, 0.0)
    """

    _waits: list = attrs.Factory(list)

    def record(self, deadline_s, until_s):
        """Record that a caller was told to return after ``until_s``."""
        insort(self._waits, (deadline_s, until_s))
        if len(self._waits) > MAX_REFUSED_CALLERS:
            del self._waits[0]

    def left_s(self, deadline_s, now_s):
        """Return how much of a caller's wait is left, in seconds; 0 if nothing is."""
        self._forget_before(now_s)
        first = bisect_left(self._waits, (deadline_s - DEADLINE_TOLERANCE_S,))
        left_s = 0.0
        for known_s, until_s in self._waits[first:]:
            if known_s > deadline_s + DEADLINE_TOLERANCE_S:
                break
            left_s = max(left_s, until_s - now_s)
        return left_s

    def _forget_before(self, now_s):
        """Forget the callers whose deadlines have passed."""
        del self._waits[: bisect_left(self._waits, (now_s,))]


@attrs.define
class ReturnSchedule:
    """Spread the returns of refused callers of one rank.

    Returns in time for their targets are booked one after the other, no closer than
    `RETURN_SHARE` of the admitted requests per second allows. Where a caller's bounds
    leave no such time, its return is drawn from the rest of its bounds; after its
    target, it is served by what the others leave.

    >>> schedule = ReturnSchedule(random.Random(1))
    >>> waits = [schedule.wait_s(10.0, 6.0, None, now_s=0.0) for _ in range(3)]
    >>> [round(wait_s, 2) for wait_s in waits]
    [0.3, 0.5, 0.7]
    """

    rng: random.Random
    _booked_until_s: float = float("-inf")

    def wait_s(self, admitted_per_s, remaining_s, target_left_s, now_s):
        """Return how long a refused caller should wait, in seconds.

        ``target_left_s`` is ``None`` without a target, and not positive if it has
        passed.
        """
        longest_s = remaining_s * MAX_WAIT_SHARE
        if longest_s <= MIN_WAIT_S:
            return longest_s
        in_time_s = longest_s
        if target_left_s is not None:
            in_time_s = min(longest_s, target_left_s * TARGET_WAIT_SHARE)
        if admitted_per_s > 0 and in_time_s >= MIN_WAIT_S:
            gap_s = 1 / (admitted_per_s * RETURN_SHARE)
            due_s = max(self._booked_until_s + gap_s, now_s + MIN_WAIT_S)
            if due_s <= now_s + in_time_s:
                self._booked_until_s = due_s
                return max(due_s - now_s, MIN_WAIT_S)
        earliest_s = in_time_s if in_time_s < longest_s else 0.0
        return self.rng.uniform(max(earliest_s, MIN_WAIT_S), longest_s)
