"""A token bucket that bounds the retries of a service.

A retry is an arrival of a request at a backend server beyond its first one.

Retries multiply an overload: with two retries per request, a service that is
only slightly too slow receives three times its load. Limiting retries to a
fraction of the first sends bounds the total traffic, whatever each single
request would be allowed. Source: "Addressing Cascading Failures", Site
Reliability Engineering (2016).
"""

__all__ = ["RetryBudget", "burst_of_node"]

MIN_BURST = 1.0
"""With less than one token, a node could never send a retry."""


def burst_of_node(fleet_burst, nodes):
    """Return how many retries one node may save up for a burst.

    All nodes together save up ``fleet_burst``, or one each if they are more than that.

    >>> burst_of_node(60, 12), burst_of_node(60, 200)
    (5.0, 1.0)
    """
    return max(MIN_BURST, fleet_burst / max(1, nodes))


class RetryBudget:
    """Count requests and retries of one service.

    >>> budget = RetryBudget()
    >>> budget.take()
    False
    >>> for _ in range(10):
    ...     budget.earn(0.1, burst=5)
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self):
        self._tokens = 0.0
        self._burst = MIN_BURST

    @property
    def tokens(self):
        """Return how many retries are allowed now."""
        return self._tokens

    def earn(self, fraction, burst):
        """Count a request; ``fraction`` is the service's `retry_fraction`.

        ``burst`` bounds the retries that are saved up, see `burst_of_node`.
        """
        self._burst = burst
        self._tokens = min(burst, self._tokens + fraction)

    @property
    def allows_retry(self):
        """Return whether a retry is allowed."""
        # Ten additions of 0.1 add up to slightly less than 1 because of rounding.
        return self._tokens >= 1 - 1e-9

    def take(self):
        """Return whether a retry is allowed, and count it if so."""
        if not self.allows_retry:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True

    def give_back(self):
        """Take back the count of a retry that reached no backend server."""
        self._tokens = min(self._burst, self._tokens + 1)
