"""Token bucket that limits how much of a service's load may change owner."""

import attrs

__all__ = ["ChurnBudget"]

HOUR_S = 3600.0
BURST_FRACTION = 0.25
"""Capacity of the bucket, as a fraction of the hourly share."""


@attrs.define
class ChurnBudget:
    """Budget for moving a service's load, in shares of its total load.

    An ``hourly_share`` of 1.0 allows moves within an hour whose weights add up to
    the total load of the service.
    """

    hourly_share: float
    _tokens: float = attrs.field(init=False)
    _filled_s: float | None = None

    def __attrs_post_init__(self):
        self._tokens = self.hourly_share * BURST_FRACTION

    def refill(self, now_s):
        """Add the tokens accrued since the last call; ``now_s`` is in seconds."""
        if self._filled_s is not None:
            accrued = self.hourly_share * (now_s - self._filled_s) / HOUR_S
            self._tokens = min(
                self.hourly_share * BURST_FRACTION, self._tokens + accrued
            )
        self._filled_s = now_s

    def spend(self, share):
        """Spend ``share`` if enough tokens remain, and return whether it was spent."""
        if share > self._tokens:
            return False
        self._tokens -= share
        return True
