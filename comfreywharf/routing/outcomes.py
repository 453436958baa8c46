"""The three outcomes of a request, and the statuses that callers receive.

``ANSWERED``: the backend server answered completely. ``NOT_RUN``: it is proven
that no backend server ran the request, so that it may be sent again.
``UNKNOWN``: the request may have run; sending it again under the same request
id is safe, sending it under a new one is not.
"""

from enum import Enum, IntEnum

import attrs

__all__ = ["SAFE_METHODS", "Outcome", "Reason", "Verdict", "verdict_of"]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods without side effects, which may be repeated (RFC 9110, section 9.2.1)."""


class Outcome(IntEnum):
    """What is known about a request; the numbers are those of the IDL."""

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3


@attrs.frozen
class Verdict:
    """The outcome and the HTTP status that callers receive for a reason."""

    outcome: Outcome
    status: int


class Reason(Enum):
    """Why a request has no answer from its backend server."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    NO_ROUTES = "no-routes"
    ROUTES_OUTDATED = "routes-outdated"
    KEY_MISSING = "key-missing"
    KEY_TOO_LONG = "key-too-long"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    HEADERS_TOO_LARGE = "headers-too-large"
    REQUEST_ID_REUSED = "request-id-reused"
    WRONG_OWNER = "wrong-owner"
    NO_OWNER = "no-owner"
    NOT_YET_OWNER = "not-yet-owner"
    ROUTER_FULL = "router-full"
    OVERLOADED = "overloaded"
    BACKEND_COLD = "backend-cold"
    BACKEND_LIMITED = "backend-limited"
    DRAINING = "draining"
    NO_BACKEND = "no-backend"
    REFUSED_BY_BACKEND = "refused-by-backend"
    DEADLINE_BEFORE_START = "deadline-before-start"
    CALLER_GONE_BEFORE_START = "caller-gone-before-start"
    QUARANTINED = "quarantined"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_LOST = "peer-lost"
    BACKEND_LOST = "backend-lost"
    ANSWER_CUT = "answer-cut"
    ANSWER_MIXED = "answer-mixed"
    ANSWER_NOT_KEPT = "answer-not-kept"
    DEADLINE_PASSED = "deadline-passed"
    LEASE_LAPSED = "lease-lapsed"
    NOT_VOUCHED = "not-vouched"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"


_REFUSED_INPUT = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.KEY_TOO_LONG: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BODY_TOO_SLOW: 408,
    Reason.REQUEST_ID_REUSED: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
}

_UNKNOWN = frozenset(
    {
        Reason.PEER_LOST,
        Reason.BACKEND_LOST,
        Reason.ANSWER_CUT,
        Reason.ANSWER_MIXED,
        Reason.ANSWER_NOT_KEPT,
        Reason.DEADLINE_PASSED,
        Reason.LEASE_LAPSED,
        Reason.NOT_VOUCHED,
        Reason.CALLER_GONE,
        Reason.INTERNAL,
    }
)


def verdict_of(reason):
    """Return the `Verdict` for a reason: its outcome and HTTP status.

    >>> verdict_of(Reason.OVERLOADED).status
    503
    """
    if reason in _REFUSED_INPUT:
        return Verdict(Outcome.NOT_RUN, _REFUSED_INPUT[reason])
    if reason in _UNKNOWN:
        return Verdict(Outcome.UNKNOWN, 504)
    return Verdict(Outcome.NOT_RUN, 503)
