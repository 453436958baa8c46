"""When refused callers should return, and which of them return too early.

The present time is an argument, as is the source of randomness.
"""

from bisect import bisect_left, insort

import attrs

__all__ = ["MAX_WAIT_SHARE", "RefusedCallers", "return_wait_s"]

MAX_WAIT_SHARE = 1 / 3
"""Longest wait as a share of the caller's remaining time; callers wait no longer."""

RETURN_SPREAD = 0.2
"""Fraction of the longest wait over which returns are spread. Callers who are refused
together would otherwise return together."""

DEADLINE_TOLERANCE_S = 0.01
"""How much the deadlines of two attempts of one caller may differ. They are derived
from the remaining time in each request, which is a little older when it arrives."""

WAIT_TOLERANCE_S = 0.01
"""How much too early a caller may return: waits are rounded on their way."""

MAX_REFUSED_CALLERS = 1024
"""Refused callers of a rank on one route that are remembered. Beyond it, those whose
deadlines come first are forgotten."""


def return_wait_s(remaining_s, held_s, rng):
    """Return how long a caller that a level refuses should wait, in seconds.

    Nobody knows how long an overload lasts, and a caller returns a few times only. Each
    return under the level is as likely to be refused as the first attempt, so that the
    caller is told the longest wait that it keeps, spread a little. ``held_s`` is how
    long the level is known to hold.

    >>> import random
    >>> 0.8 <= return_wait_s(3.0, 0.4, random.Random(1)) <= 1.0
    True
    """
    longest_s = remaining_s * MAX_WAIT_SHARE
    earliest_s = max(longest_s * (1 - RETURN_SPREAD), min(held_s, longest_s))
    return rng.uniform(earliest_s, longest_s)


@attrs.define
class RefusedCallers:
    """Recognise callers on a route that return before the end of their wait.

    All attempts of a caller end at one deadline, and ask for the same, by which it is
    recognised: ``request`` is a number that stands for what a request asks for. An
    attempt whose deadline differs, through a slow link for instance, counts as one of
    a caller that wasn't refused.

    >>> callers = RefusedCallers()
    >>> callers.record(deadline_s=8.0, request=7, until_s=5.4)
    >>> round(callers.left_s(8.001, request=7, now_s=5.1), 3)
    0.3
    >>> callers.left_s(8.001, request=6, now_s=5.1), callers.left_s(8.5, 7, now_s=5.1)
    (0.0, 0.0)
    """

    _waits: list = attrs.Factory(list)

    def record(self, deadline_s, request, until_s):
        """Record that a caller was told to return after ``until_s``."""
        insort(self._waits, (deadline_s, request, until_s))
        if len(self._waits) > MAX_REFUSED_CALLERS:
            del self._waits[0]

    def left_s(self, deadline_s, request, now_s):
        """Return how much of a caller's wait is left, in seconds; 0 if nothing is.

        A rest within `WAIT_TOLERANCE_S` counts as waited.
        """
        self._forget_before(now_s)
        first = bisect_left(self._waits, (deadline_s - DEADLINE_TOLERANCE_S,))
        left_s = 0.0
        for known_s, known, until_s in self._waits[first:]:
            if known_s > deadline_s + DEADLINE_TOLERANCE_S:
                break
            if known == request:
                left_s = max(left_s, until_s - now_s)
        return left_s if left_s > WAIT_TOLERANCE_S else 0.0

    def _forget_before(self, now_s):
        """Forget the callers whose deadlines have passed."""
        del self._waits[: bisect_left(self._waits, (now_s,))]
