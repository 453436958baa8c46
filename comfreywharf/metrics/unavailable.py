"""Unavailable time as callers observe it: per slice, from a refusal to an answer."""

from collections import defaultdict

import attrs

__all__ = ["Outages"]

MAX_OPEN_OUTAGES = 4096
"""How many slices' outages are tracked at a time; further ones aren't counted."""

MAX_STEP_S = 5.0
"""The longest time that is counted between two requests for a slice, in seconds."""


@attrs.define
class _Outage:
    updated_s: float


class Outages:
    """Sum the time in which the requests for a slice found no server, by service.

    An outage begins at the arrival of the first refused request, and ends with
    the first answered one. At most `MAX_STEP_S` is counted between two
    requests. Otherwise, a slice without requests, perhaps for hours at night,
    would count as unavailable until its next request.

    >>> outages = Outages()
    >>> outages.refused("booking", 0, began_s=10.0, now_s=10.5)
    >>> outages.answered("booking", 0, now_s=11.0)
    >>> outages.seconds["booking"]
    1.0
    """

    def __init__(self):
        self.seconds = defaultdict(float)
        self._open = {}

    def __bool__(self):
        return bool(self._open)

    def refused(self, service, slice_start, began_s, now_s):
        """Record a request that found no server; it arrived at ``began_s``."""
        slice_id = (service, slice_start)
        outage = self._open.get(slice_id)
        if outage is None:
            if len(self._open) >= MAX_OPEN_OUTAGES:
                return
            outage = self._open[slice_id] = _Outage(began_s)
        self._advance(service, outage, now_s)

    def answered(self, service, slice_start, now_s):
        """Record an answered request, which ends an outage of its slice."""
        outage = self._open.pop((service, slice_start), None)
        if outage is not None:
            self._advance(service, outage, now_s)

    def _advance(self, service, outage, now_s):
        step_s = max(0.0, now_s - outage.updated_s)
        self.seconds[service] += min(step_s, MAX_STEP_S)
        outage.updated_s = max(outage.updated_s, now_s)
