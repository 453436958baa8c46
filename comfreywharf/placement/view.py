"""View of one service during a planning round, with the moves planned so far."""

import math
from heapq import heapify, heappop, heappush

import attrs

from comfreywharf.placement.loads import report_timeout_s
from comfreywharf.placement.tuning import PlacementTuning
from comfreywharf.placement.work import relative_speeds, slice_work
from comfreywharf.records import SliceMove

__all__ = ["ServiceView", "WorkView", "build_view"]

COLD_SHARE = 0.2
"""Share of its capacity that a backend server gets right after its start."""

MIN_LIMIT_PER_S = 0.1
"""The least that a server's limit counts as, so that relative loads stay finite."""

BEARABLE_SHARE = 0.85
"""Share of its capacity up to which a server bears its slices' work. With three slots,
requests wait for longer than they take from here on."""

RELIEVED_SHARE = 0.7
"""Share of its capacity that a server's work is reduced to, or raised to by moves."""

BEARABLE_LEVEL = 1.15
RELIEVED_LEVEL = 1.05
"""The same relative to the mean of all servers, if that is the higher: moves don't help
a service whose servers are all full, except against an uneven load."""

HOT_WORK_KEYS_S = 3.0
"""Time after its latest report for which a key counts as hot where slices weigh work,
since a hot range lasts for seconds."""

MIN_SPEED = 0.3
MAX_SPEED = 2.0
"""Bounds on a measured relative speed; a few slow requests don't make a slow server."""

IDLE_PER_S = 1e-6
"""Mean rate up to which a service counts as idle and its slices weigh the same."""

MIN_WEIGHT_SHARE = 0.02
"""Weight added to each slice, as a share of the mean rate, so that an idle slice has
some weight: its keys may become busy."""


@attrs.define(kw_only=True)
class ServiceView:
    """Members, slices and weights of a service, updated with each planned move.

    ``targets`` holds the nodes to which slices may be assigned and their capacity
    in slots, scaled down while they are cold and, where the tuning asks for it, by
    their speed. ``lost_s`` holds how long each member that isn't live has been
    lost, in seconds. ``weights`` are requests per second by start of the slice, with
    a minimum for idle slices; ``loads`` are their sums by owner, ``total_load`` is
    the sum of all, ``mean_relative_load`` that sum per unit of the targets' capacity.
    ``hot_keys`` are requests per second by key hash. ``busy_fractions`` are the
    shares of the members' slots that are in use, ``service_s`` their mean service
    times, ``limits_per_s`` the limits that their servers name. ``planned_owners`` and
    ``planned_standbys`` are the planned changes by start of the slice, ``reasons``
    the reasons of the moves that weren't mandatory, if the policy names them.
    """

    config: object
    members: dict
    targets: dict[str, float]
    lost_s: dict[str, float]
    slices: list
    weights: dict[int, float]
    loads: dict[str, float]
    hot_keys: dict[int, float]
    busy_fractions: dict[str, float]
    service_s: dict[str, float] = attrs.Factory(dict)
    limits_per_s: dict[str, float] = attrs.Factory(dict)
    planned_owners: dict[int, str] = attrs.Factory(dict)
    planned_standbys: dict[int, str] = attrs.Factory(dict)
    reasons: dict[int, str] = attrs.Factory(dict)
    total_load: float = attrs.field(init=False)
    mean_relative_load: float = attrs.field(init=False)
    _load_heap: list = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        """Compute the total rate, the mean rate per unit of capacity and the order."""
        self.total_load = sum(self.weights.values())
        self.mean_relative_load = self.total_load / max(
            sum(self.targets.values()), 1e-9
        )
        self._load_heap = [
            (self.relative_load(node_id), node_id) for node_id in self.targets
        ]
        heapify(self._load_heap)

    def relative_load(self, node_id):
        """Return a target's load per unit of its capacity."""
        return self.loads[node_id] / self.targets[node_id]

    def max_utilisation(self):
        """Return the highest utilisation of a target, of its slots or its limit.

        It is infinite if no target's service time is known.
        """
        shares = [
            self.loads[node_id] / max(limit_per_s, MIN_LIMIT_PER_S)
            for node_id, limit_per_s in self.limits_per_s.items()
            if node_id in self.targets
        ]
        shares += [
            self.loads[node_id] * service_s / max(1, self.members[node_id].slots)
            for node_id in self.targets
            if (service_s := self.service_s.get(node_id, 0.0)) > 0
        ]
        return max(shares, default=math.inf)

    def slots_needed(self, slice_):
        """Return how many slots a slice's load needs; infinite if unknown."""
        service_s = self.service_s.get(slice_.owner, 0.0)
        return self.weights[slice_.start] * service_s if service_s > 0 else math.inf

    def least_loaded(self):
        """Return the target with the lowest relative load."""
        while self._load_heap[0][0] != self.relative_load(self._load_heap[0][1]):
            heappop(self._load_heap)
        return self._load_heap[0][1]

    def owner(self, slice_):
        """Return a slice's owner with the planned moves applied."""
        return self.planned_owners.get(slice_.start, slice_.owner)

    def standby(self, slice_):
        """Return a slice's standby with the planned changes applied."""
        return self.planned_standbys.get(slice_.start, slice_.standby)

    def move(self, slice_, owner):
        """Plan a new owner for a slice."""
        weight = self.weights[slice_.start]
        self._add_load(self.owner(slice_), -weight)
        self._add_load(owner, weight)
        self.planned_owners[slice_.start] = owner

    def _add_load(self, node_id, weight):
        if node_id in self.loads:
            self.loads[node_id] += weight
        if node_id in self.targets:
            heappush(self._load_heap, (self.relative_load(node_id), node_id))

    def set_standby(self, slice_, standby):
        """Plan a new standby for a slice."""
        if standby != self.standby(slice_):
            self.planned_standbys[slice_.start] = standby

    def moves(self):
        """Return the planned moves, those that change an owner first."""
        changed = [
            (self.owner(slice_) == slice_.owner, slice_)
            for slice_ in self.slices
            if (self.owner(slice_), self.standby(slice_))
            != (slice_.owner, slice_.standby)
        ]
        changed.sort(key=lambda entry: entry[0])
        return [
            SliceMove(
                service=self.config.name,
                start=slice_.start,
                base_epoch=slice_.epoch,
                owner=self.owner(slice_),
                standby=self.standby(slice_),
            )
            for _, slice_ in changed
        ]


