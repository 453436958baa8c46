"""Decide when a node moves its lease to a better group of witnesses."""

import attrs

from comfreywharf.ownership.witnesses import (
    choose_witnesses,
    depends_on_one_domain,
    group_size,
)

__all__ = ["WitnessMoves"]

CHECK_INTERVAL_S = 0.5
"""How often a node looks for a better group."""

MOVE_S = 0.5
"""How long a node gives those ahead of it to move, before its own turn."""

FEWEST_AT_ONCE = 4
"""How many nodes at least may move at the same time."""

PARTS_OF_FLEET = 16
"""In how many turns all nodes of a large fleet move."""


@attrs.define
class WitnessMoves:
    """Find a better group for a node whose witnesses all answer, when it is its turn.

    A node that starts early knows few members, and may choose witnesses that are too
    few, or that mostly lie in one failure domain. If it kept them, the loss of that
    domain would leave its keys without an owner, although the node is sound.

    Each move writes records and is noticed by all nodes. Nodes with a poor group
    therefore move in turns, in the order of their ids, which all derive from the
    same records. A node doesn't wait for one ahead of it that can't move.
    """

    node_id: str
    terms: object
    _witnesses: tuple = ()
    _group: tuple = ()
    _due_s: float = float("inf")
    _check_s: float = float("-inf")

    def better_group(self, state, witnesses, avoided, now_s):
        """Return the group to move to now, or ``()``; ``avoided`` aren't chosen."""
        if witnesses != self._witnesses:
            self._witnesses = witnesses
            self._due_s = float("inf")
            self._check_s = float("-inf")
        if now_s >= self._check_s:
            self._check_s = now_s + CHECK_INTERVAL_S
            self._check(state, avoided, now_s)
        return self._group if now_s >= self._due_s else ()

    def _check(self, state, avoided, now_s):
        current = self._faults(state, self.node_id, self._witnesses)
        self._group = ()
        if any(current):
            group = choose_witnesses(
                state, self.node_id, self._witnesses, avoided, self.terms.witnesses
            )
            if group and self._faults(state, self.node_id, group) < current:
                self._group = group
        if not self._group:
            self._due_s = float("inf")
            return
        due_s = now_s + (1 + self._turn(state)) * MOVE_S
        self._due_s = min(self._due_s, due_s)

    def _turn(self, state):
        """Return how many turns of other nodes come before this node's."""
        ahead = sum(
            node_id < self.node_id
            and bool(member.witnesses)
            and any(self._faults(state, node_id, member.witnesses))
            for node_id, member in state.members.items()
        )
        return ahead // max(FEWEST_AT_ONCE, len(state.members) // PARTS_OF_FLEET)

    def _faults(self, state, node_id, group):
        """Return what is wrong with a group, the worst fault first.

        A node that is its own witness takes one of them with it when it is lost.
        """
        size = group_size(self.terms.witnesses, len(state.members) - 1)
        return (
            depends_on_one_domain(state, group),
            len(group) < size,
            node_id in group,
        )
