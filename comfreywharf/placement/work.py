"""Slot time of requests, and the capacity of servers that differ in speed.

A node reports how much slot time its slices need at its own server, and how long each
kind of request takes there. The planner compares times of the same kind: the mean time
of all requests says more of their mix than of the server. Work is counted in slots of a
server of usual speed, so that a slice weighs the same wherever it lies.
"""

import math
from collections import deque

import attrs

__all__ = ["KindTime", "KindTimes", "relative_speeds", "slice_work"]

MIN_SPEED = 0.3
MAX_SPEED = 2.0
"""Bounds on a relative speed; a server that fails isn't a hundred times as slow."""

SAMPLES = 9
"""Samples over which the median of a time is taken, one for each report. A period of
400 ms in which work takes three times as long affects one of them, or two."""

MIN_SAMPLES = 3
"""Samples from which on a time is reported. The first requests of a server that has
just started are slow."""

MAX_MEAN_RATIO = 2.0
"""Limit on the mean time of a kind, relative to the typical one. The mean includes the
few long requests, which need slots as well. Requests that end at their deadline at a
server that doesn't answer don't show how much work there is."""

REPORTED_CHANGE = 0.03
"""Relative change of a time from which on it is reported again."""


@attrs.frozen(kw_only=True)
class KindTime:
    """The typical time of one kind of request at a node's server."""

    priority: int
    repeatable: bool
    typical_ms: float

    @property
    def kind(self):
        """Return the kind as a key: its priority and whether it may be repeated."""
        return self.priority, self.repeatable


@attrs.define
class _Samples:
    """The latest samples of a kind's times, in seconds."""

    latest: tuple = ()
    typical: deque = attrs.Factory(lambda: deque(maxlen=SAMPLES))
    means: deque = attrs.Factory(lambda: deque(maxlen=SAMPLES))

    def add(self, times):
        """Add a sample of `ServiceTimes`, unless no request has ended since the last.

        The typical time is read as of its last sample: it decays while no request
        ends, which says nothing of the server's speed.
        """
        typical_s = times.typical_s(-math.inf)
        if (typical_s, times.mean_s) == self.latest:
            return
        self.latest = typical_s, times.mean_s
        self.typical.append(typical_s)
        self.means.append(times.mean_s)

    @property
    def typical_s(self):
        """Return the smoothed typical time; 0 while there are too few samples."""
        if len(self.typical) < MIN_SAMPLES:
            return 0.0
        return _median(self.typical)

    @property
    def work_s(self):
        """Return the slot time that a request needs, in seconds; 0 if unknown."""
        return min(_median(self.means), MAX_MEAN_RATIO * self.typical_s)


@attrs.define
class KindTimes:
    """Smoothed times of each kind of request at the server beside a node."""

    _samples: dict[object, _Samples] = attrs.Factory(dict)
    _sampled_from: object = None
    _reported: tuple[KindTime, ...] | None = None

    def sample(self, times_by_kind):
        """Sample ``{kind: ServiceTimes}``; another mapping is that of a new server."""
        if times_by_kind is not self._sampled_from:
            self._sampled_from = times_by_kind
            self._samples = {}
        for kind, times in list(times_by_kind.items()):
            self._samples.setdefault(kind, _Samples()).add(times)

    def work_s(self, kind):
        """Return the slot time that a request of a kind needs; 0 if unknown."""
        samples = self._samples.get(kind)
        return samples.work_s if samples is not None and samples.typical_s else 0.0

    def times_to_report(self, everything=False):
        """Return the times to report, or ``None`` if the reported ones still hold."""
        current = tuple(
            KindTime(
                priority=kind[0],
                repeatable=kind[1],
                typical_ms=samples.typical_s * 1000,
            )
            for kind, samples in self._samples.items()
            if samples.typical_s
        )
        if not everything and not _differ(current, self._reported):
            return None
        self._reported = current
        return current


def _differ(current, reported):
    if reported is None:
        return True
    before = {entry.kind: entry.typical_ms for entry in reported}
    return len(current) != len(before) or any(
        abs(entry.typical_ms - before.get(entry.kind, 0.0))
        > REPORTED_CHANGE * entry.typical_ms
        for entry in current
    )


def relative_speeds(times_by_node):
    """Return the speed of each node's server, relative to the others of its service.

    ``times_by_node`` holds ``{kind: typical_ms}`` of each node. A kind that only one
    node knows compares nothing. A node without a comparable time has no speed.

    >>> speeds = relative_speeds({"a": {1: 100.0}, "b": {1: 400.0, 2: 9.0}})
    >>> round(speeds["a"], 6), round(speeds["b"], 6)
    (2.0, 0.5)
    """
    logs_by_kind = {}
    for times in times_by_node.values():
        for kind, typical_ms in times.items():
            if typical_ms > 0:
                logs_by_kind.setdefault(kind, []).append(math.log(typical_ms))
    usual = {kind: _mean(logs) for kind, logs in logs_by_kind.items() if len(logs) > 1}
    speeds = {}
    for node_id, times in times_by_node.items():
        ratios = [
            usual[kind] - math.log(typical_ms)
            for kind, typical_ms in times.items()
            if kind in usual and typical_ms > 0
        ]
        if ratios:
            speed = math.exp(_mean(ratios))
            speeds[node_id] = min(max(speed, MIN_SPEED), MAX_SPEED)
    return speeds


def slice_work(measured, rates, speeds):
    """Return the slots of usual speed that each slice's requests need, by its start.

    ``measured`` holds ``(slots_needed, node_id)`` as reported, ``rates`` requests per
    second. Slices that are reported without their work, by a node of an earlier build,
    count with the mean work of a request. Return an empty mapping if no work is known.
    """
    work = {
        start: slots_needed * speeds.get(node_id, 1.0)
        for start, (slots_needed, node_id) in measured.items()
        if start in rates
    }
    requests_per_s = sum(rates[start] for start in work)
    if requests_per_s <= 0:
        return {}
    request_s = sum(work.values()) / requests_per_s
    return {start: work.get(start, rate * request_s) for start, rate in rates.items()}


# The standard library's module of statistics takes 10 ms of each node's start.


def _median(values):
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _mean(values):
    return math.fsum(values) / len(values)
