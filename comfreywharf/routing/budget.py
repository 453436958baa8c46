"""Token buckets that bound the retries of services.

A retry is an arrival of a request at a backend server beyond its first one. Retries
multiply an overload: with two retries per request, a service that is only slightly too
slow receives three times its load. Limiting retries to a fraction of the requests
bounds the total traffic, whatever each single request would be allowed. Source:
"Addressing Cascading Failures", Site Reliability Engineering (2016).
"""

import attrs

__all__ = ["BurstTerms", "Retry", "RetryBudget", "RetryBudgets"]

SAVED_PART = 0.9
"""The part of a node's retries that it may save up. It earns the rest as time passes,
for services that only other backend servers call, whose requests earn nothing."""

MIN_BURST = 1.0
"""With less than one token, a node could never send a retry."""

ROUNDING = 1e-9
"""Ten additions of 0.1 add up to slightly less than 1."""


@attrs.frozen(kw_only=True)
class BurstTerms:
    """The retries of a service that need no requests, in any ``window_s``.

    All nodes together send up to ``fleet_retries`` of them.

    >>> terms = BurstTerms(fleet_retries=100, window_s=10)
    >>> terms.burst(nodes=10), round(terms.earned_per_s(nodes=10), 3)
    (9.0, 0.1)
    """

    fleet_retries: float
    window_s: float

    def burst(self, nodes):
        """Return how many retries one of the nodes may save up, at least one."""
        return max(MIN_BURST, SAVED_PART * self._part(nodes))

    def earned_per_s(self, nodes):
        """Return how many retries one of the nodes earns per second."""
        return (1 - SAVED_PART) * self._part(nodes) / self.window_s

    def _part(self, nodes):
        return self.fleet_retries / max(1, nodes)


class RetryBudget:
    """The retries of one service that one node may send.

    >>> budget = RetryBudget(BurstTerms(fleet_retries=10, window_s=10), now_s=0.0)
    >>> budget.take()
    False
    >>> for _ in range(10):
    ...     budget.earn(0.1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.update(nodes=1, now_s=10.0)
    >>> round(budget.tokens, 3)
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

    def covers(self, tokens=1.0):
        """Return whether so many retries are allowed.

        More than a node can ever save up are allowed once it has saved up all it can.
        """
        return self._tokens >= min(tokens, self._burst) - ROUNDING

    def take(self, tokens=1.0):
        """Return whether so many retries are allowed, and count them if so."""
        if not self.covers(tokens):
            return False
        self._tokens -= tokens
        return True

    def give_back(self, tokens=1.0):
        """Take back the count of retries that reached no backend server."""
        self._tokens = min(self._burst, self._tokens + tokens)


@attrs.frozen(kw_only=True)
class Retry:
    """A retry that was counted; ``calls`` are those that its run would make."""

    service: str
    calls: dict[str, float]


class RetryBudgets:
    """The budgets of all services at one node, and what a retry costs each of them.

    A run makes calls to other services. Those of a repeated run are retries there,
    since they follow from a retry, although each reaches a server for the first time.

    >>> terms = BurstTerms(fleet_retries=10, window_s=10)
    >>> budgets = RetryBudgets(terms)
    >>> for _ in range(20):
    ...     budgets.update("booking", nodes=1, now_s=0.0).earn(0.1)
    ...     budgets.update("stock", nodes=1, now_s=0.0).earn(0.1)
    >>> budgets.learn_calls("booking", {"stock": 1.5})
    >>> retry = budgets.take("booking", nodes=1, now_s=0.0)
    >>> budgets.take("booking", nodes=1, now_s=0.0) is None
    True
    >>> budgets.settle(retry, reached=True, ran=False)
    >>> {name: round(tokens, 3) for name, tokens in budgets.tokens.items()}
    {'booking': 1.0, 'stock': 2.0}
    """

    def __init__(self, terms):
        self._terms = terms
        self._budgets = {}
        self._calls_per_run = {}

    @property
    def tokens(self):
        """Return how many retries are allowed now, by service."""
        return {name: budget.tokens for name, budget in self._budgets.items()}

    def update(self, service, nodes, now_s):
        """Return the `RetryBudget` of a service, with what it earned as time passed."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._terms, now_s)
        budget.update(nodes, now_s)
        return budget

    def learn_calls(self, service, calls_per_run):
        """Set how many calls to each service a run of a service makes on average."""
        self._calls_per_run[service] = dict(calls_per_run)

    def allow(self, service, nodes, now_s):
        """Return whether a retry for a service is allowed."""
        return all(
            self.update(name, nodes, now_s).covers(tokens)
            for name, tokens in self._costs(service)
        )

    def take(self, service, nodes, now_s):
        """Count a retry and return it as a `Retry`, or ``None`` if it isn't allowed."""
        if not self.allow(service, nodes, now_s):
            return None
        for name, tokens in self._costs(service):
            self._budgets[name].take(tokens)
        return Retry(service=service, calls=self._calls_per_run.get(service, {}))

    def settle(self, retry, *, reached, ran):
        """Give back what a retry didn't use.

        ``reached`` is whether it reached a backend server, ``ran`` whether it may have
        run there.
        """
        if not reached:
            self._budgets[retry.service].give_back()
        if not ran:
            for name, tokens in retry.calls.items():
                self._budgets[name].give_back(tokens)

    def _costs(self, service):
        yield service, 1.0
        yield from self._calls_per_run.get(service, {}).items()
