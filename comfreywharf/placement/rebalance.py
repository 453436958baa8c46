"""Optional moves that balance load: when to move, and which slices."""

from abc import ABC, abstractmethod

import attrs

from comfreywharf.placement.budget import ChurnBudget

__all__ = [
    "BoundedRebalance",
    "OverloadRebalance",
    "RebalancePolicy",
    "cheap_move_policy",
    "policy_for",
]

MIN_MOVE_LIMIT_PER_ROUND = 4
"""Lower bound on the limit on moves in one round, for services with few slices."""

MAX_MOVED_SHARE_PER_ROUND = 0.05
"""Limit on the slices that move in one round, as a share of all slices, unless it is
below `MIN_MOVE_LIMIT_PER_ROUND`."""

OVERLOADED_BUSY_FRACTION = 0.9
"""Busy fraction of a server's slots from which on its queue grows."""

MIN_UTILISATION = 0.3
"""Utilisation of a server's slots below which nothing is moved. With a dozen slots,
requests start to queue at a utilisation of 0.75. Bursts add half of the mean load, and
a growing load can reach that point within the patience of a cautious service."""

MIN_UTILISATION_CHEAP_MOVES = 0.55
"""The same where moves are cheap and an imbalance is acted on within a second."""

HOURLY_SHARE_CHEAP_MOVES = 60.0
"""Hourly churn where moves are cheap: all keys once a minute, which only runaway
moves reach."""

CHURN_DOMINANCE_RATIO = 10.0
"""Ratio of churn weight to unavailability weight from which on slices move only in
an overload."""


class RebalancePolicy(ABC):
    """Decide when and how a service's slices are moved to balance load.

    A policy object lasts for one planner's term and may keep state between rounds.
    """

    @abstractmethod
    def plan(self, view, now_s):
        """Plan moves in a `ServiceView` at ``now_s``, in seconds."""


@attrs.define
class BoundedRebalance(RebalancePolicy):
    """Move few slices, only for a lasting imbalance, within an hourly budget.

    ``trigger`` and ``target`` are relative loads (1.0 is the mean): nothing
    moves until a server has been above the trigger for ``patience_s``, and then
    just enough moves to bring each server below the target. A moved slice isn't
    moved again for ``dwell_s``, and at most ``moved_share`` of all slices move in a
    round.

    Nothing moves while no server needs ``min_utilisation`` of its slots, since loads
    vary randomly and no request queues because of the difference. Without this
    bound, all keys moved four times within a minute of low load, and requests for
    a rarely used key were refused during its move.
    """

    trigger: float
    target: float
    patience_s: float
    dwell_s: float
    budget: ChurnBudget
    moved_share: float = MAX_MOVED_SHARE_PER_ROUND
    min_utilisation: float = MIN_UTILISATION
    _above_since_s: float | None = None
    _moved_s: dict[int, float] = attrs.Factory(dict)

    def plan(self, view, now_s):
        """Plan the moves that are due."""
        self.budget.refill(now_s)
        self._end_dwells(now_s)
        if len(view.targets) < 2 or not self._is_due(view, now_s):
            return
        max_moves = max(
            MIN_MOVE_LIMIT_PER_ROUND, int(self.moved_share * len(view.slices))
        )
        self._plan_moves(view, now_s, max_moves)

    def _is_due(self, view, now_s):
        highest = max(view.relative_load(node_id) for node_id in view.targets)
        level = highest / view.mean_relative_load
        joined = any(view.loads[node_id] <= 0 for node_id in view.targets)
        noticeable = joined or view.max_utilisation() >= self.min_utilisation
        if level <= self.trigger or not noticeable:
            self._above_since_s = None
            return False
        if self._above_since_s is None:
            self._above_since_s = now_s
        # Patience filters noise in the measured load. A server without any load
        # while another one is above the trigger has just joined; that isn't noise.
        if joined:
            return True
        # The further the load is above the trigger, the less likely it is noise.
        patience_s = self.patience_s * (self.trigger - 1) / (level - 1)
        return now_s - self._above_since_s >= patience_s

    def _plan_moves(self, view, now_s, moves_left):
        slices_by_owner = self._movable(view)
        sources = sorted(slices_by_owner, key=view.relative_load, reverse=True)
        for source in sources:
            while moves_left > 0:
                best_move = self._best_move(view, source, slices_by_owner[source])
                if best_move is None:
                    break
                slice_, owner = best_move
                if not self.budget.spend(view.weights[slice_.start] / view.total_load):
                    return
                slices_by_owner[source].remove(slice_)
                view.move(slice_, owner)
                self._moved_s[slice_.start] = now_s
                moves_left -= 1

    def _movable(self, view):
        slices_by_owner = {node_id: [] for node_id in view.targets}
        for slice_ in view.slices:
            immovable = slice_.previous or slice_.start in self._moved_s
            if (
                slice_.owner in slices_by_owner
                and not immovable
                and slice_.start not in view.planned_owners
            ):
                slices_by_owner[slice_.owner].append(slice_)
        return slices_by_owner

    def _best_move(self, view, source, slices):
        """Return the ``(slice, owner)`` that best removes a server's excess load.

        Return ``None`` if there is no such move.
        """
        limit = self.target * view.mean_relative_load
        excess = view.loads[source] - limit * view.targets[source]
        if excess <= 0 or not slices:
            return None
        owner = view.least_loaded()
        headroom = limit * view.targets[owner] - view.loads[owner]
        candidates = [
            slice_ for slice_ in slices if view.weights[slice_.start] <= headroom
        ]
        if not candidates or owner == source:
            return None
        best = min(
            candidates,
            key=lambda slice_: (abs(view.weights[slice_.start] - excess), slice_.start),
        )
        return best, owner

    def _end_dwells(self, now_s):
        for start in [
            start
            for start, moved_s in self._moved_s.items()
            if now_s - moved_s > self.dwell_s
        ]:
            del self._moved_s[start]


