"""The admission level of an overloaded server, from the demand that arrives there.

The caller reports arrivals and completed work, and asks for the level when it sends a
reply. The module reads no clock.
"""

import attrs

__all__ = [
    "FORWARDED_FRACTION",
    "MIN_SHARE",
    "Level",
    "ServerOverload",
    "fractions_by_rank",
]

WINDOW_S = 0.25
"""Interval at which the demand is summed up and the level is derived."""

SAMPLE_WEIGHT = 0.5
"""Weight of the newest window in the demand. The demand then follows the end of an
overload within two to three windows, so that the level ends within a second."""

RECEIVED_WEIGHT = 0.3
"""Weight of the newest window in what is received, which covers about a second."""

SET_RATIO = 1.15
"""Demand relative to the slots from which on a level is set. What a server of seven
slots receives in a second varies by a fifth, and a level that is set for such a clump
refuses requests that could be answered in time."""

WORK_WEIGHT = 0.05
"""Weight of the newest request in the mean work of its kind."""

MAX_WORK_RATIO = 8.0
"""A request counts as at most this many times the mean work of its kind. One request
that hangs for a minute would otherwise look like an overload by all others."""

TARGET_WAIT_SHARE = 0.65
"""The level keeps the wait for a slot at this share of the time that requests may wait
without missing their targets. With a shorter queue, slots would run idle between
clumps; with a longer one, requests are answered late."""

MIN_WANTED_S = 0.05
"""Lower bound on the wanted wait of a rank whose requests have no time to wait."""

MISSED_SHARE = 0.85
"""Share of the demand that is refused or will be late, above which requests are taken
to wait too long however few of them are in the queue."""

LONGEST_DECAY = 0.01
"""Decay of the longest time that requests may wait, with each request."""

ADJUSTMENT = 0.4
MAX_ADJUSTMENT = 0.2
"""A wait that is off by its wanted length changes what is admitted by the first
fraction of the slots, and any wait by at most the second."""

MIN_SHARE = 0.4
"""Each rank keeps this share of the fraction that all requests together get.

The target is that each kind of request is served at least a quarter as often as all.
The share is one of slot time, and urgent requests are often the shorter ones, so that
more of them are served in the same time.
"""

FORWARDED_FRACTION = 0.05
"""Fraction of the requests above a level that are forwarded all the same. Without
them, the demand of a rank that isn't admitted couldn't be measured."""

APPLIED_SHARE = 0.7
"""Share of the requests to which a level is taken to be applied. Some ingress nodes
haven't heard of it in its time, and some may be of an earlier build."""

MAX_DEMAND_RATIO = 3.0
"""Bound on the demand relative to the capacity. If nodes of an earlier build ignore
the level, the demand that is derived from it would otherwise grow without bound."""

NEGLIGIBLE_FRACTION = 0.01
"""Demand of a rank relative to the slots below which the rank counts as absent."""

URGENT_PRESSURE = 0.1
"""The wait below which a level is relaxed that refuses more than the least urgent
rank, relative to the wanted wait."""

RELAX_FACTOR = 2.0
"""Factor by which a level is relaxed in each window with spare capacity."""

RESET_AFTER_S = 1.0
"""Without any event for this long, the demand starts again from zero."""


@attrs.frozen
class Level:
    """The least urgent admitted rank, and the admitted fraction of its requests.

    >>> level = Level(rank=1, fraction=0.4)
    >>> [level.admitted(rank) for rank in (0, 1, 2)]
    [1.0, 0.4, 0.0]
    """

    rank: int
    fraction: float

    def admitted(self, rank):
        """Return the fraction of a rank's requests that the level admits."""
        if rank == self.rank:
            return self.fraction
        return 1.0 if rank < self.rank else 0.0


def fractions_by_rank(demand, capacity):
    """Return the fraction of each rank's demand that fits, the most urgent first.

    Each rank keeps at least `MIN_SHARE` of the fraction that all demand together gets,
    at the expense of more urgent ranks.

    >>> fractions_by_rank({0: 2.0, 1: 2.0, 2: 4.0}, capacity=6.0)
    {0: 1.0, 1: 1.0, 2: 0.5}
    >>> fractions_by_rank({1: 8.0, 2: 8.0}, capacity=8.0)
    {1: 0.8, 2: 0.2}
    """
    total = sum(demand.values())
    if total <= capacity:
        return dict.fromkeys(sorted(demand), 1.0)
    minimum = MIN_SHARE * max(capacity, 0.0) / total
    left = capacity - minimum * total
    fractions = {}
    for rank in sorted(demand):
        beyond = demand[rank] * (1 - minimum)
        if beyond <= left:
            fractions[rank] = 1.0
        else:
            fractions[rank] = minimum + max(left, 0.0) / demand[rank]
        left -= beyond
    return fractions


