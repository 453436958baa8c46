"""The counters and histograms of a node, which are cheap to update per request."""

from bisect import bisect_left
from collections import defaultdict

import attrs

from comfreywharf.metrics.unavailable import Outages

__all__ = ["LATENCY_BOUNDS_S", "Gauges", "Metrics"]

LATENCY_BOUNDS_S = (
    *(0.001, 0.002, 0.003, 0.005, 0.007, 0.01, 0.015, 0.025),
    *(0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0),
)
"""Upper bounds of the latency buckets, dense around the target of 10 ms."""


class Buckets:
    """A histogram: a count for each bound and one above all bounds, and the sum."""

    __slots__ = ("counts", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def add(self, value_s):
        """Count one value, given in seconds."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, value_s)] += 1
        self.sum_s += value_s


@attrs.frozen(kw_only=True)
class Gauges:
    """The values that a node measures at the time of a scrape."""

    owned_slices: dict[str, int]
    backend_running_requests: int
    backend_slots: int
    waiting_requests: int
    streams: int
    lease_held: bool
    lease_remaining_s: float
    log_reachable: bool
    log_calls: dict[str, int]
    log_bytes: dict[str, int]
    peer_bytes: dict[tuple[str, str, str], int]
    fold_offset: int
    fold_age_s: float
    config_version: int
    routes_version: int
    routes_age_s: float
    evacuated_domains: int
    evacuation_slices: int
    retry_tokens: dict[str, float]
    backend_limit_per_s: float | None = None
    backend_load_believed: bool = True
    admission_levels: dict[str, tuple[int, float]] = attrs.Factory(dict)
    early_return_refusals: dict[str, int] = attrs.Factory(dict)
    known_loads: dict[tuple[str, str], int] = attrs.Factory(dict)
    caller_connections: int = 0
    caller_memory_bytes: int = 0
    disconnected_callers: int = 0
    planned_capacity_slots: dict[tuple[str, str], float] = attrs.Factory(dict)


class Metrics:
    """The counters and histograms of one node, as plain numbers."""

    def __init__(self):
        self.requests = defaultdict(int)
        self.durations = defaultdict(Buckets)
        self.stages = defaultdict(Buckets)
        self.admission_refusals = defaultdict(int)
        self.outages = Outages()
        self.owner_unavailable_s = defaultdict(float)
        self.slices_moved = defaultdict(int)
        self.backend_requests = defaultdict(int)
        self.events = defaultdict(int)
        self.lateness = Buckets()
        self.unreadable_routes = 0
        self.damaged_evacuations = 0
        self.unknown_names = defaultdict(int)
        self.damaged_limits = 0
        self.damaged_loads = 0
        self.repeated_sends = defaultdict(int)
        self.refused_retries = defaultdict(int)
        self.nested_calls = defaultdict(int)
        self.lost_nested_calls = defaultdict(int)
        self.level_refusals = defaultdict(int)
        self.minimum_starts = defaultdict(dict)

    def request_ended(self, service, outcome, reason, duration_s):
        """Count a caller's request; ``service`` is empty if it is unknown."""
        self.requests[service, outcome, reason] += 1
        self.durations[service].add(duration_s)

    def stage_ended(self, service, stage, duration_s):
        """Record the time that a request spent in one stage at its owner."""
        self.stages[service, stage].add(duration_s)

    def not_admitted(self, service, reason):
        """Count a request that got no slot of this node's backend server."""
        self.admission_refusals[service, reason] += 1

    def refused_by_level(self, service, rank):
        """Count a request that was refused where it arrived, by its service's level."""
        self.level_refusals[service, str(rank)] += 1

    def backend_request_sent(self, service):
        """Count a request that was sent to this node's backend server."""
        self.backend_requests[service] += 1

    def request_sent_again(self, service, reason):
        """Count a send of a request that may have reached a backend server before.

        ``reason`` is that of its last refusal.
        """
        self.repeated_sends[service, reason] += 1

    def nested_call(self, service, rank):
        """Count a call of the backend server beside this node, by its rank."""
        self.nested_calls[service, rank] += 1

    def nested_call_lost(self, caller_service, service, rank, reason):
        """Count a call of this node's server that wasn't answered.

        The run that made it is of ``caller_service``, and probably fails.
        """
        self.lost_nested_calls[caller_service, service, str(rank), reason] += 1

    def retry_refused(self, service):
        """Count a request that isn't sent again, for want of a retry of its service."""
        self.refused_retries[service] += 1

    def slices_changed(self, service, gained, count):
        """Count slices that this node gained or lost."""
        self.slices_moved[service, "gained" if gained else "lost"] += count

    def slices_unavailable(self, service, slices, duration_s):
        """Add the time in which this node owned slices but couldn't serve them."""
        self.owner_unavailable_s[service] += slices * duration_s

    def damaged_evacuation_read(self):
        """Count an order to evacuate that can't be read or names no known domain."""
        self.damaged_evacuations += 1

    def unknown_name_read(self, message):
        """Count a name that isn't known, in a message of the platform."""
        self.unknown_names[message] += 1

    def damaged_limit_read(self):
        """Count an answer whose limit can't be read."""
        self.damaged_limits += 1

    def damaged_load_read(self):
        """Count an answer whose load can't be read."""
        self.damaged_loads += 1

    def unreadable_routes_received(self):
        """Count routes of a peer that couldn't be applied."""
        self.unreadable_routes += 1

    def loop_woke(self, late_s):
        """Record a wake-up of the event loop, ``late_s`` later than it was due."""
        self.lateness.add(max(0.0, late_s))

    def event_reported(self, name, severity):
        """Count an event, even if it is withheld from the log and the ring."""
        self.events[name, severity] += 1
