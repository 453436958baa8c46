"""The choice of the witnesses for a node's lease."""

import xxhash

__all__ = ["MIN_WITNESSES", "choose_witnesses", "group_size"]

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


def choose_witnesses(state, node_id, kept=(), avoided=(), wanted=MIN_WITNESSES):
    """Return the ids of a node's witnesses, or an empty tuple if there are too few.

    Nodes in ``kept`` are preferred, nodes in ``avoided`` are excluded. The result has
    ``wanted`` witnesses if there are enough members, see `group_size`.

    The witnesses lie in distinct failure domains if there are enough of these, so
    that the loss of one domain leaves a majority. The node itself is included only
    if there are fewer than three others. Rendezvous hashing spreads the work evenly
    over the members.
    """
    out = {node_id, *avoided}
    others = [m for m in state.members.values() if m.node_id not in out]
    others.sort(key=lambda m: (m.node_id not in kept, _rank(node_id, m.node_id)))
    size = group_size(wanted, len(others))
    if len(others) < size and node_id in state.members:
        others.append(state.members[node_id])
    chosen = []
    for member in others:
        domains = {m.failure_domain for m in chosen}
        if member.failure_domain not in domains and len(chosen) < size:
            chosen.append(member)
    for member in others:
        if member not in chosen and len(chosen) < size:
            chosen.append(member)
    if len(chosen) < size:
        return ()
    return tuple(member.node_id for member in chosen)


def _rank(node_id, other_id):
    return xxhash.xxh3_64_intdigest(f"{node_id}\n{other_id}".encode())
