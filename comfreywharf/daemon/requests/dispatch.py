"""The ingress side: send a request to its owner, on this node or on another one."""

import gevent
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import PART_BYTES, BodyError
from comfreywharf.daemon.requests.caller_requests import target_left_ms
from comfreywharf.daemon.requests.replies import body_refusal, refusal
from comfreywharf.daemon.requests.retries import Retries
from comfreywharf.daemon.requests.uploads import is_inline, send_upload
from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.servers.leaving_messages import from_message, to_message
from comfreywharf.load.choice import ChoiceTerms
from comfreywharf.records import key_hash
from comfreywharf.routing import (
    GiveUp,
    Hold,
    HoldBounds,
    Outcome,
    Ownership,
    Reason,
    RecoveryTimes,
    RouteLimits,
    RouteProgress,
    after_hold,
    decide_route,
    may_have_reached_backend,
)
from comfreywharf.transport import CallError

__all__ = ["AnswerTruncated", "Dispatcher", "LocalAnswerBody", "RemoteAnswerBody"]

HOP_MARGIN_S = 0.05
"""How much longer than the request's remaining time a call waits for its answer."""

CANCEL_TIMEOUT_S = 0.5


class AnswerTruncated(Exception):
    """The rest of a streamed answer can't be read."""


class LocalAnswerBody:
    """The rest of an answer that is streamed from this node's backend server."""

    def __init__(self, stream):
        self._stream = stream

    def parts(self, first):
        """Yield the body; `AnswerTruncated` resets the caller's connection."""
        try:
            yield first
            while part := self._stream.read(PART_BYTES):
                yield part
        except BackendError as error:
            raise AnswerTruncated from error
        finally:
            self._stream.close()


class RemoteAnswerBody:
    """The rest of an answer that is streamed through another node."""

    def __init__(self, client, stream_id, deadline_s, cancel):
        self._client = client
        self._stream_id = stream_id
        self._deadline_s = deadline_s
        self._cancel = cancel

    def parts(self, first):
        """Yield the body; `AnswerTruncated` resets the caller's connection."""
        whole = False
        try:
            yield first
            while not whole:
                chunk = self._read()
                whole = chunk.last
                yield chunk.data
        finally:
            if not whole:
                self._cancel()

    def _read(self):
        timeout_s = self._deadline_s - boottime_s() + HOP_MARGIN_S
        try:
            chunk = self._client.call(
                "read_body", self._stream_id, PART_BYTES * 4, timeout_s=timeout_s
            )
        except CallError as error:
            raise AnswerTruncated from error
        if chunk.failed:
            raise AnswerTruncated
        return chunk


