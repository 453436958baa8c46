"""Calls that a backend server makes while it runs requests.

A server sends its calls to the node beside it, where callers on the same machine send
their requests, and nothing in a call says whose it is.
"""

import math

__all__ = ["ConnectionOrigin", "NestedCalls"]

MEAN_S = 10.0
AGING_INTERVAL_S = 0.5
MIN_RUNS = 10
MIN_CALLS_PER_RUN = 0.02
"""Callers that use a new connection for each request count as the server, too. Fewer
calls than these aren't told, as most likely theirs."""


class ConnectionOrigin:
    """Whether the requests on a connection may be calls of the server beside the node.

    A server doesn't call its own service. A connection that has carried a request for
    that service is therefore a caller's.

    >>> origin = ConnectionOrigin()
    >>> origin.may_be_nested("stock", backend_service="booking")
    True
    >>> origin.may_be_nested("booking", backend_service="booking")
    False
    >>> origin.may_be_nested("stock", backend_service="booking")
    False
    """

    def __init__(self):
        self._is_callers = False

    def may_be_nested(self, service, backend_service):
        """Return whether a request for a service may be a call of the server."""
        if service == backend_service:
            self._is_callers = True
        return not self._is_callers


class NestedCalls:
    """How many calls to each service a run at the backend server makes on average.

    The averages are over the last `MEAN_S`, and none is told before `MIN_RUNS`.

    >>> nested = NestedCalls()
    >>> for _ in range(20):
    ...     nested.record_run(now_s=0.0)
    >>> for _ in range(10):
    ...     nested.record_call("stock", now_s=0.0)
    >>> nested.calls_per_run(now_s=0.0)
    {'stock': 0.5}
    """

    def __init__(self):
        self._runs = 0.0
        self._calls = {}
        self._aged_s = None

    def record_run(self, now_s):
        """Count a run at the server."""
        self._age(now_s)
        self._runs += 1

    def record_call(self, service, now_s):
        """Count a request that may be a call of the server."""
        self._age(now_s)
        self._calls[service] = self._calls.get(service, 0.0) + 1

    def calls_per_run(self, now_s):
        """Return the calls per run, by service; ``None`` if they aren't known."""
        self._age(now_s)
        if self._runs < MIN_RUNS:
            return None
        means = {name: calls / self._runs for name, calls in self._calls.items()}
        return {name: mean for name, mean in means.items() if mean >= MIN_CALLS_PER_RUN}

    def _age(self, now_s):
        """Reduce the counts by the share of `MEAN_S` that has passed."""
        if self._aged_s is None:
            self._aged_s = now_s
        passed_s = now_s - self._aged_s
        if passed_s < AGING_INTERVAL_S:
            return
        self._aged_s = now_s
        left = math.exp(-passed_s / MEAN_S)
        self._runs *= left
        for name in self._calls:
            self._calls[name] *= left
