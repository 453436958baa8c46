"""Admission levels of servers: state them in replies, and apply those of other nodes.

The decisions are those of `comfreywharf.load.overload` and
`comfreywharf.load.fleetlevels`, which do no I/O. See docs/design/overload.md.
"""

import random

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.caller_requests import TARGET_PASSED_MS
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.load.admission import Result
from comfreywharf.load.estimates import work_kind
from comfreywharf.load.fleetlevels import Attempt, ServiceAdmission
from comfreywharf.load.overload import Level, ServerOverload
from comfreywharf.records import key_hash
from comfreywharf.routing import Reason
from comfreywharf.transport.gen.ttypes import AdmissionLevel

__all__ = ["FleetAdmission", "ServerLevel"]

VALID_MS = 500
"""How long a level is valid after its reply. An ingress node that sends a server few
requests hears of the end of an overload by this time."""

REPORT_S = 5.0
"""Minimum time between two events about a server's level."""

_RAN = frozenset({Result.ANSWERED, Result.FAILED})


class ServerLevel:
    """The admission level of the backend server beside this node."""

    def __init__(self, node, service, state):
        self._node = node
        self._service = service
        self._state = state
        self._overload = ServerOverload(state.limit.max_in_flight())
        self._reported = None
        self._reported_s = float("-inf")

    def record_arrival(self, request, now_s, missed=False):
        """Record a request that was admitted, waits, or was refused.

        Without a latency target, it may wait until its deadline. ``missed`` is as in
        `ServerOverload.record_arrival`.
        """
        target_left_s = _target_left_s(request)
        if target_left_s is None:
            target_left_s = request.remaining_ms / 1000
        self._overload.record_arrival(
            request.priority,
            work_kind(request),
            now_s,
            nested=bool(request.nested),
            target_left_s=target_left_s,
            missed=missed,
        )

    def record_work(self, slot, now_s):
        """Record how long a request occupied the server, if it ran there."""
        if slot.result in _RAN:
            elapsed_s = now_s - slot.ticket.started_s
            self._overload.record_work(slot.ticket.kind, elapsed_s)

    def message(self, service, now_s):
        """Return the `AdmissionLevel` for replies; ``None`` without an overload.

        ``service`` is that of the request; a node refuses requests for others.
        """
        if service != self._service:
            return None
        state = self._state
        self._overload.slots = state.limit.max_in_flight()
        waiting = (
            (ticket.rank, ticket.kind) for ticket in state.queue if not ticket.late
        )
        level = self._overload.update(waiting, now_s)
        state.minimums.shares = self._overload.minimum_shares
        if level is not self._reported:
            self._report_change(level, now_s)
        if level is None:
            return None
        return AdmissionLevel(
            rank=level.rank, fraction=level.fraction, valid_ms=VALID_MS
        )

    def _report_change(self, level, now_s):
        """Report that a level was set or lifted, or admits another rank."""
        before, after = (
            -1 if each is None else each.rank for each in (self._reported, level)
        )
        if before == after or now_s - self._reported_s < REPORT_S:
            return
        self._reported, self._reported_s = level, now_s
        self._node.report(
            "admission_level_changed",
            service=self._service,
            rank=after,
            before_rank=before,
            fraction=round(level.fraction, 3) if level else 1.0,
        )


class FleetAdmission:
    """Refuse requests at their ingress node by the levels that servers state."""

    def __init__(self, node):
        self._node = node
        self._enabled = node.ports.fleet_admission
        self._random = random.Random(
            f"fleet {node.settings.node_id} {node.incarnation}"
        )
        self._services = {}

    def refuse(self, call, now_s):
        """Return the refusal of a request above its service's level, or ``None``.

        Nothing of the request was sent, so that it provably hasn't run.
        """
        request = call.request
        if not self._enabled or request.nested:
            return None
        service = self._service(call.service.name)
        owner = ""
        if request.key and service.limited:
            owner = self._owner(request)
            if not owner:
                return None
        attempt = _attempt(call, owner, request.remaining_ms / 1000)
        wait_s = service.refused_wait_s(attempt, now_s)
        if wait_s is None:
            return None
        self._node.metrics.refused_by_level(call.service.name, request.priority)
        return refusal(Reason.OVERLOADED, retry_after_ms=int(wait_s * 1000))

    def record_reply(self, call, reply):
        """Record the level in the reply of another node, or of this one."""
        if not self._enabled:
            return
        stated = reply.admission
        level, valid_s = None, VALID_MS / 1000
        if stated is not None:
            level = Level(stated.rank, min(max(stated.fraction, 0.0), 1.0))
            valid_s = stated.valid_ms / 1000
        service = self._service(call.service.name)
        now_s = boottime_s()
        service.record_level(call.target, level, valid_s, now_s)
        if reply.reason == Reason.OVERLOADED.value and reply.retry_after_ms:
            wait_s = reply.retry_after_ms / 1000
            attempt = _attempt(call, "", call.deadline_s - now_s)
            service.record_wait(attempt, wait_s, now_s)

    def levels(self, now_s):
        """Return ``(rank, fraction)`` of the strictest level by service."""
        stated = {name: each.stated(now_s) for name, each in self._services.items()}
        return {name: level for name, level in stated.items() if level is not None}

    def early_return_refusals(self):
        """Return by service how many callers returned too early and were refused."""
        return {name: each.early_refusals for name, each in self._services.items()}

    def _service(self, name):
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceAdmission(self._random)
        return service

    def _owner(self, request):
        state = self._node.follower.state
        owned = state.slice_at(request.service_name, key_hash(request.key))
        return owned.owner if owned is not None else ""


def _attempt(call, owner, remaining_s):
    request = call.request
    return Attempt(
        route=call.route,
        rank=request.priority,
        owner=owner,
        remaining_s=remaining_s,
        request=hash((request.method, request.path, request.key)),
    )


def _target_left_s(request):
    """Return the time left until the latency target; ``None`` without a target."""
    if not request.target_ms:
        return None
    if request.target_ms == TARGET_PASSED_MS:
        return 0.0
    return request.target_ms / 1000
