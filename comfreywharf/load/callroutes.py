"""Which routes only a backend server's calls use, and the rank that a call inherits.

Nothing in a call says that a server makes it. Two facts tell calls from the requests
of callers on the same VM: a call expires with the run that makes it at the latest, and
that run doesn't end before the call. A route whose requests contradict either is used
by callers.
"""

import attrs

__all__ = ["CallRoutes", "Run", "inherited_rank", "possible_runs"]

EXPIRY_MARGIN_S = 0.05
"""How much later than the run that makes it a call may seem to expire. The deadlines
are measured at different times, in whole milliseconds."""

OBSERVATION_WEIGHT = 0.04
"""Weight of the newest observation in the fraction of contradictions, which covers the
last 25 requests of a route."""

MIN_OBSERVATIONS = 10
"""A server that rarely makes calls needs seconds for each dozen of them."""

MAX_CONTRADICTIONS = 0.08
"""Fraction of contradictions up to which a route counts as used by calls only. A run
that is cancelled ends before its calls, as may be the case for two of 25 requests."""


@attrs.frozen
class Run:
    """A run in progress at the backend server.

    ``number`` identifies it among the runs of one node.
    """

    number: int
    rank: int
    deadline_s: float


@attrs.define
class _Observed:
    """The requests of one route at this node; ``contradictions`` is a fraction."""

    requests: int = 0
    contradictions: float = 0.0


def possible_runs(runs, expires_s):
    """Return those of some runs that may have made a call that expires at a time.

    >>> runs = [Run(1, rank=0, deadline_s=2.0), Run(2, rank=1, deadline_s=5.0)]
    >>> [run.number for run in possible_runs(runs, expires_s=3.0)]
    [2]
    """
    return [run for run in runs if run.deadline_s + EXPIRY_MARGIN_S >= expires_s]


def inherited_rank(runs):
    """Return the rank of a call that one of ``runs`` made; there is at least one.

    It is that of the least urgent run. The call may belong to any of them, and must not
    gain from one that it doesn't belong to.

    >>> quote, fetch = Run(1, rank=0, deadline_s=2.0), Run(2, rank=2, deadline_s=5.0)
    >>> inherited_rank([quote]), inherited_rank([quote, fetch])
    (0, 2)
    """
    return max(run.rank for run in runs)


class CallRoutes:
    """Learn which routes carry only calls of the backend server beside this node.

    Each request that isn't known to be a caller's is observed once, when it has ended.

    >>> routes = CallRoutes()
    >>> for _ in range(MIN_OBSERVATIONS):
    ...     routes.observe("stock", may_belong_to_run=True)
    >>> routes.carries_calls("stock"), routes.carries_calls("orders")
    (True, False)
    """

    def __init__(self):
        self._observed = {}

    def observe(self, route, may_belong_to_run):
        """Record whether a run may have made a request of a route."""
        observed = self._observed.setdefault(route, _Observed())
        observed.requests += 1
        change = (not may_belong_to_run) - observed.contradictions
        weight = max(OBSERVATION_WEIGHT, 1 / observed.requests)
        observed.contradictions += weight * change

    def carries_calls(self, route):
        """Return whether a route's requests are known to be calls of the server."""
        observed = self._observed.get(route)
        return (
            observed is not None
            and observed.requests >= MIN_OBSERVATIONS
            and observed.contradictions <= MAX_CONTRADICTIONS
        )

    def keep(self, routes):
        """Forget the routes that aren't among ``routes``, which are names."""
        kept = set(routes)
        self._observed = {
            name: observed for name, observed in self._observed.items() if name in kept
        }
