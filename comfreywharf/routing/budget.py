"""A token bucket that bounds the retries of a service.

A retry is an arrival of a request at a backend server beyond its first one.

Retries multiply an overload: with two retries per request, a service that is
only slightly too slow receives three times its load. Limiting retries to a
fraction of the first sends bounds the total traffic, whatever each single
request would be allowed. Source: "Addressing Cascading Failures", Site
Reliability Engineering (2016).
"""

__all__ = ["RetryBudget"]

MAX_TOKENS = 20.0


class RetryBudget:
    """Count requests and retries of one service.

    ``max_tokens`` bounds the burst of retries after a period without any.

    >>> budget = RetryBudget()
    >>> budget.take()
    False
    >>> for _ in range(10):
    ...     budget.earn(0.1)
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, max_tokens=MAX_TOKENS):
        self._tokens = 0.0
        self._max_tokens = max_tokens

    @property
    def tokens(self):
        """Return how many retries are allowed now."""
        return self._tokens

    def earn(self, fraction):
        """Count a request; ``fraction`` is the service's `retry_fraction`."""
        self._tokens = min(self._max_tokens, self._tokens + fraction)

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
        self._tokens = min(self._max_tokens, self._tokens + 1)
