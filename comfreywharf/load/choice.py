"""Strategies that choose a backend server for a service not divided by key."""

from abc import ABC, abstractmethod

import attrs

from comfreywharf.load.serverload import estimated_answer_s

__all__ = [
    "DEFAULT_CHOOSER",
    "ByReportedLoad",
    "ChoiceTerms",
    "Chooser",
    "LeastInFlight",
    "NearFirst",
    "RoundRobin",
    "TwoChoices",
    "within_bounds",
]

NEAR_COST_RATIO = 3.0
"""Ratio of a near server's cost to a far one's up to which the near one is chosen. A
node has about one request in flight at each server, so that costs differ by a factor
of two or three by chance."""

MAX_NEAR_FAILURE_FRACTION = 0.05
"""Fraction refused or failed from which on a near server isn't preferred."""

NEAR_WORK_FRACTION = 0.25
"""By how much of the duration of work a near server may answer later than a far one and
is still chosen."""


NEAR_TARGET_SHARE = 0.5
"""The share of its latency target within which a request's answer is expected of a near
server. The estimate is a mean, and some requests take several times as long."""


@attrs.frozen(kw_only=True)
class ChoiceTerms:
    """What a request needs of the server that is chosen for it.

    An answer is wanted within ``target_s``, ``None`` if there is no target, and its
    caller has left after ``remaining_s``. ``long_body`` tells whether its body is too
    long to be sent with it.
    """

    now_s: float
    target_s: float | None = None
    remaining_s: float = float("inf")
    long_body: bool = False

    @property
    def near_limit_s(self):
        """Return within which time the answer of a near server is early enough.

        Sending a long body to another failure domain costs more than an answer that is
        late anyway.
        """
        if self.target_s is not None and self.target_s > 0:
            return NEAR_TARGET_SHARE * self.target_s
        return self.remaining_s if self.long_body else 0.0


def within_bounds(members, cold_per_s, now_s, rng):
    """Return those of some members that may get the next request.

    A cold server bears ``cold_per_s`` requests per second, a limited one what it names.
    These are drawn as often as their part of what all members bear together, so that
    they get what they bear whatever the number of senders, and no more has to be
    refused. ``cold_per_s`` is ``None`` if cold servers aren't bounded.
    """
    bounds = [member.bound_per_s(cold_per_s, now_s) for member in members]
    bounded = [
        (member, bound_per_s)
        for member, bound_per_s in zip(members, bounds, strict=True)
        if bound_per_s is not None
    ]
    if not bounded:
        return members
    free = [
        m for m, bound_per_s in zip(members, bounds, strict=True) if bound_per_s is None
    ]
    bounded_per_s = sum(bound_per_s for _, bound_per_s in bounded)
    if free:
        free_per_s = sum(member.capacity_per_s for member in free)
        if rng.random() >= bounded_per_s / (bounded_per_s + free_per_s):
            return free
    if not bounded_per_s or not any(member.is_limited(now_s) for member, _ in bounded):
        return [member for member, _ in bounded]
    candidates, weights = zip(*bounded, strict=True)
    return rng.choices(candidates, weights)


class Chooser(ABC):
    """Choose among backend servers, from what this node knows of each."""

    @abstractmethod
    def choose(self, members, rng, terms=None):
        """Return one of ``members``, a non-empty list of `MemberLoad`.

        ``rng`` is the `random.Random` to draw from. ``terms`` are the `ChoiceTerms` of
        the request; they may be ``None`` if they aren't known.
        """


class RoundRobin(Chooser):
    """Choose each server in turn, regardless of measurements."""

    def __init__(self):
        self._turn = 0

    def choose(self, members, rng, terms=None):
        """Return the next member."""
        self._turn += 1
        return members[self._turn % len(members)]


class LeastInFlight(Chooser):
    """Choose the server with the fewest requests in flight relative to its weight."""

    def choose(self, members, rng, terms=None):
        """Return the least loaded member; ties are broken at random.

        If the first of several equal members were chosen, all ingress nodes would
        send to the same server whenever the load is light.
        """
        return min(members, key=lambda m: ((m.in_flight + 1) / m.weight, rng.random()))


class TwoChoices(Chooser):
    """Choose the better of two random servers by latency times load.

    Two random choices (Mitzenmacher, 2001) keep many ingress nodes from sending
    to the same server because all of them have just measured it as idle. The
    latency distinguishes a slow server from a fast one before requests queue there.
    """

    def choose(self, members, rng, terms=None):
        """Return the better of two random members."""
        if len(members) == 1:
            return members[0]
        first, second = rng.sample(members, 2)
        return first if _cost(first) <= _cost(second) else second


class NearFirst(TwoChoices):
    """Choose a server in this node's failure domain unless another is much better.

    Traffic between failure domains costs money and takes longer. A near server that
    refuses or fails isn't preferred, since its requests would be sent twice.
    """

    def choose(self, members, rng, terms=None):
        """Return a near member, or a far one if it is much better."""
        near = [m for m in members if m.near and _is_healthy(m)]
        far = [m for m in members if not m.near]
        if not near or not far:
            return super().choose(members, rng)
        first = super().choose(near, rng)
        second = super().choose(far, rng)
        return first if _cost(first) <= NEAR_COST_RATIO * _cost(second) else second


class ByReportedLoad(NearFirst):
    """Choose the server that answers first by the load that its node reports.

    The load of a server whose latest reply is old, or comes from a node that reports
    none, isn't known. Where that is so for a candidate, the choice is by measured
    latency, as that of `NearFirst` is.
    """

    def choose(self, members, rng, terms=None):
        """Return a near member that answers in time, or the one that answers first."""
        if terms is None:
            return super().choose(members, rng)
        near = [m for m in members if m.near and _is_healthy(m)]
        far = [m for m in members if not m.near]
        if not near or not far:
            return _best_of_two(members, rng, terms.now_s)
        first = _best_of_two(near, rng, terms.now_s)
        loaded = first.has_load(terms.now_s)
        if loaded and _estimate_s(first, terms.now_s) <= terms.near_limit_s:
            return first
        second = _best_of_two(far, rng, terms.now_s)
        if not loaded or not second.has_load(terms.now_s):
            is_near = _cost(first) <= NEAR_COST_RATIO * _cost(second)
        else:
            later_s = _estimate_s(first, terms.now_s) - _estimate_s(second, terms.now_s)
            is_near = later_s <= NEAR_WORK_FRACTION * second.load.work_s
        return first if is_near else second


def _best_of_two(members, rng, now_s):
    """Return the better of two random members; the first drawn one of equal ones."""
    if len(members) == 1:
        return members[0]
    first, second = rng.sample(members, 2)
    if first.has_load(now_s) and second.has_load(now_s):
        return min(first, second, key=lambda member: _estimate_s(member, now_s))
    return first if _cost(first) <= _cost(second) else second


def _estimate_s(member, now_s):
    return estimated_answer_s(
        member.load, now_s - member.load_received_s, member.sent_since_load
    )


def _is_healthy(member):
    return member.refused_fraction + member.failure_fraction < MAX_NEAR_FAILURE_FRACTION


def _cost(member):
    return member.mean_latency_s * (member.in_flight + 1) / member.weight


DEFAULT_CHOOSER = TwoChoices
"""Default strategy; docs/design/load.md compares the alternatives."""