@attrs.define(kw_only=True)
class WorkView(ServiceView):
    """A view in which slices weigh slots that their work needs.

    Capacities are slots times speed, so that a relative load of 1 means that all slots
    of a server are needed.
    """

    def max_utilisation(self):
        """Return the highest utilisation of a target's slots."""
        return max(map(self.relative_load, self.targets), default=math.inf)

    def slots_needed(self, slice_):
        """Return how many slots a slice's work needs."""
        return self.weights[slice_.start]

    def is_over(self, node_id):
        """Return whether a target's slices need more slots than it bears."""
        return self.overload(node_id) > 1.0

    def overload(self, node_id):
        """Return a target's work relative to what it bears."""
        bearable = max(BEARABLE_SHARE, BEARABLE_LEVEL * self.mean_relative_load)
        return self.relative_load(node_id) / bearable

    def excess(self, node_id):
        """Return the slots of work to move away from a target that is over."""
        return self.loads[node_id] - self._relieved() * self.targets[node_id]

    def room(self, node_id):
        """Return the slots of work that may be moved to a target."""
        return -self.excess(node_id)

    def _relieved(self):
        return max(RELIEVED_SHARE, RELIEVED_LEVEL * self.mean_relative_load)


def build_view(
    cluster, table, name, now_s, warm_up=True, tuning=None, *, evacuated=frozenset()
):
    """Return the `ServiceView` of a service that is divided by key.

    ``warm_up`` is false only in replays that show its effect. Members in ``evacuated``
    failure domains count as draining, and so do those whose servers take nothing.
    """
    tuning = tuning or PlacementTuning()
    report_timeout = report_timeout_s(len(cluster.members))
    members = {
        m.node_id: attrs.evolve(m, draining=True)
        if m.failure_domain in evacuated or table.limit_per_s(m.node_id) == 0
        else m
        for m in cluster.members.values()
        if m.service == name
    }
    live = {i for i, m in members.items() if table.is_live(m, now_s, report_timeout)}
    slices = cluster.slices[name].slices
    rates = table.rates.get(name, {})
    work, speeds = _work(table, name, live, tuning)
    # If no node measures work, requests are counted.
    if work:
        request_s = sum(work.values()) / max(sum(rates.values()), IDLE_PER_S)
    else:
        request_s = _mean_service_s(table, live)
    targets = _targets(members, live, table, now_s, warm_up, tuning, speeds, request_s)
    weights = _weights(slices, work or rates)
    hot_keys = table.hot_keys(name, now_s, *([HOT_WORK_KEYS_S] if work else []))
    make_view = WorkView if work else ServiceView
    loads = dict.fromkeys(members, 0.0)
    for slice_ in slices:
        if slice_.owner in loads:
            loads[slice_.owner] += weights[slice_.start]
    return make_view(
        config=cluster.config.services[name],
        members=members,
        targets=targets,
        lost_s={
            node_id: table.lost_for_s(member, now_s, report_timeout)
            for node_id, member in members.items()
            if node_id not in live
        },
        slices=slices,
        weights=weights,
        loads=loads,
        hot_keys={
            key_hash: rate * request_s if work else rate
            for key_hash, rate in hot_keys.items()
        },
        busy_fractions={node_id: table.busy_fraction(node_id) for node_id in members},
        service_s={node_id: table.service_ms(node_id) / 1000 for node_id in members},
        limits_per_s={
            node_id: limit_per_s
            for node_id in members
            if (limit_per_s := table.limit_per_s(node_id)) is not None
        },
    )


