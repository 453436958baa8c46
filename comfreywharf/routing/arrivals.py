"""Whether a request has reached a backend server, by its reply.

What reaches a server costs it something, whether it runs the request or refuses it. The
bound on retries therefore counts arrivals at servers, not sends between nodes.
"""

from comfreywharf.routing.outcomes import Outcome, Reason

__all__ = ["may_have_reached_backend"]

_POSSIBLE_REFUSALS_BY_BACKENDS = frozenset(
    {Reason.REFUSED_BY_BACKEND, Reason.NOT_YET_OWNER}
)
"""The reasons of refusals that may come from a server. ``NOT_YET_OWNER`` comes either
from a server that doesn't hold the key or from a node without the right to serve it."""


def may_have_reached_backend(reply):
    """Return whether a request may have reached a backend server on its last send.

    A node of an earlier release doesn't say so in its refusal; the reason then decides.
    """
    if reply.outcome != Outcome.NOT_RUN:
        return True
    if reply.backend_reached is not None:
        return reply.backend_reached
    return Reason(reply.reason) in _POSSIBLE_REFUSALS_BY_BACKENDS
