"""Which requests an ingress node refuses for a service whose servers state levels.

The present time is an argument, as is the source of randomness.
"""

import math
import random

import attrs

from comfreywharf.load.overload import (
    FORWARDED_FRACTION,
    fractions_by_rank,
)
from comfreywharf.load.returns import (
    Precedence,
    RefusedCallers,
    ReturnSchedule,
    RouteAttempts,
    admitted_by_precedence,
)

__all__ = ["Attempt", "ServiceAdmission"]

COUNTED_S = 1.0
"""Time constant of the counts of recent arrivals."""

AGING_INTERVAL_S = 0.05

MAX_FORWARDED_CREDIT = 2.0
"""Sum of the forwarded fractions from which on an early return is forwarded."""

MAX_VALID_S = 1.0
"""Longest time that a level, or its absence, is taken to hold."""


@attrs.frozen(kw_only=True)
class Attempt:
    """One request, as it arrives at an ingress node.

    ``owner`` is the node id of its key's owner, or empty if the service isn't divided
    by key. ``target_left_s`` is as in `ReturnSchedule`.
    """

    route: str
    rank: int
    owner: str
    remaining_s: float
    target_left_s: float | None


@attrs.define
class ServiceAdmission:
    """The levels that a service's servers state, and the decisions that follow.

    Arrivals are counted also while there is no level, so that the shares of ranks are
    known when the first one arrives.

    >>> from comfreywharf.load.overload import Level
    >>> service = ServiceAdmission(random.Random(1))
    >>> attempt = Attempt(
    ...     route="r", rank=2, owner="a", remaining_s=5.0, target_left_s=None
    ... )
    >>> service.refused_wait_s(attempt, now_s=0.0) is None
    True
    >>> service.record_level("a", Level(1, 0.5), 0.4, now_s=0.1)
    >>> waits = [service.refused_wait_s(attempt, now_s=0.2) for _ in range(9)]
    >>> len([wait_s for wait_s in waits if wait_s is not None]) >= 5
    True
    """

    rng: random.Random
    early_refusals: int = 0
    _levels: dict = attrs.Factory(dict)
    _arrivals: dict = attrs.Factory(dict)
    _aged_s: float | None = None
    _credits: dict = attrs.Factory(dict)
    _routes: dict = attrs.Factory(dict)
    _schedules: dict = attrs.Factory(dict)
    _refused: dict = attrs.Factory(dict)

    def record_level(self, node_id, level, valid_s, now_s):
        """Record the `Level` in a reply of a server's node; ``None`` if it has none.

        The absence of a level counts only beside the levels of other servers.
        """
        if level is None and not self._levels:
            return
        valid_s = min(max(valid_s, 0.0), MAX_VALID_S)
        self._levels[node_id] = (level, now_s + valid_s)
        if level is None:
            self._drop_if_unlimited()

    def refused_wait_s(self, attempt, now_s):
        """Return how long a refused caller should wait; ``None`` if it is admitted.

        A caller that returns before its wait has passed is refused with the rest of it,
        also if no level is valid here any more.
        """
        precedence = self._count(attempt, now_s)
        if precedence is Precedence.EARLY:
            left_s = self._wait_left_s(attempt, now_s)
            if left_s:
                self.early_refusals += 1
                return left_s
        if not self._levels:
            return None
        levels = self._valid_levels(attempt.owner, now_s)
        if not any(levels):
            return None
        fraction = self._fraction(attempt.rank, levels)
        arrivals = self._arrivals[attempt.rank]
        admitted = admitted_by_precedence(fraction, arrivals)[precedence]
        if self._take((attempt.owner, attempt.rank, precedence), admitted):
            return None
        if self._is_forwarded(attempt, precedence):
            return None
        return self._wait_s(attempt, fraction * _in_time(arrivals), now_s)

    def record_wait(self, route, rank, wait_s, now_s, deadline_s=None):
        """Record a wait that a server's own node gave to a caller on a route.

        ``deadline_s`` is the caller's deadline; without it, the caller isn't recognised
        when it returns.
        """
        attempts = self._routes.get((route, rank))
        if attempts is None:
            return
        attempts.record_wait(wait_s, now_s)
        if deadline_s is not None:
            self._record_refused(route, rank, deadline_s, now_s + wait_s)

    @property
    def limited(self):
        """Return whether a level may be in force."""
        return bool(self._levels)

    def stated(self, now_s):
        """Return ``(rank, fraction)`` of the strictest valid level, or ``None``."""
        levels = [level for level in self._valid_levels("", now_s) if level]
        if not levels:
            return None
        strictest = min(levels, key=lambda level: (level.rank, level.fraction))
        return strictest.rank, strictest.fraction

    def _wait_left_s(self, attempt, now_s):
        callers = self._refused.get((attempt.route, attempt.rank))
        if callers is None:
            return 0.0
        return callers.left_s(now_s + attempt.remaining_s, now_s)

    def _record_refused(self, route, rank, deadline_s, until_s):
        callers = self._refused.setdefault((route, rank), RefusedCallers())
        callers.record(deadline_s, until_s)

    def _count(self, attempt, now_s):
        """Count an arrival; return its `Precedence`."""
        self._age(now_s)
        route = attempt.route, attempt.rank
        attempts = self._routes.get(route)
        if attempts is None:
            attempts = self._routes[route] = RouteAttempts()
        late = attempt.target_left_s is not None and attempt.target_left_s <= 0
        precedence = attempts.precedence(attempt.remaining_s, late, now_s)
        counts = self._arrivals.setdefault(attempt.rank, {})
        counts[precedence] = counts.get(precedence, 0.0) + 1 / COUNTED_S
        return precedence

    def _age(self, now_s):
        """Reduce the counts, which are arrivals per second, by the time passed."""
        if self._aged_s is None:
            self._aged_s = now_s
        passed_s = now_s - self._aged_s
        if passed_s < AGING_INTERVAL_S:
            return
        self._aged_s = now_s
        self._drop_expired(now_s)
        left = math.exp(-passed_s / COUNTED_S)
        for counts in self._arrivals.values():
            for precedence in counts:
                counts[precedence] *= left

    def _valid_levels(self, owner, now_s):
        """Return the levels in force: the owner's, or those of all servers."""
        if owner:
            level, until_s = self._levels.get(owner, (None, 0.0))
            return [level] if now_s < until_s else []
        return [level for level, until_s in self._levels.values() if now_s < until_s]

    def _drop_expired(self, now_s):
        expired = [
            name for name, (_, until_s) in self._levels.items() if until_s <= now_s
        ]
        for name in expired:
            del self._levels[name]
        if expired:
            self._drop_if_unlimited()

    def _drop_if_unlimited(self):
        if not any(level for level, _ in self._levels.values()):
            self._levels.clear()
            self._credits.clear()

    def _fraction(self, rank, levels):
        """Return the admitted fraction of a rank.

        The mean over the servers is distributed by urgency: a server without a level
        admits all ranks, and would let a less urgent rank through while a more urgent
        one is refused for another server's sake.
        """
        demand = {each: _in_time(counts) for each, counts in self._arrivals.items()}
        admitted = sum(
            per_s * sum(level.admitted(each) if level else 1.0 for level in levels)
            for each, per_s in demand.items()
        )
        return fractions_by_rank(demand, admitted / len(levels))[rank]

    def _take(self, name, fraction):
        """Return whether the next request is within a fraction of those so named.

        The fractions are added up, so that the number that is admitted differs by less
        than one from the fraction. The first sum is random, since nodes would
        otherwise admit their first requests all together.
        """
        total = self._credits.get(name)
        if total is None:
            total = self.rng.random()
        total += fraction
        taken = total >= 1
        self._credits[name] = total - 1 if taken else total
        return taken

    def _is_forwarded(self, attempt, precedence):
        """Return whether a request above the level is forwarded to measure the demand.

        An early return isn't, as long as others come; a caller would otherwise be
        served the sooner, the more often it tries.
        """
        name = attempt.owner, attempt.rank, None
        total = self._credits.get(name, self.rng.random()) + FORWARDED_FRACTION
        needed = MAX_FORWARDED_CREDIT if precedence is Precedence.EARLY else 1
        forwarded = total >= needed
        self._credits[name] = total - 1 if forwarded else total
        return forwarded

    def _wait_s(self, attempt, admitted_per_s, now_s):
        schedule = self._schedules.get(attempt.rank)
        if schedule is None:
            schedule = self._schedules[attempt.rank] = ReturnSchedule(self.rng)
        wait_s = schedule.wait_s(
            admitted_per_s, attempt.remaining_s, attempt.target_left_s, now_s
        )
        self._routes[attempt.route, attempt.rank].record_wait(wait_s, now_s)
        deadline_s = now_s + attempt.remaining_s
        self._record_refused(attempt.route, attempt.rank, deadline_s, now_s + wait_s)
        return wait_s


def _in_time(counts):
    """Return the arrivals that may be answered in time for their targets."""
    return sum(counts.values()) - counts.get(Precedence.LATE, 0.0)
