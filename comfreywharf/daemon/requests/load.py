"""Load management of a node: admission, choice of members, and quarantine."""

import contextlib
import random
from functools import partial

import attrs
import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.admission import Admission, Slot
from comfreywharf.daemon.requests.bodies import StreamedBody
from comfreywharf.daemon.requests.collecting import (
    BodyCollectionLimiter,
    collect,
    is_collected,
)
from comfreywharf.daemon.requests.fleet_admission import ServerLevel
from comfreywharf.daemon.requests.members import Members
from comfreywharf.daemon.requests.quarantine import NodeQuarantine, request_fingerprint
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.daemon.servers.server_load import ServerLoadWatch
from comfreywharf.daemon.servers.statements import AnswerKind
from comfreywharf.load import HotKeys, Standing
from comfreywharf.load.admission import AdmissionState, Result
from comfreywharf.load.bounds import ArrivalBounds
from comfreywharf.load.coldstart import ColdLimit
from comfreywharf.load.estimates import work_kind
from comfreywharf.load.nested import NestedCalls
from comfreywharf.load.ratelimit import ServerRateLimit
from comfreywharf.records import ServiceConfig
from comfreywharf.routing import SAFE_METHODS, Reason
from comfreywharf.transport.gen.ttypes import Header

__all__ = ["Load"]

_RESULTS = {
    Reason.REFUSED_BY_BACKEND: Result.REFUSED,
    Reason.NO_BACKEND: Result.UNUSED,
    Reason.NOT_YET_OWNER: Result.UNUSED,
    Reason.BAD_REQUEST: Result.UNUSED,
    Reason.CALLER_GONE_BEFORE_START: Result.UNUSED,
    Reason.DEADLINE_BEFORE_START: Result.UNUSED,
}
"""The admission result for each refusal; any other refusal counts as a failure."""

SHED_REPORT_S = 5.0
"""Minimum time between two events about shed requests."""

SUSPECT_HEADER = "Comfreywharf-Suspect"
"""Set by an ingress node on a request that has to run alone. Callers can't set it,
since their headers with this prefix are dropped."""

_SHED_REASONS = frozenset(
    reason.value
    for reason in (
        Reason.OVERLOADED,
        Reason.BACKEND_COLD,
        Reason.BACKEND_LIMITED,
        Reason.DEADLINE_BEFORE_START,
    )
)
_LOST_REASONS = frozenset({Reason.BACKEND_LOST, Reason.ANSWER_CUT})