class Dispatcher:
    """Send requests to the nodes that serve them, with retries and holds."""

    def __init__(self, node, limits=None):
        self._node = node
        self._limits = limits or RouteLimits()
        self.retries = Retries(node, self._limits.retry_burst)
        self._recovery_times = RecoveryTimes(
            lease_s=node.settings.lease_ms / 1000,
            notice_s=node.ports.check_port_after_s,
        )
        self._hold_bounds = HoldBounds()
        self._fold_changed = Event()
        node.follower.subscribe(self._on_folded)

    def dispatch(self, call):
        """Return ``(reply, body_stream)``, the latter ``None`` for a whole body."""
        self.retries.count_request(call)
        request = call.request
        refused = self._node.load.refuse_condemned(request, call.body)
        if refused is not None:
            return refused, None
        target = self._first_target(call)
        # A suspect runs at its designated member only.
        passes = self._limits.passes if self._node.load.is_suspect(request) else 0
        reply, body_stream = self._send_measured(target, call, passes)
        self._node.load.record_reply(request, call.body, reply)
        if not reply.reason or reply.outcome != Outcome.NOT_RUN:
            return reply, body_stream
        progress = RouteProgress(
            target=target, retries_left=request.retries_left, passes=passes
        )
        return self._follow_decisions(call, progress, reply)

    def _follow_decisions(self, call, progress, reply):
        """Apply routing decisions after a first refusal, until one ends the request."""
        body_stream = None
        tried = {progress.target}
        while reply.reason:
            self.retries.learn_calls(call.service.name, reply)
            step = self._decide(call, progress, reply, tried)
            if step.retry and not self.retries.allow(call.service.name):
                step = GiveUp()
            self._report_step(step, call, reply)
            if isinstance(step, GiveUp):
                break
            progress = step.progress
            if isinstance(step, Hold):
                if not self._hold(step, call):
                    break
                progress = after_hold(progress, self._ownership(call.request))
            if call.gone:
                return refusal(Reason.CALLER_GONE_BEFORE_START), None
            call.request.retries_left = progress.retries_left
            tried.add(progress.target)
            sent = self._send_counted(progress, call, reply.reason)
            if sent is None:
                break
            reply, body_stream = sent
        if reply.outcome == Outcome.NOT_RUN and reply.status == 503:
            reply.retry_after_ms = reply.retry_after_ms or self._retry_after_ms(
                call, progress, reply
            )
        return reply, body_stream

    def _retry_after_ms(self, call, progress, reply):
        """Return when the caller may return if the refusal doesn't say it."""
        now_s = boottime_s()
        held_since_s = progress.held_since_s
        held_s = 0.0 if held_since_s is None else now_s - held_since_s
        retry_after_s = self._recovery_times.retry_after_s(
            Reason(reply.reason), bool(call.request.key), held_s
        )
        return int(retry_after_s * 1000)

    def _send_counted(self, progress, call, reason):
        """Send a request again; return ``None`` if that is a retry too many.

        ``reason`` is that of its last refusal.
        """
        if not progress.is_retry:
            return self._send_measured(progress.target, call, progress.passes)
        retry = self.retries.take(call.service.name)
        if retry is None:
            return None
        self._node.metrics.request_sent_again(call.service.name, reason)
        reply, body_stream = self._send_measured(progress.target, call, progress.passes)
        self.retries.settle(retry, reply)
        return reply, body_stream

    def _report_step(self, step, call, reply):
        kind = {GiveUp: "given_up", Hold: "held"}.get(type(step), "sent_again")
        target = "" if isinstance(step, GiveUp) else step.progress.target
        ownership = self._ownership(call.request) if call.request.key else None
        self._node.decisions.next_step(
            call,
            kind,
            reply,
            target=target,
            ownership=ownership,
            is_retry=step.retry,
            retries_left=self.retries.tokens[call.service.name],
        )

    def _decide(self, call, progress, reply, tried):
        ownership, other_member = None, ""
        if call.request.key:
            ownership = self._ownership(call.request)
        else:
            other_member = self._node.load.members.choose(
                call.service.name, tried, terms=_choice_terms(call)
            )
        return decide_route(
            progress,
            reply,
            ownership=ownership,
            other_member=other_member,
            replayable=isinstance(call.body, bytes) or call.body.replayable,
            now_s=boottime_s(),
            deadline_s=call.deadline_s,
            limits=self._limits,
        )

    def _first_target(self, call):
        request = call.request
        if request.key:
            return self._ownership(request).owner
        return self._node.load.choose(request, call.body, _choice_terms(call))

    def _ownership(self, request):
        state = self._node.follower.state
        owned_slice = state.slice_at(request.service_name, key_hash(request.key))
        if owned_slice is None:
            return Ownership()
        return Ownership(
            owner=owned_slice.owner,
            standby=owned_slice.standby,
            previous=owned_slice.previous,
        )

    def _hold(self, step, call):
        """Wait as decided; return false if too many requests are held already."""
        size_bytes = len(call.body) if isinstance(call.body, bytes) else PART_BYTES
        if not self._hold_bounds.enter(size_bytes):
            return False
        try:
            self._fold_changed.wait(step.until_s - boottime_s())
        finally:
            self._hold_bounds.leave(size_bytes)
        return True

    def _on_folded(self, record, result):
        if result.changed:
            changed, self._fold_changed = self._fold_changed, Event()
            changed.set()

    def _send_measured(self, target, call, passes):
        reply, body_stream = self._send_to_member(target, call, passes)
        if may_have_reached_backend(reply):
            call.arrivals += 1
        return reply, body_stream

    def _send_to_member(self, target, call, passes):
        if call.request.key:
            return self._send(target, call)
        remaining_ms = int((call.deadline_s - boottime_s()) * 1000)
        call.request.max_wait_ms = self._limits.max_wait_ms(passes, remaining_ms)
        members = self._node.load.members
        sent = members.record_sent(call.service.name, target)
        reply = None
        try:
            reply, body_stream = self._send(target, call)
            return reply, body_stream
        finally:
            members.record_outcome(sent, reply)

    def _send(self, target, call):
        now_s = boottime_s()
        request = call.request
        request.remaining_ms = int((call.deadline_s - now_s) * 1000)
        if call.target_deadline_s is not None:
            request.target_ms = target_left_ms((call.target_deadline_s - now_s) * 1000)
        if request.remaining_ms <= 0:
            return refusal(Reason.DEADLINE_BEFORE_START), None
        call.target = target
        if not target:
            return refusal(Reason.NO_OWNER), None
        try:
            if target == self._node.settings.node_id:
                return self._serve_locally(call, now_s)
            client = self._node.peers.client(target)
            if client is None:
                return refusal(Reason.NO_OWNER), None
            return self._call(client, call)
        except BodyError as error:
            return self._body_failed(call, error)

    def _serve_locally(self, call, now_s):
        served = self._node.forwarder.serve(call.request, call.body, now_s)
        self._node.fleet_admission.record_reply(call, served.reply)
        body_stream = LocalAnswerBody(served.stream) if served.stream else None
        return served.reply, body_stream

    def _call(self, client, call):
        node = self._node
        timeout_s = call.request.remaining_ms / 1000 + HOP_MARGIN_S
        call.request.sent_ms = int(boottime_s() * 1000)
        leaving = node.leaving_servers.beside(call.target)
        call.request.leaving = to_message(leaving, boottime_s())
        try:
            if is_inline(call.body):
                call.request.body = call.body
                reply = client.call("forward", call.request, timeout_s=timeout_s)
            else:
                reply = send_upload(client, call, timeout_s)
        except CallError as error:
            return self._call_failed(call, error), None
        self._node.fleet_admission.record_reply(call, reply)
        if reply.leaving is not None:
            leaving = from_message(reply.leaving, boottime_s())
            node.leaving_servers.record(call.target, leaving)
        if reply.stream_id:
            body_stream = RemoteAnswerBody(
                client, reply.stream_id, call.deadline_s, lambda: self.cancel(call)
            )
            return reply, body_stream
        return reply, None

    def _call_failed(self, call, error):
        if not error.sent:
            return refusal(Reason.PEER_UNREACHABLE)
        self.cancel(call)
        if boottime_s() >= call.deadline_s:
            return refusal(Reason.DEADLINE_PASSED)
        return refusal(Reason.PEER_LOST)

    def _body_failed(self, call, error):
        """Return the refusal of a request whose body broke off while it was sent."""
        self.cancel(call)
        outcome = Outcome.NOT_RUN if call.body.replayable else Outcome.UNKNOWN
        memory = self._node.caller_memory
        return body_refusal(error.reason, memory, boottime_s(), outcome), None

    def cancel(self, call):
        """Cancel a request at the node that has it: its answer is no longer needed."""
        request = call.request
        if call.target == self._node.settings.node_id:
            value = key_hash(request.key) if request.key else 0
            self._node.forwarder.cancel(request.service_name, value, request.request_id)
        elif call.target:
            gevent.spawn(self._cancel_remote, call.target, request)

    def _cancel_remote(self, target, request):
        client = self._node.peers.client(target)
        if client is None:
            return
        try:
            client.call(
                "cancel",
                request.service_name,
                request.key,
                request.request_id,
                timeout_s=CANCEL_TIMEOUT_S,
            )
        except CallError:
            # The request still ends at its deadline, which the owner enforces.
            return


def _choice_terms(call):
    now_s = boottime_s()
    target_s = call.target_deadline_s
    return ChoiceTerms(
        now_s=now_s,
        target_s=None if target_s is None else target_s - now_s,
        remaining_s=call.deadline_s - now_s,
        long_body=not is_inline(call.body),
    )
