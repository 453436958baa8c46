"""Moves for balance where slices weigh work and servers have a capacity."""

from enum import StrEnum
from heapq import nlargest

import attrs

from comfreywharf.placement.budget import ChurnBudget
from comfreywharf.placement.hotranges import divided_starts, is_hot
from comfreywharf.placement.rebalance import RebalancePolicy
from comfreywharf.placement.resize import is_stable, slice_limit
from comfreywharf.placement.view import WorkView

__all__ = ["MoveReason", "WorkRebalance", "work_policy"]

PATIENCE_S = 2.0
"""Time for which a server must need more than it bears; measured loads vary."""

IMPATIENT_OVERLOAD = 1.5
"""Overload from which on a server is relieved at once; no variation reaches it."""

DWELL_S = 3.0
"""Time for which a moved slice stays: its new owner's first measurement takes two
report intervals."""

HOT_DWELL_S = 2.0
"""The same for a part of a hot range, which is measured within a report interval. Its
new owner isn't relieved of other slices meanwhile: if the part is heavier than it was
expected to be, it is divided and moved on, since its keys are fewer."""

COOL_S = 10.0
"""Time for which a slice has to be cool before it may return to a former owner."""

COOL_SHARE = 0.5
"""Share of the work at its move up to which a slice counts as cool."""

FILL_S = 10.0
"""Time after it has joined for which a server is given work, beyond its warm-up."""

FILLED_LEVEL = 0.9
"""Load of a joined server, relative to the mean, up to which it is given work."""

REUNITE_FROM_SHARE = 0.5
"""Share of the slices that a service may have from which on narrow cold ones are moved
beside their neighbours, so that they can be merged."""

NARROW_SHARE = 0.125
"""Keys of a narrow slice, as a share of those of a declared one."""

MAX_REUNITED_PER_ROUND = 8

MAX_MOVED_SHARE = 0.15
MIN_MOVE_LIMIT = 4
"""Limits on the slices that move in a round, as a share of all slices."""

TARGETS_TRIED = 4
"""Servers with the most room that are tried if the least loaded one doesn't do."""

MIN_PART_OF_EXCESS = 0.1
"""Work of a slice, as a share of what is to be moved, from which on its move counts as
worth a record and a handover."""


class MoveReason(StrEnum):
    """Why a slice is moved for balance."""

    OVER_CAPACITY = "over_capacity"
    JOINED_SERVER = "joined_server"
    HOT_RANGE = "hot_range"
    COOLED_RANGE = "cooled_range"


@attrs.define
class _Heat:
    """A slice that was moved because of a hot range, and the owners that gave it up.

    ``end`` is the end of the slice at its move; the parts of a slice that was divided
    since are as hot as the slice was. ``density`` is its work per key hash.
    """

    end: int
    density: float
    former_owners: frozenset[str]
    cool_since_s: float | None = None

    def update(self, density, now_s):
        """Note the work per key hash; return whether it was low for `COOL_S`."""
        if density > COOL_SHARE * self.density:
            self.cool_since_s = None
        elif self.cool_since_s is None:
            self.cool_since_s = now_s
        return self.cool_since_s is not None and now_s - self.cool_since_s > COOL_S


