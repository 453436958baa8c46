"""The relay through which a node reads the log, so that few nodes read it directly.

The log service counts each read, and without relays each record would cost one read
by every node. The members form a tree by rank: the member of rank 0 reads the log, and
each other member receives the records from its parent, which has up to `FANOUT`
children. Three levels are enough for 640 nodes. The order needs no messages, since
each node derives it from the members that it folded. If two nodes have folded
different members, each still receives from a relay that reports the age of its data.

A node that isn't a member yet receives from a member as well. When a whole fleet
starts, each announcement would otherwise be read by all nodes that haven't announced
themselves.
"""

import bisect
import functools

import attrs
import xxhash

__all__ = ["FANOUT", "RelayedAge", "Relays"]

FANOUT = 16
"""How many nodes receive from the same relay. At 640 nodes each relay sends the log's
records to 16 others, and a record passes two relays."""

FEWEST_RELAYS = 4
"""The number of members from which on nodes that aren't members receive from them. Each
member then has at most a fourth of the fleet to send to."""

AVOIDANCE_S = 5.0
"""How long a relay that didn't answer, or had stale data, isn't queried again, in
seconds. A restart takes about as long; an earlier query would cost its timeout."""

KEPT_RANKS = 4096
"""The number of members whose rank is kept, several times the largest fleet."""

LEVEL_AGE_S = 0.6
"""How much older data may be with each level, in seconds: one wait and a margin."""


@functools.lru_cache(maxsize=KEPT_RANKS)
def _rank(node_id):
    return xxhash.xxh3_64_intdigest(node_id.encode()), node_id


@attrs.frozen
class RelayedAge:
    """The maximum age of the data that a relay forwards: log records and routes."""

    records_s: float
    routes_s: float


@attrs.define
class Relays:
    """Choose the member from which a node receives the log's records.

    ``max_age_s`` is the maximum age of the records of a node that reads the log
    itself, ``max_routes_age_s`` that of the routes of any relay.

    >>> relays = Relays("a", max_age_s=1.5)
    >>> relays.choose(["a"], now_s=0.0)
    ''
    """

    node_id: str
    max_age_s: float
    max_routes_age_s: float = float("inf")
    _avoided_until_s: dict = attrs.Factory(dict)

    def choose(self, members, now_s):
        """Return the member to query now, or ``""`` to read the log itself."""
        for node_id, until_s in list(self._avoided_until_s.items()):
            if now_s >= until_s:
                del self._avoided_until_s[node_id]
        for node_id in self._possible_relays(members):
            if node_id not in self._avoided_until_s:
                return node_id
        return ""

    def record_failure(self, node_id, now_s):
        """Record that a relay didn't answer, or that its data was outdated."""
        self._avoided_until_s[node_id] = now_s + AVOIDANCE_S

    def is_fresh(self, members, relay_id, age):
        """Return whether a relay's data is as recent as expected at its level.

        ``age`` is its `RelayedAge`. A relay whose reads the log refuses keeps
        answering, and nodes that receive from it would use an outdated configuration
        without detecting it. Routes and records are read separately, so each may be
        outdated while the other is not.
        """
        order = self._order(members)
        level = _level(order.index(relay_id)) if relay_id in order else 0
        if age.routes_s > self.max_routes_age_s:
            return False
        return age.records_s <= self.max_age_s + level * LEVEL_AGE_S

    def _possible_relays(self, members):
        """Return the possible relays of this node, the preferred one first.

        Only members of a lower rank are possible, so that no two nodes receive
        only from each other.
        """
        order = self._order(members)
        if self.node_id not in order:
            return self._relays_of_newcomer(order)
        rank = order.index(self.node_id)
        parent = (rank - 1) // FANOUT
        return [order[r] for r in (parent, parent + 1) if 0 <= r < rank]

    def _relays_of_newcomer(self, order):
        """Return the possible relays of this node before it is a member.

        Nodes choose different ones of the members of a lower rank than theirs will be.
        """
        own_rank = _rank(self.node_id)
        lower = bisect.bisect(order, own_rank, key=_rank)
        if len(order) < FEWEST_RELAYS or not lower:
            return []
        first = own_rank[0] % lower
        return [order[first], order[(first + 1) % lower]]

    @staticmethod
    def _order(members):
        return sorted(members, key=_rank)


def _level(rank):
    """Return how many relays are between a rank and the log."""
    level = 0
    while rank > 0:
        rank = (rank - 1) // FANOUT
        level += 1
    return level
