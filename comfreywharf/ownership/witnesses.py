"""The choice of the witnesses for a node's lease."""

from collections import Counter

import xxhash

__all__ = [
    "MIN_WITNESSES",
    "choose_witnesses",
    "depends_on_one_domain",
    "group_size",
]

MIN_WITNESSES = 3
"""The fewest witnesses of a lease: a majority of them survives any single loss."""


def group_size(wanted, others):
    """Return how many witnesses a node has that can choose among ``others``.

    The number is odd, since a group of four tolerates no more losses than one of three.

    >>> group_size(5, others=11), group_size(5, others=4), group_size(5, others=2)
    (5, 3, 3)
    """
    size = wanted
    while size > MIN_WITNESSES and others < size:
        size -= 2
    return size


def depends_on_one_domain(state, group):
    """Return whether the loss of one failure domain leaves no majority of a group."""
    return _has_majority_domain(
        [state.members[node_id] for node_id in group if node_id in state.members],
        len(group),
    )


def choose_witnesses(state, node_id, kept=(), avoided=(), wanted=MIN_WITNESSES):
    """Return the ids of a node's witnesses, or an empty tuple if there are too few.

    Nodes in ``kept`` are preferred, nodes in ``avoided`` are excluded. The result has
    ``wanted`` witnesses if there are enough members, see `group_size`.

    No failure domain has a majority of the witnesses if the members allow it, so that
    the loss of any one domain leaves a majority. For that the group may be smaller
    than ``wanted``, and may include the node itself. Otherwise the node is included
    only if there are fewer than three others. Rendezvous hashing spreads the work
    evenly over the members.
    """
    out = {node_id, *avoided}
    others = [m for m in state.members.values() if m.node_id not in out]
    others.sort(key=lambda m: (m.node_id not in kept, _rank(node_id, m.node_id)))
    size = group_size(wanted, len(others))
    node = state.members.get(node_id)
    if node is not None and len(others) < size:
        others.append(node)
    if len(others) < size:
        return ()
    pools = [others]
    if node is not None and node not in others and node_id not in avoided:
        pools.append([*others, node])
    group = next(_independent_groups(pools, size), _spread_over_domains(others, size))
    return tuple(member.node_id for member in group)


def _independent_groups(pools, size):
    """Yield groups that survive the loss of any one domain, the preferred one first."""
    for pool in pools:
        for smaller in range(size, MIN_WITNESSES - 1, -2):
            group = _spread_over_domains(pool, smaller)
            if not _has_majority_domain(group, smaller):
                yield group


def _spread_over_domains(members, size):
    """Return ``size`` members, evenly spread over domains, earlier ones preferred."""
    counts = Counter()
    by_turn = []
    for place, member in enumerate(members):
        by_turn.append((counts[member.failure_domain], place))
        counts[member.failure_domain] += 1
    by_turn.sort()
    return [members[place] for _, place in by_turn[:size]]


def _has_majority_domain(members, size):
    counts = Counter(member.failure_domain for member in members)
    return any(2 * count > size for count in counts.values())


def _rank(node_id, other_id):
    return xxhash.xxh3_64_intdigest(f"{node_id}\n{other_id}".encode())
