"""Checks of the invariants against the ledger, the grants and callers' results.

All times are in seconds of the machine's monotonic clock, which all processes
share, so that the times of two backend servers are comparable.
"""

from collections import defaultdict
from enum import Enum

import attrs

__all__ = [
    "AcceptedGrant",
    "Effect",
    "Rule",
    "CallResult",
    "CallOutcome",
    "Violation",
    "find_violations",
]


class Rule(Enum):
    """An invariant, by the brief's "What must always hold"."""

    ONE_OWNER = "two servers never own one key at once"
    ONE_FENCE_ONE_SERVER = "no two servers are granted one hash under one fence"
    AT_MOST_ONCE = "a request takes effect at most once"
    NOT_RUN_IS_PROVED = "a request that was called not run took no effect"
    ANSWERED_IS_DONE = "a request that was answered took effect"
    OWN_ANSWER = "a caller gets the answer to its own request"


@attrs.frozen(kw_only=True)
class Effect:
    """One line of the ledger; ``key_hash`` is empty if the service has no owners.

    ``arrived_s`` is when its request reached the server, ``at_s`` when it took effect.
    """

    arrived_s: float
    at_s: float
    server: str
    service: str
    key_hash: str
    fence: int
    request_id: str


@attrs.frozen(kw_only=True)
class AcceptedGrant:
    """A grant that a backend server accepted, of hashes ``start <= hash < end``."""

    at_s: float
    server: str
    start: int
    end: int
    fence: int
    expires_monotonic_ms: int


class CallOutcome(Enum):
    """The outcome that a caller received; ``NO_ANSWER`` if there was no answer."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NO_ANSWER = "nothing"


@attrs.frozen(kw_only=True)
class CallResult:
    """The result of one attempt to send a request that applies an effect.

    ``echoed_key`` and ``echoed_id`` are the key and the request id in the answer;
    ``accepted`` says whether the backend server answered with success.
    """

    request_id: str
    key: str
    node_id: str
    outcome: CallOutcome
    sent_s: float
    done_s: float
    status: int = 0
    reason: str = ""
    accepted: bool = False
    echoed_key: str = ""
    echoed_id: str = ""


@attrs.frozen(kw_only=True)
class Violation:
    """A broken rule, and the effects, grants or results that broke it."""

    rule: Rule
    evidence: str


def find_violations(effects, results=(), grants=()):
    """Return every `Violation` found by the checks, check by check."""
    return [
        *_find_overlapping_owners(effects),
        *_find_shared_fences(grants),
        *_find_repeated_effects(effects),
        *_find_wrong_outcomes(effects, results),
        *_find_mismatched_answers(results),
    ]


def _find_overlapping_owners(effects):
    """Find effects of an older owner that came after a newer owner's effect.

    If two servers own a key at overlapping times, the one with the older fence
    applies an effect after the first effect of the newer one, or both use the same
    fence. The first effect of each owner marks the start of its ownership.
    """
    owners_by_key = defaultdict(dict)
    for effect in sorted(effects, key=lambda one: one.at_s):
        if not effect.key_hash:
            continue
        owners = owners_by_key[effect.service, effect.key_hash]
        newer = next(
            (first for first in owners.values() if _conflicts(first, effect)), None
        )
        if newer is None:
            owners.setdefault((effect.server, effect.fence), effect)
        else:
            evidence = f"{effect} after {newer}"
            yield Violation(rule=Rule.ONE_OWNER, evidence=evidence)


def _conflicts(first, effect):
    """Return whether a later effect conflicts with an owner's first effect.

    An owner's fence can rise while it keeps a key, for instance with a new standby.
    Requests that had reached its server before may finish under the earlier fence.
    """
    if first.server != effect.server:
        return effect.fence <= first.fence
    return effect.fence < first.fence and first.at_s < effect.arrived_s


def _find_shared_fences(grants):
    by_fence = defaultdict(list)
    for grant in grants:
        by_fence[grant.fence].append(grant)
    for same in by_fence.values():
        for index, one in enumerate(same):
            for other in same[index + 1 :]:
                if one.server != other.server and _overlap(one, other):
                    evidence = f"{one} and {other}"
                    yield Violation(rule=Rule.ONE_FENCE_ONE_SERVER, evidence=evidence)


def _overlap(one, other):
    return one.start < other.end and other.start < one.end


def _find_repeated_effects(effects):
    first = {}
    for effect in effects:
        earlier = first.setdefault(effect.request_id, effect)
        if earlier is not effect:
            evidence = f"{earlier} and {effect}"
            yield Violation(rule=Rule.AT_MOST_ONCE, evidence=evidence)


def _find_wrong_outcomes(effects, results):
    applied = {effect.request_id for effect in effects}
    attempts = defaultdict(list)
    for one in results:
        attempts[one.request_id].append(one)
    for request_id, request_results in attempts.items():
        outcomes = {one.outcome for one in request_results}
        if outcomes == {CallOutcome.NOT_RUN} and request_id in applied:
            yield Violation(rule=Rule.NOT_RUN_IS_PROVED, evidence=str(request_results))
        if any(one.accepted for one in request_results) and request_id not in applied:
            yield Violation(rule=Rule.ANSWERED_IS_DONE, evidence=str(request_results))


def _find_mismatched_answers(results):
    for one in results:
        if not one.accepted:
            continue
        if (one.echoed_key, one.echoed_id) != (one.key, one.request_id):
            yield Violation(rule=Rule.OWN_ANSWER, evidence=str(one))
