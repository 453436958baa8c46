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
    MAX_WAIT_SHARE,
    RefusedCallers,
    return_wait_s,
)

__all__ = ["Attempt", "ServiceAdmission"]

COUNTED_S = 1.0
"""Time constant of the counts of recent arrivals."""

AGING_INTERVAL_S = 0.05

MAX_VALID_S = 1.0
"""Longest time that a level, or its absence, is taken to hold."""


@attrs.frozen(kw_only=True)
class Attempt:
    """One request, as it arrives at an ingress node.

    ``owner`` is the node id of its key's owner, or empty if the service isn't divided
    by key. ``request`` is as in `RefusedCallers`.
    """

    route: str
    rank: int
    owner: str
    remaining_s: float
    request: int = 0


@attrs.define
class ServiceAdmission:
    """The levels that a service's servers state, and the decisions that follow.

    Arrivals are counted also while there is no level, so that the shares of ranks are
    known when the first one arrives.

    >>> from comfreywharf.load.overload import Level
    >>> service = ServiceAdmission(random.Random(1))
    >>> attempt = Attempt(
    ...     route="r", rank=2, owner="a", remaining_s=5.0
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
        also if no level is valid here any more. Callers would otherwise be served the
        sooner, the more often they try.
        """
        left_s = self._wait_left_s(attempt, now_s)
        if left_s:
            self.early_refusals += 1
            return left_s
        self._count(attempt, now_s)
        if not self._levels:
            return None
        levels = self._valid_levels(attempt.owner, now_s)
        if not any(levels):
            return None
        fraction = self._fraction(attempt.rank, levels)
        if self._take((attempt.owner, attempt.rank), fraction):
            return None
        # Some are forwarded all the same, to measure the demand.
        if self._take((attempt.owner, attempt.rank, "forwarded"), FORWARDED_FRACTION):
            return None
        held_s = self._held_s(attempt.owner, now_s)
        wait_s = return_wait_s(attempt.remaining_s, held_s, self.rng)
        self.record_wait(attempt, wait_s, now_s)
        return wait_s

    def record_wait(self, attempt, wait_s, now_s):
        """Record a wait that was given to a refused caller, here or by its server.

        Callers keep waits up to a share of the time that they have left.
        """
        wait_s = min(wait_s, attempt.remaining_s * MAX_WAIT_SHARE)
        name = attempt.route, attempt.rank
        callers = self._refused.setdefault(name, RefusedCallers())
        deadline_s = now_s + attempt.remaining_s
        callers.record(deadline_s, attempt.request, now_s + wait_s)

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
        deadline_s = now_s + attempt.remaining_s
        return callers.left_s(deadline_s, attempt.request, now_s)

    def _count(self, attempt, now_s):
        """Count an arrival that isn't too early."""
        self._age(now_s)
        known = self._arrivals.get(attempt.rank, 0.0)
        self._arrivals[attempt.rank] = known + 1 / COUNTED_S

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
        for rank in self._arrivals:
            self._arrivals[rank] *= left

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
        admitted = sum(
            per_s * sum(level.admitted(each) if level else 1.0 for level in levels)
            for each, per_s in self._arrivals.items()
        )
        return fractions_by_rank(self._arrivals, admitted / len(levels))[rank]

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

    def _held_s(self, owner, now_s):
        """Return how long the levels that refuse a request are known to hold."""
        held = [
            until_s
            for name, (level, until_s) in self._levels.items()
            if level and owner in ("", name)
        ]
        return max(min(held, default=now_s) - now_s, 0.0)