@attrs.define
class OverloadRebalance(BoundedRebalance):
    """Move slices only while a server's slots are nearly all in use.

    For services where each move of a key is a risk that an imbalance without
    effect on callers doesn't justify.
    """

    def _is_due(self, view, now_s):
        busy = max(view.busy_fractions.get(node_id, 0.0) for node_id in view.targets)
        if busy < OVERLOADED_BUSY_FRACTION:
            self._above_since_s = None
            return False
        return super()._is_due(view, now_s)


def policy_for(service):
    """Return the `RebalancePolicy` for a service's churn and unavailability weights.

    >>> from comfreywharf.records import ServiceConfig
    >>> calm = policy_for(ServiceConfig(name="records", churn_weight=3.0))
    >>> calm.patience_s > policy_for(ServiceConfig(name="booking")).patience_s
    True
    """
    weights = service.churn_weight + service.unavailable_weight
    caution = service.churn_weight / weights if weights > 0 else 0.5
    dominated = (
        service.churn_weight >= CHURN_DOMINANCE_RATIO * service.unavailable_weight
    )
    chosen = OverloadRebalance if dominated and weights > 0 else BoundedRebalance
    return chosen(
        trigger=1.205 + 0.01 * caution,
        target=1.17 + 0.01 * caution,
        patience_s=3 + 4 * caution,
        dwell_s=20 + 40 * caution,
        budget=ChurnBudget(hourly_share=6.0 - 4.0 * caution),
    )


def cheap_move_policy(service):
    """Return the `RebalancePolicy` for services whose moves cost less than queueing.

    A slice that moves by handover is unavailable only until its running requests
    have finished, a fraction of a second. A server with a tenth too much load
    refuses that tenth for as long as the imbalance lasts.
    """
    return BoundedRebalance(
        trigger=1.12,
        target=1.05,
        patience_s=0.5,
        dwell_s=3.0,
        budget=ChurnBudget(hourly_share=HOURLY_SHARE_CHEAP_MOVES),
        moved_share=0.15,
        min_utilisation=MIN_UTILISATION_CHEAP_MOVES,
    )
