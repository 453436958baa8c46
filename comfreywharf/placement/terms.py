"""Election of the planner: when a node starts a planner's term.

Two planners at the same time are harmless, since the fold refuses records of a
stale term. What has to stay small is the number of nodes that start a term at
once, and how often the role changes hands.
"""

import attrs
import xxhash

__all__ = [
    "ReportAnswered",
    "ReportFailed",
    "StartTerm",
    "TermState",
    "Tick",
    "decide",
]

MISSED_REPORTS = 3
"""Consecutive reports without an answer after which the planner seems lost."""

STAGGER_S = 1.0
"""Delay between one candidate and the next."""

RANKED_CANDIDATES = 8
"""Candidates that are staggered one by one; later ones are spread over
`LATE_WINDOW_S`."""

LATE_WINDOW_S = 30.0

BACKOFF_BASE_S = 2.0
MAX_BACKOFF_S = 300.0
"""Base and upper bound of the time for which a node starts no further term."""


@attrs.frozen(kw_only=True)
class ReportAnswered:
    """A load report was answered.

    ``planning`` is false if the receiver wasn't planning.
    """

    planner_id: str
    planning: bool


@attrs.frozen(kw_only=True)
class ReportFailed:
    """A load report got no answer."""

    planner_id: str


@attrs.frozen(kw_only=True)
class Tick:
    """Time has passed; the fields hold the node's folded state."""

    planner_id: str
    term: int
    members: tuple[str, ...]
    log_reachable: bool


@attrs.frozen(kw_only=True)
class StartTerm:
    """Append a `PlannerTermStarted` record that is based on ``base_term``."""

    base_term: int


@attrs.define(kw_only=True)
class TermState:
    """One node's view of the planner.

    The planner has seemed lost since ``suspected_s``. ``own_starts`` counts the
    terms that this node started; it doesn't start another before ``not_before_s``.
    """

    node_id: str
    missed_reports: int = 0
    suspected_s: float | None = None
    term: int = -1
    own_starts: int = 0
    not_before_s: float = 0.0


def decide(state, event, now_s):
    """Return ``(state, actions)``; the state is changed in place."""
    if isinstance(event, Tick):
        return state, _tick(state, event, now_s)
    answered = isinstance(event, ReportAnswered) and event.planning
    state.missed_reports = 0 if answered else state.missed_reports + 1
    return state, []


def _tick(state, event, now_s):
    if event.term != state.term:
        _follow_term(state, event)
    if not _planner_seems_lost(state, event):
        state.suspected_s = None
        return []
    # No node can start a term while the log is down. The wait restarts when the
    # log is back, which keeps the order of the candidates; otherwise all of them
    # would append as soon as it returns.
    if not event.log_reachable:
        state.suspected_s = None
        return []
    if state.suspected_s is None:
        state.suspected_s = now_s
    due_s = max(state.suspected_s + _wait_s(state, event), state.not_before_s)
    if now_s < due_s:
        return []
    state.suspected_s = None
    state.own_starts += 1
    state.not_before_s = now_s + _backoff_s(state)
    return [StartTerm(base_term=event.term)]


def _follow_term(state, event):
    state.term = event.term
    state.missed_reports = 0
    state.suspected_s = None


def _planner_seems_lost(state, event):
    if state.node_id not in event.members or event.planner_id == state.node_id:
        return False
    if event.planner_id not in event.members:
        return True
    return state.missed_reports >= MISSED_REPORTS


def _wait_s(state, event):
    """Return how long this candidate waits for those ranked before it, in seconds.

    The rank follows from a hash of node and term, so that it differs for each
    term and needs no message. Otherwise 640 nodes that detect the loss at once
    would make 640 appends, while the log accepts a few hundred per second.
    """
    others = [node_id for node_id in event.members if node_id != event.planner_id]
    own_hash = _rank_hash(state.node_id, event.term)
    rank = sum(1 for node_id in others if _rank_hash(node_id, event.term) < own_hash)
    if rank < RANKED_CANDIDATES:
        return rank * STAGGER_S
    return RANKED_CANDIDATES * STAGGER_S + LATE_WINDOW_S * own_hash / (1 << 64)


def _rank_hash(node_id, term):
    return xxhash.xxh3_64_intdigest(node_id.encode(), seed=max(term, 0))


def _backoff_s(state):
    """Return how long this node waits after a start before the next, in seconds.

    Otherwise two nodes that can't reach each other, while all others reach both,
    would take the role from each other every few seconds.
    """
    return min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2 ** min(state.own_starts, 10))