@attrs.define
class WorkRebalance(RebalancePolicy):
    """Move slices only from servers that need more than they bear, or to joined ones.

    Of the slices of an overloaded server, those with the most work per key move first:
    they relieve it with the fewest keys. A hot slice that is still to be divided isn't
    moved, and neither is anything beside it. While no node measures work, the
    ``fallback`` decides.
    """

    fallback: RebalancePolicy
    budget: ChurnBudget
    patience_s: float = PATIENCE_S
    dwell_s: float = DWELL_S
    _over_since_s: dict[str, float] = attrs.Factory(dict)
    _moved_s: dict[int, float] = attrs.Factory(dict)
    _heat: dict[int, _Heat] = attrs.Factory(dict)
    _joined_s: dict[str, float] = attrs.Factory(dict)

    def plan(self, view, now_s):
        """Plan the moves that are due."""
        if not isinstance(view, WorkView):
            self.fallback.plan(view, now_s)
            return
        self.budget.refill(now_s)
        self._update(view, now_s)
        if len(view.targets) < 2:
            return
        moves_left = max(MIN_MOVE_LIMIT, int(MAX_MOVED_SHARE * len(view.slices)))
        movable = self._movable(view)
        moves_left = self._relieve(view, movable, moves_left, now_s)
        self._fill(view, movable, moves_left, now_s)
        self._reunite(view, now_s)

    def _update(self, view, now_s):
        """Note which servers are over or joined, and which slices have cooled down."""
        self._moved_s = {
            start: moved_s
            for start, moved_s in self._moved_s.items()
            if now_s - moved_s <= (HOT_DWELL_S if start in self._heat else self.dwell_s)
        }
        self._update_heat(view, now_s)
        self._over_since_s = {
            node_id: self._over_since_s.get(node_id, now_s)
            for node_id in view.targets
            if view.is_over(node_id)
        }
        self._joined_s = {
            node_id: now_s
            if view.loads[node_id] <= 0
            else self._joined_s.get(node_id, float("-inf"))
            for node_id in view.targets
        }

    def _update_heat(self, view, now_s):
        heat = None
        kept = {}
        for slice_ in view.slices:
            heat = self._heat.get(slice_.start, heat)
            if heat is None or slice_.end > heat.end:
                heat = None
                continue
            own = self._heat.get(slice_.start) or attrs.evolve(heat)
            if not own.update(_density(view, slice_), now_s):
                kept[slice_.start] = own
        self._heat = kept

    def _movable(self, view):
        movable = {node_id: [] for node_id in view.targets}
        for slice_ in view.slices:
            if (
                slice_.owner in movable
                and not slice_.previous
                and slice_.start not in self._moved_s
                and slice_.start not in view.planned_owners
            ):
                movable[slice_.owner].append(slice_)
        return movable

    def _relieve(self, view, movable, moves_left, now_s):
        """Move work away from servers that are over; return the moves that are left."""
        awaited = self._awaited_owners(view)
        sources = [
            node_id
            for node_id in self._over_since_s
            if self._is_due(view, node_id, now_s) and node_id not in awaited
        ]
        for source in sorted(sources, key=view.overload, reverse=True):
            while moves_left > 0 and view.excess(source) > 0:
                found = self._best_relief(view, source, movable[source])
                if found is None:
                    break
                slice_, target = found
                hot = is_hot(view, slice_)
                reason = MoveReason.HOT_RANGE if hot else MoveReason.OVER_CAPACITY
                if not self._move(view, slice_, target, reason, now_s):
                    return 0
                movable[source].remove(slice_)
                moves_left -= 1
        return moves_left

    def _awaited_owners(self, view):
        """Return the owners of hot slices that are being divided or measured."""
        dividing = divided_starts(view)
        return {
            slice_.owner
            for slice_ in view.slices
            if slice_.start in dividing
            or (slice_.start in self._moved_s and slice_.start in self._heat)
        }

    def _best_relief(self, view, source, slices):
        """Return the best ``(slice, target)`` to relieve a server, or ``None``."""
        # The least loaded one may be too small, or one that gave up the slice.
        roomy = nlargest(TARGETS_TRIED, view.targets, key=view.room)
        for target in [view.least_loaded(), *roomy]:
            room = view.room(target)
            slice_ = self._best(view, slices, target, view.excess(source), room)
            if slice_ is not None and target != source:
                return slice_, target
        return None

    def _is_due(self, view, node_id, now_s):
        if view.overload(node_id) >= IMPATIENT_OVERLOAD:
            return True
        return now_s - self._over_since_s[node_id] >= self.patience_s

    def _fill(self, view, movable, moves_left, now_s):
        """Move work to servers that have joined, from those with the highest load."""
        for target in view.targets:
            if now_s - self._joined_s[target] > FILL_S:
                continue
            while moves_left > 0:
                level = FILLED_LEVEL * view.mean_relative_load
                wanted = level * view.targets[target] - view.loads[target]
                source = max(view.targets, key=view.relative_load)
                above_mean = (
                    view.loads[source] - view.mean_relative_load * view.targets[source]
                )
                amount = min(wanted, above_mean)
                slice_ = self._best(view, movable[source], target, amount, wanted)
                if slice_ is None:
                    break
                reason = MoveReason.JOINED_SERVER
                if not self._move(view, slice_, target, reason, now_s):
                    return
                movable[source].remove(slice_)
                moves_left -= 1

    def _reunite(self, view, now_s):
        """Move narrow cold slices to the owners of their neighbours, to be merged.

        The parts of a hot range lie on many servers. Without this, a service reaches
        its limit on slices after some hot ranges, and the next one can't be divided.
        """
        limit = slice_limit(view.config, len(view.members))
        if len(view.slices) <= REUNITE_FROM_SHARE * limit:
            return
        keys = view.slices[-1].end - view.slices[0].start
        narrow = NARROW_SHARE * keys / view.config.slices
        moves_left = MAX_REUNITED_PER_ROUND
        neighbours = zip(view.slices, view.slices[1:], strict=False)
        for left, right in neighbours:
            slice_, wider = sorted((left, right), key=lambda s: s.end - s.start)
            if moves_left <= 0:
                return
            if slice_.end - slice_.start > narrow or slice_.owner == wider.owner:
                continue
            if self._can_reunite(view, slice_, wider):
                if not self._move(
                    view, slice_, wider.owner, MoveReason.COOLED_RANGE, now_s
                ):
                    return
                view.set_standby(slice_, wider.standby)
                moves_left -= 1

    def _can_reunite(self, view, slice_, wider):
        if not (is_stable(view, slice_) and is_stable(view, wider)):
            return False
        starts = (slice_.start, wider.start)
        if any(start in self._moved_s or start in self._heat for start in starts):
            return False
        if is_hot(view, slice_) or is_hot(view, wider):
            return False
        owner = wider.owner
        return owner in view.targets and view.weights[slice_.start] <= view.room(owner)

    def _best(self, view, slices, target, amount, room):
        """Return the slice that moves most of an amount of work for the fewest keys."""
        fitting = [
            slice_
            for slice_ in slices
            if 0 < view.weights[slice_.start] <= room
            and not self._returns(slice_, target)
        ]
        if not fitting or amount <= 0:
            return None
        worth = [
            slice_
            for slice_ in fitting
            if view.weights[slice_.start] >= MIN_PART_OF_EXCESS * amount
        ]
        return max(
            worth or fitting,
            key=lambda slice_: (
                min(view.weights[slice_.start], amount) / (slice_.end - slice_.start),
                -slice_.start,
            ),
        )

    def _returns(self, slice_, target):
        heat = self._heat.get(slice_.start)
        return heat is not None and target in heat.former_owners

    def _move(self, view, slice_, target, reason, now_s):
        """Plan a move within the budget; return whether it was planned."""
        work = view.weights[slice_.start]
        if not self.budget.spend(work / view.total_load):
            return False
        if reason is MoveReason.HOT_RANGE:
            known = self._heat.get(slice_.start)
            former_owners = known.former_owners if known else frozenset()
            self._heat[slice_.start] = _Heat(
                end=slice_.end,
                density=_density(view, slice_),
                former_owners=former_owners | {slice_.owner},
            )
        view.move(slice_, target)
        view.reasons[slice_.start] = reason.value
        self._moved_s[slice_.start] = now_s
        return True


def _density(view, slice_):
    return view.weights[slice_.start] / (slice_.end - slice_.start)


def work_policy(fallback):
    """Return the `WorkRebalance` of a service; ``fallback`` is its policy otherwise.

    The patience, the dwell time and the hourly budget follow from the service's weights
    as those of the fallback do.
    """
    return WorkRebalance(
        fallback=fallback,
        budget=ChurnBudget(hourly_share=fallback.budget.hourly_share),
        patience_s=max(PATIENCE_S, fallback.patience_s),
        dwell_s=max(DWELL_S, fallback.dwell_s),
    )
