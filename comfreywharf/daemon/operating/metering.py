"""Measure requests and the node's components for the node's metrics."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.operating.decisions import NEVER_AGE_S
from comfreywharf.membership.evacuations import evacuated_slices
from comfreywharf.metrics import Gauges
from comfreywharf.records import key_hash
from comfreywharf.routing import Outcome, Reason
from comfreywharf.ticks import PHASE_S, seconds_to_tick

__all__ = ["Meter"]

SAMPLE_S = 0.25

DISCONNECTED_REPORT_S = 5.0
"""Minimum time between two events about callers that were disconnected."""

_UNSERVED = frozenset(
    reason.value
    for reason in (
        Reason.NO_OWNER,
        Reason.WRONG_OWNER,
        Reason.NOT_YET_OWNER,
        Reason.NO_BACKEND,
        Reason.PEER_UNREACHABLE,
        Reason.PEER_LOST,
        Reason.BACKEND_LOST,
        Reason.LEASE_LAPSED,
    )
)
"""Reasons that mean that no server was available for a key, rather than overload."""


class Meter:
    """Count completed requests, sample ownership, and answer scrapes."""

    def __init__(self, node):
        self._node = node
        self._metrics = node.metrics
        self._disconnected = 0
        self._disconnected_s = float("-inf")

    def request_refused(self, reply, began_s):
        """Count a request that was refused before it was dispatched.

        It gets an empty service label: otherwise a caller could create any number of
        labels.
        """
        self._count("", reply, boottime_s() - began_s)

    def request_ended(self, call, reply):
        """Count a caller's request and the time its key was unavailable."""
        now_s = boottime_s()
        service = call.service.name
        self._count(service, reply, now_s - call.began_s)
        if call.request.nested and reply.reason:
            self._count_lost_call(call.request, reply.reason)
        outages = self._metrics.outages
        unserved = reply.reason in _UNSERVED
        if not call.request.key or not (unserved or outages):
            return
        state = self._node.follower.state
        slice_ = state.slice_at(service, key_hash(call.request.key))
        start = slice_.start if slice_ else 0
        if unserved:
            outages.refused(service, start, call.began_s, now_s)
        elif reply.outcome == Outcome.ANSWERED:
            outages.answered(service, start, now_s)

    def _count_lost_call(self, request, reason):
        """Count a call of this node's server; the run that made it may fail."""
        backend = self._node.backend
        self._metrics.nested_call_lost(
            backend.announcement.service if backend is not None else "",
            request.service_name,
            request.priority,
            reason,
        )

    def _count(self, service, reply, duration_s):
        outcome = Outcome(reply.outcome).name.lower()
        self._metrics.request_ended(service, outcome, reply.reason, duration_s)

    def run(self):
        """Add up the time that owned slices have no lease; measure the loop's delay.

        Runs until killed.
        """
        sampled_s = boottime_s()
        while True:
            due_s = sampled_s + seconds_to_tick(sampled_s, SAMPLE_S, PHASE_S)
            gevent.sleep(due_s - sampled_s)
            now_s = boottime_s()
            if not self._node.leases.holder.owns(now_s):
                for service, count in self._node.ownership.owned.items():
                    self._metrics.slices_unavailable(service, count, now_s - sampled_s)
            self._metrics.loop_woke(now_s - due_s)
            self._report_disconnected(now_s)
            sampled_s = now_s

    def _report_disconnected(self, now_s):
        """Report how many callers were disconnected to make room, if any were."""
        memory = self._node.caller_memory
        count = memory.closed_count - self._disconnected
        if not count or now_s - self._disconnected_s < DISCONNECTED_REPORT_S:
            return
        self._disconnected = memory.closed_count
        self._disconnected_s = now_s
        self._node.report(
            "callers_disconnected",
            count=count,
            connections=memory.connections,
            held_bytes=memory.held_bytes,
        )

    def scrape(self, accept):
        """Return ``(body, headers)`` for Prometheus."""
        # The library that renders is needed by few processes, and not at their start.
        from comfreywharf.metrics.render import render

        return render(self._metrics, self._gauges(boottime_s()), accept)

    def _gauges(self, now_s):
        node = self._node
        holder = node.leases.holder
        held = holder.owns(now_s)
        return Gauges(
            owned_slices=dict(node.ownership.owned),
            backend_running_requests=node.forwarder.running,
            planned_capacity_slots=node.planner.capacities,
            retry_tokens=node.ingress.retry_tokens,
            backend_slots=node.backend.announcement.slots if node.backend else 0,
            backend_limit_per_s=node.load.rate_limit.limit_per_s,
            backend_load_believed=node.load.server_load.believed,
            admission_levels=node.fleet_admission.levels(now_s),
            known_loads=node.load.members.known_loads(now_s),
            early_return_refusals=node.fleet_admission.early_return_refusals(),
            waiting_requests=node.ingress.running,
            streams=node.ingress.streaming,
            caller_connections=node.caller_memory.connections,
            caller_memory_bytes=node.caller_memory.held_bytes,
            disconnected_callers=node.caller_memory.closed_count,
            lease_held=held,
            lease_remaining_s=holder.lease.until_s() - now_s if held else 0.0,
            log_reachable=node.follower.reachable,
            log_calls=dict(node.follower.traffic.calls),
            log_bytes=dict(node.follower.traffic.size_bytes),
            peer_bytes=dict(node.peers.traffic.size_bytes),
            fold_offset=node.follower.state.next_offset,
            fold_age_s=min(now_s - node.follower.confirmed_s, NEVER_AGE_S),
            config_version=node.follower.state.config.version,
            routes_version=node.routes.version,
            routes_age_s=min(node.routes.age_s(now_s), NEVER_AGE_S),
            evacuated_domains=len(node.evacuations.domains),
            evacuation_slices=len(
                evacuated_slices(node.follower.state, node.evacuations.domains)
            ),
        )
