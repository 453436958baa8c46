"""Limit on the concurrent requests at a backend server."""

import attrs

__all__ = ["ConcurrencyLimit", "warm_fraction"]

COLD_FRACTION = 0.25
"""Fraction of its slots that a backend server gets right after its announcement."""

WARM_ANSWERS_PER_SLOT = 5
"""Answers per slot, on average, after which a backend server counts as warm."""

CUT_FACTOR = 0.7
"""Factor that a refusal by the backend server applies to the limit."""

CUT_INTERVAL_S = 0.1
"""Refusals within this time have one cause and cut the limit only once."""


def warm_fraction(answers, needed):
    """Return the fraction of its full load for a backend server, from 0.25 to 1.

    The ramp follows the number of answers, not the time since the start: a server
    that is slow while cold ramps up slowly, and an unused one is still cold.

    >>> warm_fraction(0, 100), warm_fraction(200, 100)
    (0.25, 1.0)
    """
    if answers >= needed:
        return 1.0
    return COLD_FRACTION + (1 - COLD_FRACTION) * answers / needed


@attrs.define
class ConcurrencyLimit:
    """The slots of one backend server: a ramp after its start, cuts on refusals.

    ``slots`` is the number that the server announced; the limit never exceeds it.
    If the server refuses requests within it, the limit is cut at once, and rises
    again with each answer (additive increase, multiplicative decrease: Chiu and
    Jain, 1989).

    If ``ramp_up`` is false, there is no ramp: a server that is slower after its start
    at any number of requests only loses throughput by idle slots. If
    ``cut_on_refusal`` is false, refusals don't change the limit: a server that
    refuses a fraction of its requests at any load would be cut down to a single
    slot, a twelfth of its throughput with 12 slots.

    >>> limit = ConcurrencyLimit(slots=12)
    >>> limit.max_in_flight()
    3
    """

    slots: int
    ramp_up: bool = True
    cut_on_refusal: bool = True
    _answers: int = 0
    _limit: float = attrs.field(init=False)
    _allowed: int = attrs.field(init=False)
    _cut_s: float = float("-inf")

    def __attrs_post_init__(self):
        self._limit = float(self.slots)
        self._update()

    def max_in_flight(self):
        """Return how many requests may be in flight; at least one."""
        return self._allowed

    def record_answer(self):
        """Count a successful answer of the backend server."""
        if self._allowed == self.slots:
            return
        self._answers += 1
        self._limit = min(float(self.slots), self._limit + 1 / max(self._limit, 1))
        self._update()

    def record_refusal(self, now_s):
        """Cut the limit after the backend server refused a request."""
        if not self.cut_on_refusal or now_s - self._cut_s < CUT_INTERVAL_S:
            return
        self._cut_s = now_s
        self._limit = max(1.0, self._limit * CUT_FACTOR)
        self._update()

    def _update(self):
        warm = 1.0
        if self.ramp_up:
            warm = warm_fraction(self._answers, self.slots * WARM_ANSWERS_PER_SLOT)
        self._allowed = max(1, int(min(self.slots * warm, self._limit)))
