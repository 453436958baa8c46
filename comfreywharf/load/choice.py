"""Strategies that choose a backend server for a service not divided by key."""

from abc import ABC, abstractmethod

__all__ = [
    "DEFAULT_CHOOSER",
    "Chooser",
    "LeastInFlight",
    "NearFirst",
    "RoundRobin",
    "TwoChoices",
    "warm_or_cold",
]

NEAR_COST_RATIO = 3.0
"""Ratio of a near server's cost to a far one's up to which the near one is chosen. A
node has about one request in flight at each server, so that costs differ by a factor
of two or three by chance."""

MAX_NEAR_FAILURE_FRACTION = 0.05
"""Fraction refused or failed from which on a near server isn't preferred."""


def warm_or_cold(members, cold_per_s, now_s, rng):
    """Return the warm ones of some members or, at times, the cold ones.

    A cold server bears ``cold_per_s`` requests per second. The cold ones are drawn as
    often as their part of what all members bear together, so that they get what they
    bear whatever the number of senders, and no more has to be refused.
    """
    cold = [member for member in members if member.is_cold(now_s)]
    if not cold or len(cold) == len(members):
        return members
    warm = [member for member in members if not member.is_cold(now_s)]
    cold_capacity_per_s = cold_per_s * len(cold)
    warm_capacity_per_s = sum(member.capacity_per_s for member in warm)
    cold_part = cold_capacity_per_s / (cold_capacity_per_s + warm_capacity_per_s)
    return cold if rng.random() < cold_part else warm


class Chooser(ABC):
    """Choose among backend servers, from this node's own measurements."""

    @abstractmethod
    def choose(self, members, rng):
        """Return one of ``members``, a non-empty list of `MemberLoad`.

        ``rng`` is the `random.Random` to draw from.
        """


class RoundRobin(Chooser):
    """Choose each server in turn, regardless of measurements."""

    def __init__(self):
        self._turn = 0

    def choose(self, members, rng):
        """Return the next member."""
        self._turn += 1
        return members[self._turn % len(members)]


class LeastInFlight(Chooser):
    """Choose the server with the fewest requests in flight relative to its weight."""

    def choose(self, members, rng):
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

    def choose(self, members, rng):
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

    def choose(self, members, rng):
        """Return a near member, or a far one if it is much better."""
        near = [m for m in members if m.near and _is_healthy(m)]
        far = [m for m in members if not m.near]
        if not near or not far:
            return super().choose(members, rng)
        first = super().choose(near, rng)
        second = super().choose(far, rng)
        return first if _cost(first) <= NEAR_COST_RATIO * _cost(second) else second


def _is_healthy(member):
    return member.refused_fraction + member.failure_fraction < MAX_NEAR_FAILURE_FRACTION


def _cost(member):
    return member.mean_latency_s * (member.in_flight + 1) / member.weight


DEFAULT_CHOOSER = TwoChoices
"""Default strategy; docs/design/load.md compares the alternatives."""
