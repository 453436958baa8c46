"""How long leases and holds have to last for the work that is begun under them.

A backend server ends work that outlasts the hold which it began under, whatever is
renewed later. The hold therefore has to be as long as work usually takes, plus the
time until it is renewed.
"""

import attrs

__all__ = ["WorkTimes", "lease_length_s"]

SAMPLES = 32
"""The number of requests that the estimates cover."""

FEWEST_SAMPLES = 8
"""The number of requests from which on the estimates are used."""

DEVIATIONS = 4
"""Distance of a long work time from the mean, in mean deviations."""

STEP_S = 0.25
"""Lengths are multiples of this, so that they don't follow each request."""


@attrs.define
class WorkTimes:
    """Estimate how long requests take at a backend server.

    Mean and mean deviation are tracked as a transport protocol tracks round-trip
    times (Jacobson, 1988), which needs no stored samples and converges within some
    dozens of requests. Times that a hold cut short count as well: while they lengthen
    the estimate, the next holds are longer. ``assumed_s`` is assumed of long work
    before `FEWEST_SAMPLES`.

    >>> times = WorkTimes(assumed_s=2.0)
    >>> times.long_s
    2.0
    >>> for elapsed_s in (0.4, 0.6, 0.5, 0.5, 0.4, 0.6, 0.5, 0.5):
    ...     times.add(elapsed_s)
    >>> round(times.mean_s, 2), round(times.long_s, 2)
    (0.5, 0.71)
    """

    assumed_s: float = 0.0
    mean_s: float = 0.0
    _deviation_s: float = 0.0
    _count: int = 0

    def add(self, elapsed_s):
        """Add the time that one request took, in seconds."""
        self._count = min(self._count + 1, SAMPLES)
        error_s = elapsed_s - self.mean_s
        self.mean_s += error_s / self._count
        if self._count > 1:
            self._deviation_s += (abs(error_s) - self._deviation_s) / self._count

    @property
    def long_s(self):
        """Return a time that hardly any request exceeds."""
        if self._count < FEWEST_SAMPLES:
            return self.assumed_s
        return self.mean_s + DEVIATIONS * self._deviation_s

    @property
    def short_s(self):
        """Return a time that nearly every request takes at least."""
        return max(0.0, self.mean_s - 2 * self._deviation_s)


def lease_length_s(work_s, terms, longest_s):
    """Return how long a lease has to be for work that takes up to ``work_s``.

    It is as short as work allows, since the keys of an owner that is lost silently
    stay unavailable for as long. ``longest_s`` is the bound that the configuration
    sets for the service.

    >>> from comfreywharf.ownership.terms import LeaseTerms
    >>> terms = LeaseTerms(lease_s=1.5, renewal_room_s=0.9)
    >>> [lease_length_s(work_s, terms, longest_s=4.0) for work_s in (0.2, 1.9, 5.0)]
    [1.5, 3.0, 4.0]
    """
    needed_s = -(-(work_s + terms.renewal_room_s) // STEP_S) * STEP_S
    return max(terms.lease_s, min(needed_s, longest_s))
