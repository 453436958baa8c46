"""The tree through which the log's records reach all members.

The members are ranked by a hash of their ids, in the same way at each node and in each
build. The first member of all is the root, which reads the log; the first one of each
other failure domain is the head of its domain. The heads form a tree below the root,
and the other members of a domain form a tree below its head, so that a record is sent
to each failure domain once. Each node of a tree has up to `FANOUT` children in it.

A member receives only from members of a lower rank. For that reason no two nodes
receive only from each other, also if they have folded different members or failure
domains, and also if one of them runs a build that ranks without failure domains.
"""

import bisect
import functools

import attrs
import xxhash

__all__ = ["FANOUT", "RelayTree"]

FANOUT = 16
"""How many nodes receive from the same relay in one tree. A head is in two trees, that
of the heads and that of its domain. With 640 members in 6 domains the root sends the
records to 21 nodes, and a record passes up to three relays."""

FEWEST_RELAYS = 4
"""The number of members from which on nodes that aren't members receive from them. Each
member then has at most a fourth of the fleet to send to."""

KEPT_RANKS = 4096
"""The number of members whose rank is kept, several times the largest fleet."""


@functools.lru_cache(maxsize=KEPT_RANKS)
def _rank(node_id):
    return xxhash.xxh3_64_intdigest(node_id.encode()), node_id


@attrs.frozen(eq=False)
class RelayTree:
    """The members by rank: all of them, those of each domain, and the heads.

    ``domains`` has the failure domain of each member.

    >>> tree = RelayTree.of({"a": "teika"})
    >>> tree.relays_of("a")
    []
    """

    domains: dict
    _members: list
    _branches: dict
    _heads: list

    @classmethod
    def of(cls, domains):
        """Return the tree of the members whose failure domains are given."""
        members = sorted(domains, key=_rank)
        branches = {}
        for node_id in members:
            branches.setdefault(domains[node_id], []).append(node_id)
        heads = [branch[0] for branch in branches.values()]
        return cls(dict(domains), members, branches, heads)

    def relays_of(self, node_id):
        """Return the possible relays of a member, the preferred one first.

        A member receives from another domain only if the relays of its own domain
        aren't usable. The root has no relays.
        """
        branch = self._branch_of(node_id)
        if branch[0] == node_id:
            return _parents(self._heads, node_id)
        return [*_parents(branch, node_id), *self._head_elsewhere(node_id)]

    def relays_of_newcomer(self, node_id, domain):
        """Return the possible relays of a node before it is a member.

        Nodes choose different ones of the members of a lower rank than theirs will be.
        They use other domains as long as their own one has few members.
        """
        return _spread(self._branches.get(domain, []), node_id) or _spread(
            self._members, node_id
        )

    def level(self, node_id):
        """Return how many relays are between a member and the log."""
        branch = self._branch_of(node_id)
        head_level = _level(_index(self._heads, branch[0]))
        return head_level + _level(_index(branch, node_id))

    def _branch_of(self, node_id):
        return self._branches[self.domains[node_id]]

    def _head_elsewhere(self, node_id):
        """Return the head of one other domain if there is one of a lower rank.

        The members of a domain that lost its first relays use different heads.
        """
        lower = self._heads[: bisect.bisect(self._heads, _rank(node_id), key=_rank)]
        own_head = self._branch_of(node_id)[0]
        others = [head for head in lower if head != own_head]
        return [others[_rank(node_id)[0] % len(others)]] if others else []


def _parents(order, node_id):
    """Return the relay of a node in a tree of nodes by rank, and a substitute."""
    rank = _index(order, node_id)
    parent = (rank - 1) // FANOUT
    return [order[r] for r in (parent, parent + 1) if 0 <= r < rank]


def _spread(order, node_id):
    """Return two nodes of a lower rank, which depend on the node that asks."""
    own_rank = _rank(node_id)
    lower = bisect.bisect(order, own_rank, key=_rank)
    if len(order) < FEWEST_RELAYS or not lower:
        return []
    first = own_rank[0] % lower
    return [order[first], order[(first + 1) % lower]]


def _index(order, node_id):
    return bisect.bisect_left(order, _rank(node_id), key=_rank)


def _level(rank):
    """Return how many nodes are between a rank and the first one of its tree."""
    level = 0
    while rank > 0:
        rank = (rank - 1) // FANOUT
        level += 1
    return level
