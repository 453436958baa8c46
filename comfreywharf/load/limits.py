"""How many requests a backend server is given at once."""

import attrs

__all__ = ["ConcurrencyLimit", "warm_fraction"]

COLD_FRACTION = 0.25
"""The part of its slots that a backend server gets at once after it announced
itself."""

WARM_ROUNDS = 5
"""How many answers a slot, on average, until a backend server counts as warm."""

CUT_FACTOR = 0.7
"""What a refusal by the backend server itself leaves of the limit."""

CUT_INTERVAL_S = 0.1
"""One cut answers all refusals within this time, since they have one cause."""


def warm_fraction(answers, needed):
    """Return which part of its load a backend server may bear, from 0.25 to 1.

    The ramp follows what the server has done, not the time since it came up: a
    server that is slow while it is cold climbs slowly, one that nobody used is
    still cold.

    >>> warm_fraction(0, 100), warm_fraction(200, 100)
    (0.25, 1.0)
    """
    if answers >= needed:
        return 1.0
    return COLD_FRACTION + (1 - COLD_FRACTION) * answers / needed


@attrs.define
class ConcurrencyLimit:
    """The slots of one backend server: a ramp after its start, cuts on refusals.

    The number of slots is what the server announced. It is never exceeded; a
    server that refuses work within it has told the truth by its refusals, and
    the limit falls at once and climbs again by an answer at a time (additive
    increase, multiplicative decrease: Chiu and Jain, 1989).

    Where ``cold`` is false there is no ramp: a server that is only slower after
    its start, at any number of requests, loses by each slot that is left empty.
    Where ``cuts`` is false refusals change nothing: a server that refuses a part of
    its requests at any load, and is given one slot for it, serves a twelfth.

    >>> limit = ConcurrencyLimit(slots=12)
    >>> limit.allowed()
    3
    """

    slots: int
    cold: bool = True
    cuts: bool = True
    _answers: int = 0
    _limit: float = attrs.field(init=False)
    _allowed: int = attrs.field(init=False)
    _cut_s: float = float("-inf")

    def __attrs_post_init__(self):
        self._limit = float(self.slots)
        self._update()

    def allowed(self):
        """Return how many requests may be in flight; at least one."""
        return self._allowed

    def answered(self):
        """Count an answer of the backend server that isn't a failure."""
        if self._allowed == self.slots:
            return
        self._answers += 1
        self._limit = min(float(self.slots), self._limit + 1 / max(self._limit, 1))
        self._update()

    def refused(self, now_s):
        """Lower the limit after the backend server refused a request."""
        if not self.cuts or now_s - self._cut_s < CUT_INTERVAL_S:
            return
        self._cut_s = now_s
        self._limit = max(1.0, self._limit * CUT_FACTOR)
        self._update()

    def _update(self):
        warm = 1.0
        if self.cold:
            warm = warm_fraction(self._answers, self.slots * WARM_ROUNDS)
        self._allowed = max(1, int(min(self.slots * warm, self._limit)))
