"""Log decisions on single requests, each with the state that it was based on."""

import os

from comfreywharf.clock import boottime_s
from comfreywharf.events.decisions import DecisionLog, is_sampled
from comfreywharf.load.estimates import work_kind
from comfreywharf.routing import Outcome, may_have_reached_backend

__all__ = ["NEVER_AGE_S", "Decisions", "StdoutLineWriter", "discard_line"]

NEVER_AGE_S = 3600.0
"""Upper bound for reported ages of routes and log, and the age if never confirmed."""

MAX_LINE_BYTES = 4096
"""Maximum length of a line. Up to this length a write to a pipe is atomic (pipe(7))."""


def discard_line(line):
    """Write nothing, and return true; for nodes that log no lines on requests."""
    return True


class StdoutLineWriter:
    """Write lines to standard output without blocking.

    If nobody reads the output, a blocking write to the full pipe would stop the
    process and all of its requests. A line that doesn't fit into the pipe is dropped
    instead; the caller counts it.
    """

    def __init__(self, descriptor=1):
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def __call__(self, line):
        """Write a line; return whether it was written."""
        if len(line) > MAX_LINE_BYTES:
            return False
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            return False


class Decisions:
    """Log decisions on requests, with this node's view of routes and log."""

    def __init__(self, node, write):
        self._node = node
        self.enabled = write is not discard_line
        self._log = DecisionLog(node.settings.node_id, write, node.reporter.stamp)

    def request_ended(self, call, reply, now_s):
        """Log how a caller's request ended; only a sample of those without a reason."""
        if not self.enabled:
            return
        request = call.request
        facts = {
            "service": request.service_name,
            "status": reply.status,
            "asked": call.target,
            "arrivals": call.arrivals,
            "took_ms": round((now_s - call.began_s) * 1000),
        }
        if not reply.reason:
            if is_sampled(request.request_id):
                self._log.add(now_s, request.request_id, "answered", **facts)
            return
        kind = "refused" if reply.outcome == Outcome.NOT_RUN else "unknown"
        facts["reason"] = reply.reason
        facts["retry_after_ms"] = reply.retry_after_ms
        facts |= self._routes_view(now_s)
        self._log.add(now_s, request.request_id, kind, **facts, **self._log_view(now_s))

    def turned_away(self, request_id, reply, now_s):
        """Log that a request was refused because of its content."""
        if not self.enabled:
            return
        facts = {"status": reply.status, "reason": reply.reason}
        facts |= self._routes_view(now_s)
        self._log.add(now_s, request_id, "turned_away", **facts)

    def next_step(
        self, call, decision, reply, *, target, ownership, is_retry, retries_left
    ):
        """Log the next step of a request after a refusal: its target, or none.

        ``is_retry`` is whether the step counts as a retry, and ``retries_left`` how
        many the service has left at this node.
        """
        if not self.enabled:
            return
        now_s = boottime_s()
        facts = {"after": reply.reason, "asked": call.target, "next": target}
        facts["reached"] = may_have_reached_backend(reply)
        facts["arrivals"] = call.arrivals
        facts["counted"] = is_retry
        facts["tokens"] = round(retries_left, 2)
        if ownership is not None:
            facts["owner"] = ownership.owner
            facts["standby"] = ownership.standby
            facts["previous"] = ownership.previous
        facts |= self._log_view(now_s)
        self._log.add(now_s, call.request.request_id, decision, **facts)

    def no_right(self, request, right, now_s):
        """Log that this node may not serve a request's key."""
        if not self.enabled:
            return
        holder = self._node.leases.holder
        self._log.add(
            now_s,
            request.request_id,
            "no_right",
            reason=right.reason.value,
            hint=right.owner_hint,
            lease=holder.phase,
            **self._log_view(now_s),
        )

    def not_admitted(self, request, reply, state, now_s):
        """Log that admission refused a request.

        ``state`` is the admission state that the refusal was based on, or ``None``.
        """
        if not self.enabled:
            return
        facts = {"reason": reply.reason, "retry_after_ms": reply.retry_after_ms}
        if state is not None:
            facts["waiting"] = state.waiting
            facts["running"] = len(state.in_flight)
            facts["allowed"] = state.limit.max_in_flight()
            typical_s = state.typical_s(work_kind(request), now_s)
            facts["typical_ms"] = round(typical_s * 1000)
            facts["target_ms"] = request.target_ms
        self._log.add(now_s, request.request_id, "not_admitted", **facts)

    def backend_failed(self, request, running, instance, reason, detail):
        """Log that the backend server didn't answer a request, or refused it."""
        if not self.enabled:
            return
        now_s = boottime_s()
        lease = self._node.leases.holder.lease
        self._log.add(
            now_s,
            request.request_id,
            "backend_failed",
            reason=reason.value,
            detail=detail[:200],
            instance=instance,
            fence=running.right.fence,
            lease_left_ms=round(max(-1.0, lease.until_s() - now_s) * 1000),
            deadline_left_ms=round((running.deadline_s - now_s) * 1000),
        )

    def _routes_view(self, now_s):
        routes = self._node.routes
        age_ms = round(min(routes.age_s(now_s), NEVER_AGE_S) * 1000)
        return {"routes_version": routes.version, "routes_age_ms": age_ms}

    def _log_view(self, now_s):
        follower = self._node.follower
        age_s = min(now_s - follower.confirmed_s, NEVER_AGE_S)
        return {
            "fold": follower.state.next_offset,
            "fold_age_ms": round(age_s * 1000),
            "log_reachable": follower.reachable,
        }
