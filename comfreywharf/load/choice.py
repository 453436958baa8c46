"""Ways to choose a backend server for a service that isn't divided by key."""

from abc import ABC, abstractmethod

__all__ = [
    "DEFAULT_CHOOSER",
    "Chooser",
    "LeastInFlight",
    "NearFirst",
    "RoundRobin",
    "TwoChoices",
]

NEAR_BONUS = 3.0
"""How many times the cost of a far server a near one may have. A node has about one
request at a time at each server, so that costs differ by two or three by chance."""

CROWDED = 0.05
"""The fraction refused or failed from which on being near counts for nothing."""


class Chooser(ABC):
    """Choose among backend servers by what this node has measured of them."""

    @abstractmethod
    def choose(self, members, chance):
        """Return one of ``members``, a non-empty list of `MemberLoad`.

        ``chance`` is a `random.Random`.
        """


class RoundRobin(Chooser):
    """Each in turn, whatever was measured."""

    def __init__(self):
        self._turn = 0

    def choose(self, members, chance):
        """Return the next one."""
        self._turn += 1
        return members[self._turn % len(members)]


class LeastInFlight(Chooser):
    """The one with the fewest requests in flight, in proportion to its weight."""

    def choose(self, members, chance):
        """Return the least loaded; chance decides between equals.

        Were the first of the equals taken, all ingress nodes would send to the
        same server whenever the load is light.
        """
        return min(
            members, key=lambda m: ((m.in_flight + 1) / m.weight, chance.random())
        )


class TwoChoices(Chooser):
    """The better of two random ones by latency times load.

    Two random choices (Mitzenmacher, 2001) keep many ingress nodes from running
    to the same server, which they all found idle a moment ago; the latency tells
    a slow server from a fast one before requests pile up in it.
    """

    def choose(self, members, chance):
        """Return the better of two."""
        if len(members) == 1:
            return members[0]
        first, second = chance.sample(members, 2)
        return first if _cost(first) <= _cost(second) else second


class NearFirst(TwoChoices):
    """A server in this node's failure domain, unless another one is much better.

    Bytes between failure domains are paid for, and take longer. A near server that
    refuses or fails is no better than any: its requests would be sent twice.
    """

    def choose(self, members, chance):
        """Return a near server, or the better of two where none is good enough."""
        near = [m for m in members if m.near and _is_well(m)]
        far = [m for m in members if not m.near]
        if not near or not far:
            return super().choose(members, chance)
        first = super().choose(near, chance)
        second = super().choose(far, chance)
        return first if _cost(first) <= NEAR_BONUS * _cost(second) else second


def _is_well(member):
    return member.refused_fraction + member.failure_fraction < CROWDED


def _cost(member):
    return member.mean_latency_s * (member.in_flight + 1) / member.weight


DEFAULT_CHOOSER = TwoChoices
"""The default; docs/design/load.md has the comparison that it rests on."""
