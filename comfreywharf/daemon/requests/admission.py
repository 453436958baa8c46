"""Admission of requests: block greenlets that wait for a slot, and wake them.

The decisions are those of `comfreywharf.load.admission`, which does no I/O.
"""

import gevent
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.caller_requests import TARGET_PASSED_MS
from comfreywharf.daemon.requests.quarantine import request_fingerprint
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.load import Ticket
from comfreywharf.load.admission import (
    Arrived,
    Begin,
    CallerDisconnected,
    Finished,
    Result,
    TimePassed,
    decide,
    shed_before_body,
)
from comfreywharf.load.estimates import work_kind
from comfreywharf.routing import Reason

__all__ = ["Admission", "Slot"]

TICK_S = 0.05
"""Interval at which the deadlines of waiting requests are checked."""

MIN_TICK_S = 0.002
"""Shortest interval between two checks while a server's requests are bounded."""


class Slot:
    """One request in admission, and afterwards at the backend server.

    ``refused`` is the reply to a request that isn't forwarded. ``decision_event`` is
    an `Event` that is set once a waiting request is admitted or refused; it is ``None``
    if the request doesn't have to wait. ``result`` is the outcome for admission; it is
    a failure until another one is recorded.
    """

    def __init__(self, request, body):
        self.request = request
        self.body = body
        self.ticket = None
        self.admission = None
        self.refused = None
        self.decision_event = None
        self.result = Result.FAILED
        self._fingerprint = ""
        if not isinstance(body, bytes):
            # The fingerprint needs the first part of the body, which is no longer
            # available once the body is being sent.
            self._fingerprint = request_fingerprint(request, body)

    def record_sent(self, now_s):
        """Record that the request is sent to the backend server now."""
        if self.admission is not None:
            self.admission.record_sent(self, now_s)

    @property
    def fingerprint(self):
        """Return the request's fingerprint, computed on first use."""
        if not self._fingerprint:
            self._fingerprint = request_fingerprint(self.request, self.body)
        return self._fingerprint


class Admission:
    """Admission to one instance of the backend server."""

    def __init__(self, state):
        self.state = state
        self._waiting = {}
        self._ticker = None

    @property
    def busy_fraction(self):
        """Return the fraction of the slots that is in use."""
        return len(self.state.in_flight) / max(self.state.limit.slots, 1)

    def refuse_before_body(self, request, deadline_s, ahead, now_s):
        """Return the refusal of a request that should be shed before its body is sent.

        Return ``None`` if its body should be sent. ``ahead`` is the number of requests
        that wait for their bodies to be sent before this one.
        """
        ticket = _ticket(request, None, deadline_s, False, now_s)
        shed = shed_before_body(self.state, ticket, ahead, now_s)
        if shed is None:
            return None
        return refusal(shed.reason, retry_after_ms=int(shed.retry_after_s * 1000))

    def enter(self, slot, flow, deadline_s, alone, now_s):
        """Request admission; create ``slot.decision_event`` if the request waits."""
        slot.admission = self
        slot.ticket = ticket = _ticket(slot.request, flow, deadline_s, alone, now_s)
        self._waiting[ticket] = slot
        self._apply(decide(self.state, Arrived(ticket), now_s))
        if ticket not in self._waiting:
            return
        slot.decision_event = Event()
        if not self._ticker:
            self._ticker = gevent.spawn(self._tick)

    def record_sent(self, slot, now_s):
        """Count a request that is sent to the server now."""
        self.state.bounds.record_sent(slot.ticket, now_s)

    def finish(self, slot):
        """Release the slot."""
        event = Finished(slot.ticket, slot.result)
        self._apply(decide(self.state, event, boottime_s()))

    def give_up(self, slot):
        """End the wait of a request whose caller disconnected."""
        if slot.ticket not in self._waiting:
            return
        actions = decide(self.state, CallerDisconnected(slot.ticket), boottime_s())
        self._refuse(slot.ticket, Reason.CALLER_GONE_BEFORE_START, 0)
        self._apply(actions)

    def close(self):
        """Refuse all waiting requests: this backend server instance is gone."""
        for ticket in list(self._waiting):
            self._refuse(ticket, Reason.NO_BACKEND, 0.0)

    def _tick(self):
        while self._waiting:
            gevent.sleep(self._tick_s(boottime_s()))
            self._apply(decide(self.state, TimePassed(), boottime_s()))

    def _tick_s(self, now_s):
        """Return how long to sleep: until a bounded server takes its next request."""
        opens_in_s = self.state.bounds.wait_s(1, now_s)
        if not opens_in_s:
            return TICK_S
        return min(max(opens_in_s, MIN_TICK_S), TICK_S)

    def _apply(self, actions):
        for action in actions:
            if isinstance(action, Begin):
                slot = self._waiting.pop(action.ticket, None)
                if slot is None:
                    self._admitted_after_close(action.ticket)
                else:
                    _wake(slot)
            else:
                self._refuse(action.ticket, action.reason, action.retry_after_s)

    def _admitted_after_close(self, ticket):
        # The request was refused when the instance was lost. Its slot is released.
        event = Finished(ticket, Result.UNUSED)
        self._apply(decide(self.state, event, boottime_s()))

    def _refuse(self, ticket, reason, retry_after_s):
        slot = self._waiting.pop(ticket, None)
        if slot is not None:
            slot.refused = refusal(reason, retry_after_ms=int(retry_after_s * 1000))
            _wake(slot)


def _ticket(request, flow, deadline_s, alone, now_s):
    # What counts for a nested call is the target of the request that it is made for.
    # Marked late for its own target, it would wait behind all less urgent requests.
    has_target = request.target_ms and not request.nested
    target_s = now_s + request.target_ms / 1000 if has_target else None
    max_wait_ms = request.max_wait_ms
    ticket = Ticket(
        flow=flow,
        deadline_s=deadline_s,
        arrived_s=now_s,
        alone=alone,
        rank=request.priority,
        kind=work_kind(request),
        target_s=target_s,
        max_wait_s=None if max_wait_ms is None else max_wait_ms / 1000,
        nested=bool(request.nested),
    )
    if has_target and request.target_ms == TARGET_PASSED_MS:
        # The request was refused before, and its latency target has passed. It gets
        # only slots that other requests leave unused, so that it delays none of them.
        ticket.mark_late()
    return ticket


def _wake(slot):
    if slot.decision_event is not None:
        slot.decision_event.set()
