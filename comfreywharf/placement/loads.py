"""Load and liveness of the nodes, as the planner derives them from reports."""

import attrs

from comfreywharf.placement.work import KindTime

__all__ = [
    "HotKeyRate",
    "LoadTable",
    "NodeReport",
    "SliceRate",
    "rates_per_report",
    "report_delay_s",
    "report_interval_s",
    "report_timeout_s",
]

MAX_REPORTS_PER_S = 64
"""Limit on the reports that all nodes together send to the planner."""

MAX_RATES_PER_S = 100
"""Limit on the slice rates that all nodes together report each second."""

MIN_RATES_PER_REPORT = 2

MIN_INTERVAL_S = 1.0
MIN_REPORT_TIMEOUT_S = 3.0
MISSING_REPORTS = 3
"""Number of report intervals without a report after which a node is lost."""

MIN_LOST_S = 0.001
"""Shortest time for which a node that was taken over counts as lost; 0 would mean that
it isn't lost."""

HOT_KEY_RETENTION_S = 30.0
"""Time after its latest report for which a key counts as hot."""

MAX_HOT_KEYS = 256
"""Limit on the hot keys that the planner keeps for each service."""


def report_interval_s(member_count):
    """Return the time between two reports of one node, in seconds.

    It grows with the number of members, which bounds the rate of reports that the
    planner receives: 1 s up to 64 nodes, 10 s at 640.
    """
    return max(MIN_INTERVAL_S, member_count / MAX_REPORTS_PER_S)


def rates_per_report(member_count):
    """Return how many slice rates one report may contain.

    The limit exceeds the number of slices at 7 nodes, and is 2 at 640 nodes. If
    640 nodes reported all rates each time, the planner would receive more bytes
    than the budget for control traffic allows.
    """
    interval_s = report_interval_s(member_count)
    share = MAX_RATES_PER_S * interval_s / max(1, member_count)
    return max(MIN_RATES_PER_REPORT, round(share))


def report_delay_s(member_count, planner_changed, rng, min_interval_s=MIN_INTERVAL_S):
    """Return the delay before a node's next report, in seconds.

    A new planner needs a report from every node soon, but not from all 640 at
    once. After a change of planner the delay is therefore drawn from ``rng``,
    spread over the interval.
    """
    interval_s = max(min_interval_s, member_count / MAX_REPORTS_PER_S)
    if planner_changed:
        return rng.uniform(0, interval_s - min_interval_s / 2)
    return interval_s


def report_timeout_s(member_count):
    """Return how long a live node may go without a report, in seconds."""
    return max(MIN_REPORT_TIMEOUT_S, MISSING_REPORTS * report_interval_s(member_count))


@attrs.frozen(kw_only=True)
class SliceRate:
    """The request rate that a node measured for one of its slices.

    ``slots_needed`` is the slot time per second that the requests need at the node's
    own server, ``epoch`` that of the measured slice; a node that doesn't measure work
    reports neither.
    """

    service: str
    start: int
    requests_per_s: float
    epoch: int = -1
    slots_needed: float | None = None


@attrs.frozen(kw_only=True)
class HotKeyRate:
    """The request rate that a node estimates for one key."""

    service: str
    key_hash: int
    requests_per_s: float


@attrs.frozen(kw_only=True)
class NodeReport:
    """One node's load report; ``slices`` holds only rates that changed.

    ``cold_requests_per_s`` is what the backend server bears while it is cold; ``None``
    means that it is warm. ``limit_per_s`` is how many requests per second it takes, if
    it names a limit. ``kind_times`` are the typical times by kind of request; ``None``
    means that they haven't changed, or aren't measured.
    """

    node_id: str
    incarnation: int
    slices: tuple[SliceRate, ...] = ()
    hot_keys: tuple[HotKeyRate, ...] = ()
    busy_fraction: float = 0.0
    backend_up: bool = True
    lease_held: bool = True
    service_ms: float = 0.0
    cold_requests_per_s: float | None = None
    limit_per_s: float | None = None
    kind_times: tuple[KindTime, ...] | None = None

    @property
    def can_serve(self):
        """Return whether the node can serve: it holds a lease and its server is up."""
        return self.backend_up and self.lease_held


