"""The relay through which a node reads the log, so that few nodes read it directly.

The log service counts each read, and without relays each record would cost one read
by every node. The members form a tree by failure domain, see `RelayTree`: one member
reads the log, and each other member receives the records from its relay, in its own
failure domain except for one member of each domain. The order needs no messages, since
each node derives it from the members that it folded. If two nodes have folded
different members, each still receives from a relay that reports the age of its data.

A node that isn't a member yet receives from a member as well. When a whole fleet
starts, each announcement would otherwise be read by all nodes that haven't announced
themselves.
"""

import attrs

from comfreywharf.membership.relay_tree import RelayTree

__all__ = ["RelayedAge", "Relays"]

AVOIDANCE_S = 5.0
"""How long a relay that didn't answer, or had stale data, isn't queried again, in
seconds. A restart takes about as long; an earlier query would cost its timeout."""

LEVEL_AGE_S = 0.6
"""How much older data may be with each level, in seconds: one wait and a margin."""


@attrs.frozen
class RelayedAge:
    """The maximum age of the data that a relay forwards: log records and routes."""

    records_s: float
    routes_s: float


@attrs.define
class Relays:
    """Choose the member from which a node receives the log's records.

    ``failure_domain`` is the node's own. ``max_age_s`` is the maximum age of the
    records of a node that reads the log itself, ``max_routes_age_s`` that of the
    routes of any relay. ``domains`` in the methods has the failure domain of each
    member that the node has folded.

    >>> relays = Relays("a", "teika", max_age_s=1.5)
    >>> relays.choose({"a": "teika"}, now_s=0.0)
    ''
    """

    node_id: str
    failure_domain: str
    max_age_s: float
    max_routes_age_s: float = float("inf")
    _avoided_until_s: dict = attrs.Factory(dict)
    _tree: RelayTree = attrs.field(factory=lambda: RelayTree.of({}))

    def choose(self, domains, now_s):
        """Return the member to query now, or ``""`` to read the log itself."""
        for node_id, until_s in list(self._avoided_until_s.items()):
            if now_s >= until_s:
                del self._avoided_until_s[node_id]
        for node_id in self._possible_relays(domains):
            if node_id not in self._avoided_until_s:
                return node_id
        return ""

    def record_failure(self, node_id, now_s):
        """Record that a relay didn't answer, or that its data was outdated."""
        self._avoided_until_s[node_id] = now_s + AVOIDANCE_S

    def is_fresh(self, domains, relay_id, age):
        """Return whether a relay's data is as recent as expected at its level.

        ``age`` is its `RelayedAge`. A relay whose reads the log refuses keeps
        answering, and nodes that receive from it would use an outdated configuration
        without detecting it. Routes and records are read separately, so each may be
        outdated while the other is not.
        """
        tree = self._tree_of(domains)
        level = tree.level(relay_id) if relay_id in tree.domains else 0
        if age.routes_s > self.max_routes_age_s:
            return False
        return age.records_s <= self.max_age_s + level * LEVEL_AGE_S

    def _possible_relays(self, domains):
        tree = self._tree_of(domains)
        if self.node_id in tree.domains:
            return tree.relays_of(self.node_id)
        return tree.relays_of_newcomer(self.node_id, self.failure_domain)

    def _tree_of(self, domains):
        """Return the tree, which changes only when the members do.

        Each poll needs it, and sorting 640 members costs more than comparing them.
        """
        if domains != self._tree.domains:
            self._tree = RelayTree.of(domains)
        return self._tree