class Load:
    """The interface of the request path to load management; see docs/design/load.md.

    At the owner, `enter` is called for each request, and may wait or refuse it. One
    call of `finish` ends the request. In between, `refused`, `answered` or
    `answer_interrupted` records its result.
    """

    def __init__(self, node):
        self._node = node
        self._random = random.Random(f"load {node.settings.node_id} {node.incarnation}")
        self._admission = None
        self._level = None
        self.cold = ColdLimit(began_s=node.process_start_s)
        self.rate_limit = ServerRateLimit()
        self.server_load = ServerLoadWatch(node)
        self._bounds = ArrivalBounds(self.cold, self.rate_limit)
        self._orders_name_limit = False
        self._damaged_limit_reported = False
        self._backend_service = ""
        self._incarnation = None
        self._bounded = False
        node.routes.subscribe(lambda table: self._update_cold_terms())
        window_s = node.ports.placement.hot_window_s
        self._hot = HotKeys(boottime_s(), window_s)
        self._shed_count = 0
        self._shed_reported_s = float("-inf")
        self.quarantine = NodeQuarantine(node)
        self._collection_limiter = BodyCollectionLimiter()
        self.members = Members(node)
        self.nested = NestedCalls()

    # The backend server beside this node.

    def backend_announced(self):
        """Start a new admission for an instance that has just announced itself."""
        self.quarantine.confirm_crash()
        incarnation = self._node.backend.announcement.incarnation
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._orders_name_limit = self._damaged_limit_reported = False
            self._report_limit(self.rate_limit.lift())
            self.server_load.reset()
        self._begin_admission()

    def reset_admission(self):
        """Refuse the requests that wait for an instance that is gone."""
        self._begin_admission()

    def record_cold(self, service, remaining_s):
        """Record for how long the backend server reports that it stays cold."""
        self._backend_service = service
        self.cold.set_cold(remaining_s, boottime_s())
        self._update_cold_terms()

    def _update_cold_terms(self):
        """Apply the terms of the routes, which a node may receive after a heartbeat."""
        service = self._node.routes.table.service(self._backend_service)
        self.cold.terms = self._node.ports.cold_terms(service)
        was_bounded, self._bounded = self._bounded, self.cold.is_cold(boottime_s())
        if self._bounded and not was_bounded:
            remaining_s = self.cold.cold_left_s(boottime_s())
            self._node.report(
                "backend_cold",
                service=self._backend_service,
                remaining_ms=int(remaining_s * 1000),
                requests_per_s=self.cold.terms.requests_per_s,
            )

    def record_limit(self, kind, statement, now_s):
        """Apply the limit that an answer of the backend server names, or its absence.

        Answers to orders may never name a limit. Without one they only lift it if an
        earlier one has named it.
        """
        if statement.damaged_limit is not None:
            self._report_damaged_limit(statement.damaged_limit)
            return
        is_order = kind is AnswerKind.ORDER
        if statement.limit_per_s is not None:
            self._orders_name_limit |= is_order
            change = self.rate_limit.record_named(statement.limit_per_s, now_s)
        elif is_order and not self._orders_name_limit:
            return
        else:
            change = self.rate_limit.record_unnamed(now_s)
        self._report_limit(change)

    def probe_limit(self, now_s):
        """Probe a limited server that hasn't answered for a while."""
        if self._node.backend is not None and self.rate_limit.take_probe(now_s):
            gevent.spawn(self._node.backend.probe)

    def _report_limit(self, change):
        if change is None:
            return
        service = self._node.backend.announcement.service if self._node.backend else ""
        if change.after_per_s is None:
            self._node.report(
                "limit_lifted", service=service, before_per_s=change.before_per_s
            )
        else:
            self._node.report(
                "backend_limited",
                service=service,
                requests_per_s=change.after_per_s,
                before_per_s=change.before_per_s,
            )

    def _report_damaged_limit(self, text):
        self._node.metrics.damaged_limit_read()
        if not self._damaged_limit_reported:
            self._damaged_limit_reported = True
            self._node.report("damaged_limit", found=text)

    def _begin_admission(self):
        if self._admission is not None:
            self._admission.close()
        self._admission = self._level = None
        backend = self._node.backend
        if backend is not None:
            slots = max(backend.announcement.slots, 1)
            limit = self._node.ports.make_limit(slots)
            length = ServiceConfig(name="").queue_length
            queue = self._node.ports.make_queue()
            state = AdmissionState(
                limit,
                length,
                self._random,
                bounds=self._bounds,
                queue=queue,
            )
            self._admission = Admission(state)
            if self._node.ports.fleet_admission:
                service = backend.announcement.service
                state.minimums.started = self._node.metrics.minimum_starts[service]
                self._level = ServerLevel(self._node, service, state)

    # At the owner.

    def count(self, right):
        """Count a request for the hot-key report."""
        if right.key_hash:
            self._hot.count(right.service, right.key_hash, boottime_s())

    def enter(self, request, body, running):
        """Return the request's `Slot` once the request is admitted or refused.

        The right to serve is released during the wait: nothing was forwarded under
        it, and a move of the key would otherwise have to wait for the queue.
        """
        slot = Slot(request, body)
        self._node.load_reports.count_work(running.right, work_kind(request))
        standing = self._standing(slot)
        if standing is Standing.CONDEMNED:
            slot.refused = self._quarantine_refusal(slot.fingerprint)
            return slot
        admission = self._admission
        if admission is None:
            slot.refused = refusal(Reason.NO_BACKEND)
            return slot
        service = self._node.follower.state.config.services.get(request.service_name)
        if service is not None:
            admission.state.queue_length = service.queue_length
        alone = standing is Standing.SUSPECT or _is_marked(request)
        right = running.right
        with contextlib.ExitStack() as stack:
            if is_collected(body, request.body_bytes):
                self._collect(slot, running, admission, stack)
            if slot.refused is None:
                flow = right.key_hash or None
                admission.enter(slot, flow, running.deadline_s, alone, boottime_s())
            self._record_arrival(slot)
            if slot.decision_event is not None:
                self._wait(slot, running)
        if slot.refused is None and running.right is not right:
            self._reacquire_right(slot, running, right)
        if slot.refused is None:
            _watch_stalls(slot, admission.state)
            self.quarantine.record_start(slot)
        elif slot.refused.reason in _SHED_REASONS:
            self._count_shed(request.service_name)
        return slot

    def _record_arrival(self, slot):
        """Record the demand, except what is passed on and counted elsewhere."""
        passed_on = slot.refused is not None and slot.request.max_wait_ms is not None
        if self._level is not None and not passed_on:
            ticket = slot.ticket
            missed = slot.refused is not None or (ticket is not None and ticket.late)
            self._level.record_arrival(slot.request, boottime_s(), missed)

    def admission_level(self, service):
        """Return the server's `AdmissionLevel` for a reply; ``None`` if it has none."""
        if self._level is None:
            return None
        return self._level.message(service, boottime_s())

    def _collect(self, slot, running, admission, stack):
        """Collect the body of the slot's request, unless the request is refused first.

        The permit for the body is released when the stack exits.
        """
        ahead = self._collection_limiter.waiting
        slot.refused = _refusal_before_body(slot, running, admission, ahead)
        if slot.refused is not None:
            return
        self._release_right(running)
        refuse = partial(_refusal_before_body, slot, running, admission)
        permit = self._collection_limiter.permit(running.deadline_s, refuse)
        slot.refused = stack.enter_context(permit)
        if slot.refused is None:
            slot.refused = refuse(0)
        if slot.refused is not None:
            return
        # Its body would be sent again if it were passed on from here.
        slot.request.max_wait_ms = None
        size_bytes = slot.request.body_bytes
        slot.body = collect(slot.body, size_bytes, running.deadline_s)

    def _count_shed(self, service):
        self._shed_count += 1
        now_s = boottime_s()
        if now_s - self._shed_reported_s < SHED_REPORT_S:
            return
        self._node.report(
            "requests_shed",
            service=service,
            count=self._shed_count,
            waiting=self.waiting(),
        )
        self._shed_count = 0
        self._shed_reported_s = now_s

    def _release_right(self, running):
        """Release the right to serve for as long as the request waits."""
        self._node.leases.finish(running.right)
        running.right = attrs.evolve(running.right, ticket=0)

    def _wait(self, slot, running):
        self._release_right(running)
        running.abort = partial(slot.admission.give_up, slot)
        slot.decision_event.wait()
        running.abort = None

    def _reacquire_right(self, slot, running, right):
        """Acquire the released right again; refuse the request if it has changed."""
        now_s = boottime_s()
        request = slot.request
        again = self._node.leases.acquire(
            request.service_name, request.key, now_s, running.deadline_s - now_s
        )
        leaves = not self._node.accepts_requests
        if not leaves and again.reason is None and again.fence == right.fence:
            running.right = again
            running.deadline_s = min(running.deadline_s, again.deadline_s)
            return
        # The key may have had another owner in the meantime. Its requests may have
        # run there, so that the earlier lookup in the memory of answers is stale.
        self._node.leases.finish(again)
        reason = Reason.DRAINING if leaves and not request.key else again.reason
        slot.refused = refusal(
            reason or Reason.NOT_YET_OWNER, owner_hint=again.owner_hint
        )
        slot.result = Result.UNUSED
        slot.admission.finish(slot)

    def answered(self, slot):
        """Record an answer of the backend server."""
        slot.result = Result.ANSWERED
        self.nested.record_run(boottime_s())

    def refused(self, slot, reason, backend):
        """Record a request without an answer, and the reason."""
        slot.result = _RESULTS.get(reason, Result.FAILED)
        if reason in _LOST_REASONS:
            self.quarantine.connection_lost(slot, backend)

    def answer_interrupted(self, slot, backend):
        """Record that a streamed answer broke off, or that its caller disconnected.

        No caller waits for the answer any more, so that the request can be cancelled
        without delay.
        """
        slot.result = Result.FAILED
        self.quarantine.connection_lost(slot, backend, wait_s=0)

    def finish(self, slot):
        """End an admitted request; it no longer occupies the server."""
        if slot is None or slot.refused is not None:
            return
        self.quarantine.record_end(slot, slot.result is Result.ANSWERED)
        is_current = slot.admission is self._admission
        if slot.result is Result.ANSWERED and is_current:
            self.server_load.record_answer(slot.ticket.started_s, boottime_s())
        if self._level is not None:
            self._level.record_work(slot, boottime_s())
        slot.admission.finish(slot)

    # At the ingress.

    def refuse_condemned(self, request, body):
        """Return the reply to a condemned request, or ``None`` if it isn't condemned.

        A suspect is marked, so that its owner runs it alone even if the owner hasn't
        been notified of the crash.
        """
        if self.quarantine.is_empty():
            return None
        fingerprint = request_fingerprint(request, body)
        standing = self.quarantine.standing(fingerprint, boottime_s())
        if standing is Standing.CONDEMNED:
            return self._quarantine_refusal(fingerprint)
        if standing is Standing.SUSPECT:
            request.headers.append(Header(name=SUSPECT_HEADER, value="1"))
        return None

    def is_suspect(self, request):
        """Return whether `refuse_condemned` marked a request as a suspect."""
        return not self.quarantine.is_empty() and _is_marked(request)

    def record_reply(self, request, body, reply):
        """Update the quarantine with the reply that an ingress node got for a request.

        The first part of a streamed body is no longer available, so that such a
        request has no fingerprint here and is ignored.
        """
        if not isinstance(body, bytes):
            return
        if reply.reason == Reason.BACKEND_LOST.value:
            fingerprint = request_fingerprint(request, body)
            self.quarantine.mark_suspect(fingerprint, request.service_name)
        elif not reply.reason and _is_marked(request):
            self.quarantine.clear_suspect(request_fingerprint(request, body))

    def choose(self, request, body, terms=None):
        """Return the member that a request without a key goes to first.

        ``terms`` are its `ChoiceTerms`.
        """
        if not self.quarantine.is_empty():
            fingerprint = request_fingerprint(request, body)
            if self.quarantine.standing(fingerprint, boottime_s()) is Standing.SUSPECT:
                # If copies of a suspect were sent to any member, they could run
                # at several servers at a time, and crash all of them.
                return self.members.designated(request.service_name, fingerprint)
        idempotent = request.method in SAFE_METHODS
        return self.members.choose(request.service_name, (), idempotent, terms)

    # For the planner's report and the metrics.

    def hot_keys(self):
        """Return ``(service, key_hash, requests_per_s)`` of the hottest keys."""
        return [
            (found.service, found.key_hash, found.requests_per_s)
            for found in self._hot.hottest(boottime_s())
        ]

    def busy_fraction(self):
        """Return the fraction of the backend server's slots that is in use."""
        return self._admission.busy_fraction if self._admission else 0.0

    @property
    def admission_state(self):
        """Return the `AdmissionState` of the current backend server, or ``None``."""
        return self._admission.state if self._admission else None

    def cold_requests_per_s(self):
        """Return what the server bears for long while it is cold; ``None`` if warm."""
        if not self.cold.is_cold(boottime_s()):
            return None
        return self.cold.terms.sustained_per_s

    def service_ms(self):
        """Return a request's mean time at the backend server; 0 if unknown."""
        return self._admission.state.times.mean_s * 1000 if self._admission else 0.0

    def kind_times(self):
        """Return the `ServiceTimes` of each kind of request at the backend server."""
        return self._admission.state.kind_times if self._admission else {}

    def waiting(self):
        """Return how many requests wait for a slot."""
        queued = self._admission.state.waiting if self._admission else 0
        return queued + self._collection_limiter.waiting

    def _standing(self, slot):
        if self.quarantine.is_empty():
            return Standing.TRUSTED
        return self.quarantine.standing(slot.fingerprint, boottime_s())

    def _quarantine_refusal(self, fingerprint):
        wait_ms = self.quarantine.retry_after_ms(fingerprint, boottime_s())
        return refusal(Reason.QUARANTINED, retry_after_ms=wait_ms)


def _watch_stalls(slot, state):
    """Have a streamed body given up if it stalls while others wait for its slot."""
    if isinstance(slot.body, StreamedBody):
        slot.body.is_slot_wanted = lambda: state.waiting > 0


def _is_marked(request):
    return any(header.name == SUSPECT_HEADER for header in request.headers)


def _refusal_before_body(slot, running, admission, ahead):
    """Return the refusal of a request whose body shouldn't be sent, or ``None``."""
    if running.cancelled:
        return refusal(Reason.CALLER_GONE_BEFORE_START)
    return admission.refuse_before_body(
        slot.request, running.deadline_s, ahead, boottime_s()
    )