@attrs.frozen(kw_only=True)
class _NodeState:
    """State of a node from its last report; times are of the planner's clock."""

    incarnation: int
    reported_s: float
    can_serve: bool
    backend_up: bool
    changed_s: float
    warm_from_s: float
    busy_fraction: float
    service_ms: float = 0.0
    cold_requests_per_s: float | None = None
    limit_per_s: float | None = None
    taken_over_s: float | None = None
    kind_times: dict[tuple, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class _HotKeySample:
    requests_per_s: float
    seen_s: float


@attrs.frozen(kw_only=True)
class _Resize:
    """The loads of the two slices of a split or merge, from before it."""

    base_epoch: int
    rates: dict
    work: dict


@attrs.define(kw_only=True)
class LoadTable:
    """Latest loads and liveness of the nodes, rebuilt by each new planner.

    ``started_s`` is the start of this planner's term. A node whose first report
    arrives soon after it is treated as warm: it is probably new only to the
    planner. ``rates`` are requests per second by service and start of the slice,
    ``work`` the reported ``(slots_needed, node_id)``.
    """

    started_s: float
    rates: dict[str, dict[int, float]] = attrs.Factory(dict)
    work: dict[str, dict[int, tuple[float, str]]] = attrs.Factory(dict)
    _nodes: dict[str, _NodeState] = attrs.Factory(dict)
    _first_seen_s: dict[str, float] = attrs.Factory(dict)
    _hot: dict[str, dict[int, _HotKeySample]] = attrs.Factory(dict)
    _resizes: dict[tuple[str, int], _Resize] = attrs.Factory(dict)

    def record_report(self, report, now_s):
        """Record a report; drop it if it is from an earlier incarnation."""
        earlier = self._nodes.get(report.node_id)
        if earlier and report.incarnation < earlier.incarnation:
            return
        self._nodes[report.node_id] = self._next_state(earlier, report, now_s)
        for entry in report.slices:
            self._record_slice(entry, report.node_id)
        for entry in report.hot_keys:
            self._record_hot_key(entry, now_s)

    def _record_slice(self, entry, node_id):
        # A report that was made before a split or merge would give the whole slice's
        # load to its left part. Its epoch isn't known where work isn't measured.
        resize = self._resizes.get((entry.service, entry.start))
        if resize is not None and 0 <= entry.epoch <= resize.base_epoch:
            return
        self.rates.setdefault(entry.service, {})[entry.start] = entry.requests_per_s
        work = self.work.setdefault(entry.service, {})
        if entry.slots_needed is not None:
            work[entry.start] = (entry.slots_needed, node_id)
        else:
            work.pop(entry.start, None)

    def mark_taken_over(self, node_id, now_s):
        """Mark a node as lost because a standby took over from it.

        Missing reports alone show the loss only after several report intervals,
        half a minute at 640 nodes. Until then the lost node would appear to be
        the least loaded one, and the planner would move slices to it.
        """
        node = self._nodes.get(node_id)
        if node is not None and node.taken_over_s is None:
            self._nodes[node_id] = attrs.evolve(
                node, can_serve=False, taken_over_s=now_s
            )

    def _next_state(self, earlier, report, now_s):
        restarted = earlier is None or earlier.incarnation != report.incarnation
        changed = restarted or earlier.can_serve != report.can_serve
        # An expired lease doesn't restart the backend server, which stays warm.
        if not restarted and earlier.backend_up >= report.backend_up:
            warm_from_s = earlier.warm_from_s
        elif earlier is None and now_s - self.started_s < 2 * MIN_REPORT_TIMEOUT_S:
            warm_from_s = float("-inf")
        else:
            warm_from_s = now_s
        return _NodeState(
            incarnation=report.incarnation,
            reported_s=now_s,
            can_serve=report.can_serve,
            backend_up=report.backend_up,
            changed_s=now_s if changed else earlier.changed_s,
            warm_from_s=warm_from_s,
            busy_fraction=report.busy_fraction,
            service_ms=report.service_ms,
            cold_requests_per_s=report.cold_requests_per_s,
            limit_per_s=report.limit_per_s,
            kind_times=_kind_times(report, None if restarted else earlier),
        )

    def _record_hot_key(self, entry, now_s):
        seen = self._hot.setdefault(entry.service, {})
        seen[entry.key_hash] = _HotKeySample(
            requests_per_s=entry.requests_per_s, seen_s=now_s
        )
        if len(seen) > MAX_HOT_KEYS:
            coldest = min(seen, key=lambda key_hash: seen[key_hash].requests_per_s)
            del seen[coldest]

    def update_members(self, members, now_s):
        """Track newly added members and forget removed ones.

        A member that never reports counts as lost after a timeout from this call.
        """
        for node_id in members:
            self._first_seen_s.setdefault(node_id, now_s)
        if len(self._first_seen_s) > len(members):
            for node_id in set(self._first_seen_s) - set(members):
                del self._first_seen_s[node_id]
                self._nodes.pop(node_id, None)

    def is_live(self, member, now_s, report_timeout_s):
        """Return whether slices may be assigned to a member.

        A report from before the member's latest announcement is ignored: it came
        from an earlier incarnation.
        """
        node = self._nodes.get(member.node_id)
        return (
            node is not None
            and node.can_serve
            and node.incarnation >= member.incarnation
            and now_s - node.reported_s <= report_timeout_s
        )

    def lost_for_s(self, member, now_s, report_timeout_s):
        """Return how long a member has been lost, in seconds; 0 if it isn't.

        For a member that never reported, the timeout runs from when the planner
        first saw it, since a new planner has no reports at first.
        """
        node = self._nodes.get(member.node_id)
        if node is None:
            first_seen_s = self._first_seen_s.get(member.node_id, now_s)
            return max(0.0, now_s - first_seen_s - report_timeout_s)
        if node.taken_over_s is not None:
            return max(MIN_LOST_S, now_s - node.taken_over_s)
        overdue_s = now_s - node.reported_s - report_timeout_s
        unable_s = 0.0 if node.can_serve else now_s - node.changed_s - report_timeout_s
        return max(0.0, overdue_s, unable_s)

    def warm_for_s(self, node_id, now_s):
        """Return how long a node's backend server has been up, in seconds."""
        node = self._nodes.get(node_id)
        return now_s - node.warm_from_s if node else 0.0

    def busy_fraction(self, node_id):
        """Return the fraction of a node's slots in use, from its last report."""
        node = self._nodes.get(node_id)
        return node.busy_fraction if node else 0.0

    def service_ms(self, node_id):
        """Return the mean service time at a node, in milliseconds; 0 if unknown."""
        node = self._nodes.get(node_id)
        return node.service_ms if node else 0.0

    def cold_requests_per_s(self, node_id):
        """Return what a node's server bears while it is cold; ``None`` if warm."""
        node = self._nodes.get(node_id)
        return node.cold_requests_per_s if node else None

    def limit_per_s(self, node_id):
        """Return the limit that a node's server names; ``None`` if it names none."""
        node = self._nodes.get(node_id)
        return node.limit_per_s if node else None

    def kind_times(self, node_id):
        """Return ``{kind: typical_ms}`` of a node's server; empty if unknown."""
        node = self._nodes.get(node_id)
        return node.kind_times if node else {}

    def hot_keys(self, service, now_s, retention_s=HOT_KEY_RETENTION_S):
        """Return ``{key_hash: requests_per_s}`` of the recently reported hot keys."""
        seen = self._hot.get(service, {})
        for key_hash in [
            key_hash
            for key_hash, sample in seen.items()
            if now_s - sample.seen_s > retention_s
        ]:
            del seen[key_hash]
        return {key_hash: sample.requests_per_s for key_hash, sample in seen.items()}

    def record_split(self, service, start, at, right_per_s):
        """Divide a slice's rate between the two parts of a split.

        Otherwise both parts would count as unmeasured until their owner's next
        report, and the planner would move other slices unnecessarily.
        """
        rates = self.rates.setdefault(service, {})
        rates[start] = max(0.0, rates.get(start, 0.0) - right_per_s)
        rates[at] = right_per_s

    def record_merge(self, service, start, next_start):
        """Add the rates of two slices that were merged."""
        rates = self.rates.setdefault(service, {})
        rates[start] = rates.get(start, 0.0) + rates.pop(next_start, 0.0)

    def record_work_split(self, split, share):
        """Divide a slice's rate and work at a `Split`; the right part gets ``share``.

        Reports of the whole slice that are still to come are ignored.
        """
        self._note_resize(split, split.at)
        rates = self.rates.get(split.service, {})
        if split.start in rates:
            rates[split.at] = rates[split.start] * share
            rates[split.start] *= 1 - share
        work = self.work.get(split.service, {})
        if split.start in work:
            slots_needed, node_id = work[split.start]
            work[split.at] = (slots_needed * share, node_id)
            work[split.start] = (slots_needed * (1 - share), node_id)

    def record_work_merge(self, merge):
        """Add the rates and the work of two slices of a `Merge`."""
        self._note_resize(merge, merge.next_start)
        self.record_merge(merge.service, merge.start, merge.next_start)
        work = self.work.get(merge.service, {})
        left, right = work.get(merge.start), work.pop(merge.next_start, None)
        if left and right and left[1] == right[1]:
            work[merge.start] = (left[0] + right[0], left[1])
        else:
            work.pop(merge.start, None)

    def prune(self, service, starts):
        """Drop the rates of slices that don't begin at one of ``starts`` any more."""
        for measured in (self.rates, self.work):
            entries = measured.get(service, {})
            if len(entries) > len(starts):
                measured[service] = {s: entries[s] for s in starts if s in entries}

    def _note_resize(self, action, other_start):
        rates = self.rates.get(action.service, {})
        work = self.work.get(action.service, {})
        starts = (action.start, other_start)
        self._resizes[action.service, action.start] = _Resize(
            base_epoch=action.base_epoch,
            rates={start: rates.get(start) for start in starts},
            work={start: work.get(start) for start in starts},
        )

    def undo_refused_resizes(self, service, slices):
        """Restore the loads from before resizes that the log didn't take.

        Their slices still have the epoch that the resize was based on. Their nodes
        have reported them, and don't do so again until their loads change.
        """
        noted = [start for name, start in self._resizes if name == service]
        if not noted:
            return
        epochs = {slice_.start: slice_.epoch for slice_ in slices}
        for start in noted:
            resize = self._resizes[service, start]
            if start not in epochs:
                del self._resizes[service, start]
            elif epochs[start] <= resize.base_epoch:
                del self._resizes[service, start]
                _restore(self.rates.setdefault(service, {}), resize.rates)
                _restore(self.work.setdefault(service, {}), resize.work)


def _restore(entries, before):
    for start, value in before.items():
        if value is None:
            entries.pop(start, None)
        else:
            entries[start] = value


def _kind_times(report, earlier):
    """Return ``{kind: typical_ms}`` after a report of the same node as ``earlier``."""
    if report.kind_times is None:
        return earlier.kind_times if earlier else {}
    return {entry.kind: entry.typical_ms for entry in report.kind_times}
