"""Token buckets that bound the retries of services.

A retry is an arrival of a request at a backend server beyond its first one. Retries
multiply an overload: with two retries per request, a service that is only slightly too
slow receives three times its load. Limiting retries to a fraction of the requests
bounds the total traffic, whatever each single request would be allowed. Source:
"Addressing Cascading Failures", Site Reliability Engineering (2016).
"""

import attrs

__all__ = ["BurstTerms", "RetryBudget"]

MIN_BURST = 1.0
"""With less than one token, a node could never send a retry."""

ROUNDING = 1e-9
"""Ten additions of 0.1 add up to slightly less than 1."""


@attrs.frozen(kw_only=True)
class BurstTerms:
    """The retries of a service that need no requests, in any ``window_s``.

    All nodes together send up to ``fleet_retries`` of them. A node saves up half of its
    part, and earns the other half as time passes.

    >>> terms = BurstTerms(fleet_retries=60, window_s=10)
    >>> terms.burst(nodes=12), terms.earned_per_s(nodes=12)
    (2.5, 0.25)
    """

    fleet_retries: float
    window_s: float

    def burst(self, nodes):
        """Return how many retries one of the nodes may save up, at least one."""
        return max(MIN_BURST, self._half(nodes))

    def earned_per_s(self, nodes):
        """Return how many retries one of the nodes earns per second."""
        return self._half(nodes) / self.window_s

    def _half(self, nodes):
        return self.fleet_retries / max(1, nodes) / 2


class RetryBudget:
    """The retries of one service that one node may send.

    >>> budget = RetryBudget(BurstTerms(fleet_retries=10, window_s=10), now_s=0.0)
    >>> budget.take()
    False
    >>> for _ in range(10):
    ...     budget.earn(0.1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.update(nodes=1, now_s=2.0)
    >>> budget.tokens
    1.0
    """

    def __init__(self, terms, now_s):
        self._terms = terms
        self._updated_s = now_s
        self._burst = terms.burst(1)
        self._tokens = 0.0

    @property
    def tokens(self):
        """Return how many retries are allowed now."""
        return self._tokens

    def update(self, nodes, now_s):
        """Add what was earned as time passed; ``nodes`` is how many nodes there are."""
        self._burst = self._terms.burst(nodes)
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self.earn(passed_s * self._terms.earned_per_s(nodes))

    def earn(self, tokens):
        """Add what a request earns, the service's `retry_fraction`."""
        self._tokens = min(self._burst, self._tokens + tokens)

    @property
    def allows_retry(self):
        """Return whether a retry is allowed."""
        return self._tokens >= 1 - ROUNDING

    def take(self):
        """Return whether a retry is allowed, and count it if so."""
        if not self.allows_retry:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True

    def give_back(self):
        """Take back the count of a retry that reached no backend server."""
        self._tokens = min(self._burst, self._tokens + 1)
