"""Measurements of an ingress node about each backend server it sends to."""

import attrs

from comfreywharf.load.limits import warm_fraction
from comfreywharf.load.serverload import MAX_REPORT_AGE_S, LoadSnapshot

__all__ = ["MemberLoad"]

LATENCY_WEIGHT = 0.1
"""Weight of the newest latency in the mean."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the failure fraction."""

REFUSAL_WEIGHT = 0.1
"""Weight of the newest outcome in the fraction refused for lack of slots."""

UNKNOWN_LATENCY_S = 0.1
"""Latency that is assumed of a server without answers, to estimate what it bears."""

ANSWERS_UNTIL_WARM = 50
"""Answers through one node after which a server gets its full share of requests."""


@attrs.define(eq=False)
class MemberLoad:
    """Requests in flight, latency and failures of one backend server.

    All values are measured by this node, except ``load``. What a backend server
    reports about its own health isn't used: a server that fails every request may
    report that it is healthy and idle. ``announced_offset`` identifies
    a start of the server; after each start it is cold. ``near`` is true if the
    server is in this node's failure domain. The node beside the server may report that
    its requests are bounded until ``cold_until_s``, or that it takes ``limit_per_s``
    requests per second, which counts until ``limited_until_s``. ``load`` is the load
    that this node told last, ``None`` if it tells none, and ``sent_since_load`` how
    many requests were sent there since. ``load_passed_on`` is whether the load came in
    a reply of another node.
    """

    node_id: str
    announced_offset: int = -1
    in_flight: int = 0
    answers: int = 0
    mean_latency_s: float = 0.0
    failure_fraction: float = 0.0
    samples: int = 0
    near: bool = False
    refused_fraction: float = 0.0
    slots: int = 1
    cold_until_s: float = float("-inf")
    limit_per_s: float = 0.0
    limited_until_s: float = float("-inf")
    load: LoadSnapshot | None = None
    load_received_s: float = float("-inf")
    sent_since_load: int = 0
    load_passed_on: bool = False

    def is_cold(self, now_s):
        """Return whether the server's requests are bounded, as it is cold."""
        return now_s < self.cold_until_s

    def is_limited(self, now_s):
        """Return whether the server names the requests per second that it takes."""
        return now_s < self.limited_until_s

    def bound_per_s(self, cold_per_s, now_s):
        """Return how many requests per second the server bears, if it is bounded.

        Return ``None`` if it isn't. ``cold_per_s`` is what a cold server bears, or
        ``None``.
        """
        bounds = []
        if cold_per_s is not None and self.is_cold(now_s):
            bounds.append(cold_per_s)
        if self.is_limited(now_s):
            bounds.append(self.limit_per_s)
        return min(bounds, default=None)

    @property
    def capacity_per_s(self):
        """Return about how many requests per second the server bears once warm."""
        return max(1, self.slots) / (self.mean_latency_s or UNKNOWN_LATENCY_S)

    @property
    def weight(self):
        """Return the fraction of its full load for the server, from 0.25 to 1."""
        return warm_fraction(self.answers, ANSWERS_UNTIL_WARM)

    def reset_measurements(self, announced_offset):
        """Discard the measurements from before the server's latest start."""
        self.announced_offset = announced_offset
        self.answers = 0
        self.mean_latency_s = 0.0
        self.failure_fraction = 0.0
        self.refused_fraction = 0.0
        self.samples = 0
        self.load = None

    def record_load(self, load, now_s):
        """Record the `LoadSnapshot` in a reply."""
        self.load = load
        self.load_received_s = now_s
        self.sent_since_load = 0
        self.load_passed_on = False

    def record_passed_load(self, load, age_s, now_s):
        """Record a `LoadSnapshot` that another node received ``age_s`` ago.

        It is ignored if a newer one is known. Requests of this node that are still in
        flight may be missing in it, and are added by the estimate.
        """
        received_s = now_s - age_s
        if not 0 <= age_s <= MAX_REPORT_AGE_S or received_s <= self.load_received_s:
            return
        self.load = load
        self.load_received_s = received_s
        self.sent_since_load = min(self.sent_since_load, self.in_flight)
        self.load_passed_on = True

    def has_load(self, now_s):
        """Return whether a recent load is known, with the duration of work."""
        if self.load is None or not self.load.work_s:
            return False
        return now_s - self.load_received_s <= MAX_REPORT_AGE_S

    def begin(self):
        """Count a request that is sent."""
        self.in_flight += 1
        self.sent_since_load += 1

    def drop(self):
        """Count the end of a request whose outcome doesn't concern the server."""
        self.in_flight -= 1

    def finish_refused(self):
        """Count the end of a request that was refused for lack of slots."""
        self.in_flight -= 1
        self.refused_fraction += REFUSAL_WEIGHT * (1 - self.refused_fraction)

    def finish(self, latency_s, failed):
        """Count the end of a request; ``failed`` tells whether the server failed it."""
        self.in_flight -= 1
        self.refused_fraction -= REFUSAL_WEIGHT * self.refused_fraction
        self.samples += 1
        weight = max(FAILURE_WEIGHT, 1 / self.samples)
        self.failure_fraction += weight * (failed - self.failure_fraction)
        if failed:
            return
        self.answers += 1
        weight = max(LATENCY_WEIGHT, 1 / self.answers)
        self.mean_latency_s += weight * (latency_s - self.mean_latency_s)
