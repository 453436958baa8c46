"""The timing and the partners of a node's gossip exchanges.

A node pulls from a random peer at an interval that grows while there is nothing
new, and pushes new information to a few peers immediately. The adaptive
interval and the combination of pull and push are those of F. M. Cuenca-Acuna et
al., "PlanetP: Using Gossiping to Build Content Addressable Peer-to-Peer
Information Sharing Communities" (2003), section 2; docs/design/gossip.md has
the measurements.
"""

import math
import random

import attrs

__all__ = ["GossipInterval", "PartnerChooser", "choose_partners", "push_count"]

BASE_INTERVAL_S = 0.5
"""The interval between two exchanges while there is new information."""

MAX_INTERVAL_S = 2.0
"""The longest interval between two exchanges while there is nothing new.

A node that can't reach the log receives a configuration from the first peer that it
queries. This interval and one lost exchange stay well within the 8 s that a change
may take.
"""

INTERVAL_GROWTH = 1.5
"""The factor by which the interval grows with each exchange without anything new."""

FAR_EVERY = 4
"""One in so many exchanges is with another failure domain.

Traffic between failure domains is expensive. An exact share, instead of a random one,
bounds the time in which a node of a small domain hears from others.
"""

SPARE_PARTNERS = 2
"""Number of further peers that are tried if the first one doesn't answer."""


@attrs.define
class GossipInterval:
    """The interval between a node's own exchanges."""

    interval_s: float = BASE_INTERVAL_S

    def shorten(self):
        """Go back to the short interval."""
        self.interval_s = BASE_INTERVAL_S

    def lengthen(self):
        """Lengthen the interval, up to its maximum."""
        self.interval_s = min(self.interval_s * INTERVAL_GROWTH, MAX_INTERVAL_S)

    def wait_s(self, rng):
        """Return the time to wait, with jitter so that nodes don't synchronize."""
        return self.interval_s * rng.uniform(0.75, 1.25)


def push_count(member_count):
    """Return to how many peers new information is pushed immediately.

    Each node that receives it pushes it to as many peers. With ``k`` pushes by
    each, a fraction of about ``exp(-k)`` isn't reached and gets the information
    with its next exchange.

    >>> push_count(3), push_count(640)
    (2, 4)
    """
    return (
        max(1, min(4, math.ceil(math.log(max(member_count, 2))))) if member_count else 0
    )


def choose_partners(candidates, count, rng):
    """Return up to ``count`` distinct candidates, chosen uniformly."""
    ordered = sorted(candidates)
    return rng.sample(ordered, min(count, len(ordered)))


@attrs.define
class PartnerChooser:
    """Choose the partners of a node's exchanges, mostly in its own failure domain.

    >>> chooser = PartnerChooser(random.Random(1))
    >>> chooser.choose(near={"a"}, far=set(), count=1)
    ['a']
    """

    _rng: random.Random
    _turn: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        # Nodes that start together don't all choose a far partner in the same round.
        self._turn = self._rng.randrange(FAR_EVERY)

    def choose(self, near, far, count):
        """Return up to ``count`` distinct partners, then spares for the first one.

        ``near`` are the candidates in the own failure domain, ``far`` the others. The
        first spare is as near as the partner that it replaces: if one node of another
        domain is lost, a further one is asked. The second isn't, since a whole domain
        may be cut off.
        """
        size = count + SPARE_PARTNERS
        near_left = choose_partners(near, size, self._rng)
        far_left = choose_partners(far, size, self._rng)
        turns = [self._next_is_far() for _ in range(count)]
        turns += [turns[0], not turns[0]] if turns else []
        chosen = []
        for is_far in turns:
            preferred, other = (
                (far_left, near_left) if is_far else (near_left, far_left)
            )
            if pool := preferred or other:
                chosen.append(pool.pop())
        return chosen

    def _next_is_far(self):
        self._turn = (self._turn + 1) % FAR_EVERY
        return self._turn == 0