@attrs.define
class ServerOverload:
    """Measure the demand for one server, and derive its admission level.

    Demand is counted in slot-seconds per second: arrivals times the mean work of their
    kind. The demand that ingress nodes refused doesn't arrive; it is estimated from
    what arrives and the fraction that is admitted. ``level`` is ``None`` while the
    server isn't overloaded. ``minimum_shares`` are the fractions of the slot time that
    are kept for each rank, empty unless the demand exceeds the slots.

    >>> overload = ServerOverload(slots=1)
    >>> overload.record_work("lookup", 0.1)
    >>> for number in range(40):
    ...     overload.record_arrival(2, "lookup", number / 20, target_left_s=0.5)
    ...     level = overload.update([(2, "lookup")] * 9, number / 20)
    >>> level.rank, level.fraction < 0.5
    (2, True)
    """

    slots: int
    level: Level | None = None
    minimum_shares: dict = attrs.Factory(dict)
    _work_s: dict = attrs.Factory(dict)
    _arrived: dict = attrs.Factory(dict)
    _arrived_nested: float = 0.0
    _missed: float = 0.0
    _received: dict = attrs.Factory(dict)
    _demand: dict = attrs.Factory(dict)
    _nested_demand: float = 0.0
    _in_force: dict = attrs.Factory(dict)
    _allowed_wait_s: dict = attrs.Factory(dict)
    _began_s: float | None = None

    def record_work(self, kind, elapsed_s):
        """Record how long a request of a kind occupied a slot."""
        mean_s = self._work_s.get(kind)
        if mean_s is None:
            self._work_s[kind] = elapsed_s
            return
        bounded_s = min(elapsed_s, MAX_WORK_RATIO * mean_s)
        self._work_s[kind] = mean_s + WORK_WEIGHT * (bounded_s - mean_s)

    def record_arrival(
        self, rank, kind, now_s, nested=False, target_left_s=None, missed=False
    ):
        """Record a request that arrived here, also if it is refused.

        ``target_left_s`` is the time left until its latency target, ``None`` without
        one. A request whose target has passed is no demand: it gets only slots that
        the others leave. ``missed`` is whether the request was refused, or can't be
        answered by its target.
        """
        if self._began_s is None:
            self._began_s = now_s
        if target_left_s is not None and target_left_s <= 0 and not nested:
            return
        work_s = self._work_s.get(kind, 0.0)
        if nested:
            self._arrived_nested += work_s
            return
        self._arrived[rank] = self._arrived.get(rank, 0.0) + work_s
        if missed:
            self._missed += work_s
        if target_left_s is not None:
            # Returns have less time left than it takes to say what their rank may wait.
            known_s = self._allowed_wait_s.get(rank, 0.0) * (1 - LONGEST_DECAY)
            allowed_s = max(target_left_s - work_s, 0.0)
            self._allowed_wait_s[rank] = max(known_s, allowed_s)

    def update(self, waiting, now_s):
        """Return the current `Level` or ``None``, derived again in each window.

        ``waiting`` yields the rank and kind of each request that waits for a slot and
        isn't late. Late ones take what the others leave.
        """
        if self._began_s is None or now_s - self._began_s < WINDOW_S:
            return self.level
        span_s = now_s - self._began_s
        if span_s >= RESET_AFTER_S:
            self._reset(now_s)
            return None
        missed_pressure = self._missed_pressure()
        self._end_window(span_s, now_s)
        self.level = self._next_level(max(self._pressure(waiting), missed_pressure))
        if self.level is None:
            # A level is set again only for demand that arrives, not for an estimate.
            self._demand.update(self._received)
        self.minimum_shares = self._minimum_shares()
        return self.level

    def _minimum_shares(self):
        """Return the share of the slot time that `fractions_by_rank` admits at least.

        It holds without a level too: more urgent requests may fill the slots without
        waiting for long.
        """
        total = sum(self._demand.values())
        if total + self._nested_demand <= self.slots:
            return {}
        left = max(1 - self._nested_demand / self.slots, 0.0)
        return {
            rank: MIN_SHARE * left * demand / total
            for rank, demand in self._demand.items()
        }

    def _pressure(self, waiting):
        """Return the longest wait of a rank, relative to the wanted wait of the rank.

        A request waits for all that are as urgent or more. It is 0 if none waits.
        """
        work_s = {}
        for rank, kind in waiting:
            work_s[rank] = work_s.get(rank, 0.0) + self._work_s.get(kind, 0.0)
        wait_s = pressure = 0.0
        for rank in sorted(work_s):
            wait_s += work_s[rank] / self.slots
            wanted_s = TARGET_WAIT_SHARE * self._allowed_wait_s.get(rank, 0.0)
            pressure = max(pressure, wait_s / max(wanted_s, MIN_WANTED_S))
        return pressure

    def _missed_pressure(self):
        """Return the pressure by requests that were refused or will be late.

        If targets leave less time than one request needs, hardly any request waits
        that isn't late, however many wait.
        """
        share = self._missed / max(sum(self._arrived.values()), self._missed, 1e-9)
        return 1 + share if share > MISSED_SHARE else 0.0

    def _reset(self, now_s):
        self.level = None
        self.minimum_shares = {}
        self._arrived.clear()
        self._arrived_nested = self._missed = 0.0
        self._received.clear()
        self._demand.clear()
        self._nested_demand = 0.0
        self._in_force.clear()
        self._began_s = now_s

    def _end_window(self, span_s, now_s):
        """Update what is received, and the demand that is estimated from it."""
        for rank in self._demand.keys() | self._arrived.keys():
            received = self._arrived.get(rank, 0.0) / span_s
            known = self._received.get(rank, 0.0)
            self._received[rank] = _moved(known, received, RECEIVED_WEIGHT)
            known = self._demand.get(rank, 0.0)
            demand = _moved(known, received / self._admitted(rank), SAMPLE_WEIGHT)
            self._demand[rank] = min(demand, MAX_DEMAND_RATIO * self.slots)
        self._forget_absent_ranks()
        received = self._arrived_nested / span_s
        self._nested_demand = _moved(self._nested_demand, received, RECEIVED_WEIGHT)
        self._arrived.clear()
        self._arrived_nested = self._missed = 0.0
        self._began_s = now_s

    def _forget_absent_ranks(self):
        """Forget ranks without demand; a level isn't kept strict for their sake."""
        least = NEGLIGIBLE_FRACTION * self.slots
        for rank in [rank for rank, demand in self._demand.items() if demand < least]:
            for values in (self._demand, self._received, self._in_force):
                values.pop(rank, None)

    def _admitted(self, rank):
        """Return which fraction of a rank's requests the ingress nodes let through.

        They learn a stricter level from replies, so that it comes into force gradually.
        A relaxed one counts at once: an overload that has ended would otherwise seem to
        last as long as refused callers return.
        """
        target = 1.0
        if self.level is not None:
            fraction = max(self.level.admitted(rank), self._min_fraction())
            refused = (1 - fraction) * (1 - FORWARDED_FRACTION)
            target = 1 - APPLIED_SHARE * refused
        known = self._in_force.get(rank, 1.0)
        self._in_force[rank] = max(target, _moved(known, target, SAMPLE_WEIGHT))
        return self._in_force[rank]

    def _min_fraction(self):
        total = sum(self._demand.values())
        return MIN_SHARE * min(1.0, self.slots / total) if total else MIN_SHARE

    def _next_level(self, pressure):
        """Return the next level, by the wait relative to the wanted one."""
        demand = sum(self._demand.values()) + self._nested_demand
        if self.level is None:
            if demand <= SET_RATIO * self.slots or pressure <= 1:
                return None
        elif demand <= self.slots:
            return None
        elif pressure < self._relaxing_pressure():
            return self._relaxed()
        adjustment = ADJUSTMENT * (1 - pressure)
        adjustment = min(max(adjustment, -MAX_ADJUSTMENT), MAX_ADJUSTMENT)
        capacity = self.slots * (1 + adjustment) - self._nested_demand
        fractions = fractions_by_rank(self._demand, capacity)
        for rank, fraction in fractions.items():
            if fraction < 1:
                return Level(rank, fraction)
        return None

    def _relaxing_pressure(self):
        """Return below which pressure the level is relaxed.

        While an urgent rank is refused, the queue has to become short: it is ordered by
        rank, and what is admitted of less urgent ranks would never be served.
        """
        refused_rank = self.level.rank
        least_urgent = max(self._demand, default=refused_rank)
        return 1.0 if refused_rank >= least_urgent else URGENT_PRESSURE

    def _relaxed(self):
        """Return the level after a step; the next rank follows a rank that is full."""
        fraction = self.level.fraction * RELAX_FACTOR
        if fraction < 1:
            return Level(self.level.rank, fraction)
        further = [rank for rank in self._demand if rank > self.level.rank]
        return Level(min(further), MIN_SHARE) if further else None


def _moved(known, sample, weight):
    return known + weight * (sample - known)
