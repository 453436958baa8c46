"""The retries that this node may send, within its part of the fleet's budgets."""

from comfreywharf.clock import boottime_s
from comfreywharf.routing import Outcome, RetryBudgets, may_have_reached_backend

__all__ = ["Retries"]


class Retries:
    """Count requests and retries by service; see `RetryBudgets`."""

    def __init__(self, node, terms):
        self._node = node
        self._budgets = RetryBudgets(terms)

    @property
    def tokens(self):
        """Return how many retries are allowed now, by service."""
        return self._budgets.tokens

    def count_request(self, call):
        """Add what a request earns, before it is sent for the first time.

        What may be a call of a backend server earns nothing: one caller's request leads
        to several calls, and the bound counts callers' requests.
        """
        name = call.service.name
        now_s = boottime_s()
        budget = self._budgets.update(name, self._nodes, now_s)
        if call.may_be_nested:
            self._node.load.nested.record_call(name, now_s)
        else:
            budget.earn(call.service.retry_fraction)

    def allow(self, service):
        """Return whether a retry is allowed now."""
        allowed = self._budgets.allow(service, self._nodes, boottime_s())
        if not allowed:
            self._node.metrics.retry_refused(service)
        return allowed

    def take(self, service):
        """Count a retry and return it, or ``None`` if it isn't allowed."""
        retry = self._budgets.take(service, self._nodes, boottime_s())
        if retry is None:
            self._node.metrics.retry_refused(service)
        return retry

    def settle(self, retry, reply):
        """Give back what a retry didn't use, by the reply to it."""
        self._budgets.settle(
            retry,
            reached=may_have_reached_backend(reply),
            ran=reply.outcome != Outcome.NOT_RUN,
        )

    def learn_calls(self, service, reply):
        """Learn from a server's refusal how many calls the service's runs make."""
        if reply.calls_per_run is not None:
            self._budgets.learn_calls(service, reply.calls_per_run)

    @property
    def _nodes(self):
        return len(self._node.follower.state.members)
