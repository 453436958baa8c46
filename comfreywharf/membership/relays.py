"""Through whom a node reads the log, so that few read it themselves.

Each read of the log is a call that the log service counts, and each record would
otherwise cost one from every node. Members form a tree by rank: the one of rank 0
reads the log, each other one hears from the member above it, and `FANOUT` hear
from the same. Three levels reach 640 nodes. The order needs no message, since all
nodes derive it from the members that they folded; where two have folded different
members, each still hears from one that says how old its news is.
"""

import attrs
import xxhash

__all__ = ["FANOUT", "NewsAge", "Relays"]

FANOUT = 16
"""How many nodes hear from the same one. At 640 nodes each relays to 16 others what
the log brings, and news passes two relays."""

AVOIDED_S = 5.0
"""How long a relay that didn't answer, or had stale news, isn't asked again. It is
as long as a restart takes; asked sooner, each try costs its time-out."""

LEVEL_AGE_S = 0.6
"""How much older news may be with each level: one wait and a little."""


def _rank(node_id):
    return xxhash.xxh3_64_intdigest(node_id.encode()), node_id


@attrs.frozen
class NewsAge:
    """How old what a relay passes on may be: the log's records, and the routes."""

    records_s: float
    routes_s: float


@attrs.define
class Relays:
    """Choose the member that a node hears the log's news from.

    ``most_age_s`` is how old the records of a node that reads the log itself may be,
    ``most_routes_age_s`` how old the routes of any relay may be.

    >>> relays = Relays("a", most_age_s=1.5)
    >>> relays.choose(["a"], now_s=0.0)
    ''
    """

    node_id: str
    most_age_s: float
    most_routes_age_s: float = float("inf")
    _avoided: dict = attrs.Factory(dict)

    def choose(self, members, now_s):
        """Return the member to ask now; empty: read the log itself."""
        for node_id, until_s in list(self._avoided.items()):
            if now_s >= until_s:
                del self._avoided[node_id]
        for node_id in self._above(members):
            if node_id not in self._avoided:
                return node_id
        return ""

    def failed(self, node_id, now_s):
        """Take note that a relay didn't answer, or didn't know enough."""
        self._avoided[node_id] = now_s + AVOIDED_S

    def is_fresh(self, members, relay_id, age):
        """Return whether a relay's news is as new as its level lets one expect.

        ``age`` is its `NewsAge`. A relay that the log has turned away goes on
        answering, and who hears from it would go by an old configuration without
        noticing. Routes are read apart from records, so that either may be old alone.
        """
        order = self._order(members)
        level = _level(order.index(relay_id)) if relay_id in order else 0
        if age.routes_s > self.most_routes_age_s:
            return False
        return age.records_s <= self.most_age_s + level * LEVEL_AGE_S

    def _above(self, members):
        """Return the relays of this node, the one to prefer first.

        Only members of a lower rank are asked, so that no two nodes hear from
        each other and from nobody else.
        """
        order = self._order(members)
        if self.node_id not in order:
            return []
        rank = order.index(self.node_id)
        parent = (rank - 1) // FANOUT
        return [order[r] for r in (parent, parent + 1) if 0 <= r < rank]

    @staticmethod
    def _order(members):
        return sorted(members, key=_rank)


def _level(rank):
    """Return how many relays lie between a rank and the log."""
    level = 0
    while rank > 0:
        rank = (rank - 1) // FANOUT
        level += 1
    return level