def _work(table, name, live, tuning):
    """Return the work of each slice and the speeds of the servers.

    The work is empty unless slices are weighted by it and some node measures it.
    """
    if tuning.by_work:
        speeds = relative_speeds(
            {node_id: table.kind_times(node_id) for node_id in live}
        )
        rates = table.rates.get(name, {})
        work = slice_work(table.work.get(name, {}), rates, speeds)
        if work:
            return work, speeds
    return {}, _speeds(table, live) if tuning.scale_by_speed else {}


def _targets(members, live, table, now_s, warm_up, tuning, speeds, mean_service_s):
    """Return the capacity in slots of each node to which slices may be assigned.

    ``mean_service_s`` is the mean slot time of a request.
    """
    targets = {}
    for node_id, member in sorted(members.items()):
        if node_id not in live or member.draining:
            continue
        slots = max(1, member.slots)
        capacity = slots * speeds.get(node_id, 1.0)
        cold_per_s = table.cold_requests_per_s(node_id)
        if warm_up and cold_per_s is not None:
            cold_slots = cold_per_s * mean_service_s or slots * COLD_SHARE
            capacity = min(capacity, cold_slots)
        elif warm_up:
            capacity *= _warm_up_share(table.warm_for_s(node_id, now_s), tuning)
        limit_per_s = table.limit_per_s(node_id)
        if limit_per_s is not None and mean_service_s:
            limited_slots = max(limit_per_s, MIN_LIMIT_PER_S) * mean_service_s
            capacity = min(capacity, limited_slots)
        targets[node_id] = capacity
    return targets


def _mean_service_s(table, node_ids):
    """Return the mean service time of some nodes in seconds; 0 if none is known."""
    known_ms = [ms for node_id in node_ids if (ms := table.service_ms(node_id)) > 0]
    return sum(known_ms) / len(known_ms) / 1000 if known_ms else 0.0


def _warm_up_share(warm_s, tuning):
    """Return the share of its capacity that a server gets ``warm_s`` after its start.

    A cold server answers several times slower. With its full share from the start,
    its queue would grow throughout the cold start, and requests would be shed
    after each restart.
    """
    if warm_s >= tuning.warm_up_s:
        return 1.0
    return COLD_SHARE + (1 - COLD_SHARE) * max(0.0, warm_s) / tuning.warm_up_s


def _speeds(table, node_ids):
    """Return the speed of each backend server relative to the mean service time.

    Servers of one service can differ by more than a factor of two. At the same
    load, requests queue at the slow ones while the fast ones have idle slots. A
    server that slows down under its load is given less load.
    """
    times = {node_id: table.service_ms(node_id) for node_id in node_ids}
    known = [time for time in times.values() if time > 0]
    if not known:
        return {}
    mean = sum(known) / len(known)
    return {
        node_id: min(max(mean / time, MIN_SPEED), MAX_SPEED)
        for node_id, time in times.items()
        if time > 0
    }


def _weights(slices, rates):
    """Return the weight of each slice by its start.

    A slice without a reported rate gets the mean rate.
    """
    known = [rates[slice_.start] for slice_ in slices if slice_.start in rates]
    mean = sum(known) / len(known) if known else 0.0
    min_weight = MIN_WEIGHT_SHARE * mean if mean > IDLE_PER_S else 1.0
    return {
        slice_.start: rates.get(slice_.start, mean) + min_weight for slice_ in slices
    }
