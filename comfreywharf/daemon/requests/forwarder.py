"""The owner's side: forward a request to the backend server beside this node."""

import math

import gevent
from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import WHOLE_BODY_BYTES, BodyError
from comfreywharf.daemon.requests.memory import resend_mark
from comfreywharf.daemon.requests.replies import (
    answer_to_remember,
    refusal,
    reply_from_answer,
)
from comfreywharf.daemon.requests.running import RunningRequests
from comfreywharf.daemon.requests.wire import answer_headers
from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.daemon.servers.leaving_messages import from_message, to_message
from comfreywharf.routing import (
    SAFE_METHODS,
    BeginStatus,
    Outcome,
    Reason,
    RequestKey,
)
from comfreywharf.transport.gen.ttypes import ForwardReply, Header

__all__ = ["AnswerStream", "Forwarder", "StreamedReply"]

RESEND_MARGIN_S = 1.0
"""Time that a request may have been in transit before its age was measured."""


class StreamedReply:
    """A reply, and the `AnswerStream` for the rest of its body, or ``None``."""

    def __init__(self, reply, stream=None):
        self.reply = reply
        self.stream = stream


class AnswerStream:
    """The rest of an answer that is streamed; closing it ends the request."""

    def __init__(self, response, deadline_s, close):
        self._response = response
        self.deadline_s = deadline_s
        self._close = close

    def read(self, size_bytes):
        """Return the next part, or ``b""`` at the end; raises `BackendError`."""
        try:
            with gevent.Timeout(self.deadline_s - boottime_s()):
                part = self._response.read(size_bytes)
        except (gevent.Timeout, OSError, HTTPParseError) as error:
            self.close()
            raise BackendError(Reason.ANSWER_CUT, str(error)) from error
        if not part:
            self.close()
        return part

    def close(self):
        """End the request, and cancel it unless its answer was read to the end."""
        close, self._close = self._close, None
        if close is not None:
            self._response.release()
            close(whole=self._response.whole)


class Forwarder:
    """Serve requests whose key this node owns, or that need no owner."""

    def __init__(self, node):
        self._node = node
        self._running = RunningRequests(node)

    def serve(self, request, body, now_s):
        """Forward a request to the backend server and return a `StreamedReply`.

        ``body`` is bytes or an iterator of bytes.
        """
        node = self._node
        if request.leaving is not None:
            # The sender may know more of the server than a process that restarted.
            node.ports.server_leaves(from_message(request.leaving, now_s))
        served = self._serve(request, body, now_s)
        served.reply.leaving = to_message(node.leaving_backend, boottime_s())
        served.reply.admission = node.load.admission_level(request.service_name)
        if not request.key:
            # Other nodes choose among the servers by what their replies tell.
            cold_left_s = node.load.cold.cold_left_s(boottime_s())
            served.reply.cold_ms = math.ceil(cold_left_s * 1000) or None
            served.reply.limit_per_s = node.load.rate_limit.limit_per_s
            replied_s = boottime_s()
            served.reply.load = node.load.server_load.message(replied_s)
            served.reply.passed_loads = node.load.members.passed_loads(
                request.service_name, replied_s
            )
        return served

    def _serve(self, request, body, now_s):
        deadline_s = now_s + request.remaining_ms / 1000
        if not self._node.accepts_requests:
            reason = Reason.NOT_YET_OWNER if request.key else Reason.DRAINING
            return StreamedReply(refusal(reason))
        while True:
            right = self._node.leases.acquire(
                request.service_name, request.key, now_s, deadline_s - now_s
            )
            if right.reason is not None:
                self._node.decisions.no_right(request, right, now_s)
                hint = right.owner_hint
                return StreamedReply(refusal(right.reason, owner_hint=hint))
            self._node.load_reports.count(right)
            self._node.load.count(right)
            must_run_once = request.key and request.method not in SAFE_METHODS
            if not must_run_once or not self._node.ports.remembers_answers:
                return self._forward(request, body, right, deadline_s, None)
            served = self._serve_once(request, body, right, now_s, deadline_s)
            if served is not None:
                return served
            now_s = boottime_s()

    @property
    def running(self):
        """Return how many requests are at the backend server."""
        return len(self._running)

    def runs(self):
        """Return the `Run` of each request at the backend server."""
        return self._running.runs()

    def awaited_since(self, time_s):
        """Return how many requests were sent by a time and await their answers."""
        return self._running.awaited_since(time_s)

    def cancel(self, service, key_hash, request_id):
        """Cancel a request whose caller disconnected, if it still runs."""
        self._running.cancel(RequestKey(service, key_hash, request_id))

    def _serve_once(self, request, body, right, now_s, deadline_s):
        """Run a request unless it ran before; return a `StreamedReply`.

        Return ``None`` if `serve` has to try again, which is the case after a wait for
        the first send of the same request.
        """
        node = self._node
        key = RequestKey(request.service_name, right.key_hash, request.request_id)
        found = node.memory.begin(
            key,
            mark=resend_mark(request, body),
            first_sent_s=self._first_sent_s(request, now_s),
            memory_complete_since_s=right.memory_complete_since_s,
            now_s=now_s,
        )
        if found.begin_status == BeginStatus.FIRST:
            return self._run_and_remember(request, body, right, deadline_s, key)
        node.leases.finish(right)
        if found.begin_status == BeginStatus.RUNNING:
            # The right to serve is released during the wait. It would delay a move
            # of the key, although nothing was forwarded under it.
            if node.memory.wait(key, deadline_s - boottime_s()):
                return None
            return StreamedReply(refusal(Reason.DEADLINE_PASSED))
        if found.begin_status == BeginStatus.KNOWN:
            return StreamedReply(reply_from_answer(found.answer))
        if found.begin_status == BeginStatus.REUSED:
            return StreamedReply(refusal(Reason.REQUEST_ID_REUSED))
        return StreamedReply(refusal(Reason.NOT_VOUCHED))

    def _first_sent_s(self, request, now_s):
        ago_ms = request.first_sent_ago_ms
        if ago_ms == 0:
            return None
        if ago_ms < 0:
            return now_s - self._node.memory.answers.limits.age_s
        return now_s - ago_ms / 1000 - RESEND_MARGIN_S

    def _run_and_remember(self, request, body, right, deadline_s, key):
        memory = self._node.memory
        served = None
        try:
            served = self._forward(request, body, right, deadline_s, key)
            return served
        finally:
            if served is None:
                reply = refusal(Reason.INTERNAL)
                memory.finish(key, answer_to_remember(reply, True), boottime_s())
            elif served.reply.outcome == Outcome.NOT_RUN:
                memory.forget(key)
            else:
                answer = answer_to_remember(served.reply, served.stream is None)
                memory.finish(key, answer, boottime_s())

    def _forward(self, request, body, right, deadline_s, key):
        node = self._node
        backend = node.backend
        deadline_s = min(deadline_s, right.deadline_s)
        # An address may be reassigned to a server of another service. A node that
        # hasn't folded the new server's record yet still sends requests of the
        # previous service here.
        is_other_service = (
            backend and backend.announcement.service != request.service_name
        )
        if backend is None or is_other_service or boottime_s() >= deadline_s:
            node.leases.finish(right)
            if backend is None or is_other_service:
                reply = refusal(Reason.NO_BACKEND)
            else:
                reply = refusal(Reason.DEADLINE_BEFORE_START)
            return StreamedReply(reply)
        running = self._running.enter(request, right, deadline_s)
        refused = self._admit(request, body, running)
        if refused is not None:
            return refused
        exchange = _Exchange(node, self._running, running, backend, key)
        try:
            return exchange.run(request, running.slot.body)
        except BaseException:
            # Whatever the error was, the request may have been sent.
            exchange.give_up()
            raise

    def _admit(self, request, body, running):
        """Wait for a slot of the backend server; return a refusal, or ``None``."""
        reply = None
        queued_since_s = boottime_s()
        try:
            running.slot = self._node.load.enter(request, body, running)
            reply = running.slot.refused
        except BodyError as error:
            reply = refusal(error.reason, outcome=Outcome.NOT_RUN)
        finally:
            if running.slot is None or reply is not None:
                self._running.complete(running)
        metrics, service = self._node.metrics, request.service_name
        metrics.stage_ended(service, "queue", boottime_s() - queued_since_s)
        if reply is not None:
            metrics.not_admitted(service, reply.reason)
            state = self._node.load.admission_state
            self._node.decisions.not_admitted(request, reply, state, boottime_s())
        return None if reply is None else StreamedReply(reply)


class _Exchange:
    """One attempt of a request at the backend server."""

    def __init__(self, node, all_running, running, backend, key):
        self._node = node
        self._dialect = node.ports.dialect
        self._all_running = all_running
        self._running = running
        self._backend = backend
        self._key = key
        self._request = None
        self._sent_s = None
        self._ended = False

    def run(self, request, body):
        """Return a `StreamedReply`."""
        self._request = request
        instance = self._backend.announcement.instance
        lines = self._dialect.request_lines(request, self._running, instance)
        if lines is None:
            self._node.load.refused(
                self._running.slot, Reason.BAD_REQUEST, self._backend
            )
            self._complete()
            return StreamedReply(refusal(Reason.BAD_REQUEST))
        self._sent_s = boottime_s()
        try:
            response = self._exchange(request, lines, body)
            self._running.answered = True
            spent_s = boottime_s() - self._sent_s
            self._node.metrics.stage_ended(request.service_name, "server", spent_s)
            return self._reply(response)
        except BackendError as error:
            return self._refuse(error.reason, str(error))
        except BodyError as error:
            self.give_up()
            reply = refusal(error.reason, outcome=Outcome.UNKNOWN)
            return StreamedReply(reply)

    def _exchange(self, request, lines, body):
        try:
            return self._backend.exchange(request, lines, body, self._running)
        finally:
            if self._running.sent:
                self._node.metrics.backend_request_sent(request.service_name)

    def give_up(self):
        """Stop waiting for the request, which may still take effect and ends later."""
        if not self._ended:
            self._ended = True
            self._all_running.complete_later(self._running, self._backend, self._forget)

    def _complete(self):
        if not self._ended:
            self._ended = True
            self._all_running.complete(self._running)

    def _forget(self):
        if self._key is not None:
            self._node.memory.forget(self._key)

    def _refuse(self, reason, detail=""):
        self._node.load.refused(self._running.slot, reason, self._backend)
        if reason is Reason.NOT_YET_OWNER:
            self._node.grants.handle_refusal(self._running.right, self._sent_s)
        instance = self._backend.announcement.instance
        self._node.decisions.backend_failed(
            self._request, self._running, instance, reason, detail
        )
        reply = refusal(reason)
        reply.backend_reached = self._running.sent
        if reply.outcome == Outcome.NOT_RUN:
            if reply.backend_reached:
                nested = self._node.load.nested.calls_per_run(boottime_s())
                reply.calls_per_run = nested
            # It may accept the next attempt once it has finished another request.
            reply.retry_after_ms = int(self._node.load.service_ms())
            self._complete()
        else:
            self.give_up()
        return StreamedReply(reply)

    def _reply(self, response):
        try:
            body = self._read_start(response)
            request_id = self._running.key.request_id
            refused = self._dialect.refused(response, request_id)
            if refused is not None:
                return self._refuse(refused)
            if not self._dialect.answers_request(response, request_id):
                raise BackendError(Reason.ANSWER_MIXED, "an answer to another request")
            # A node that resumes after a long pause still considers its lease valid.
            # Callers would get answers of two owners for one key within the length
            # of a lease. The outcome of such a late answer is reported as unknown.
            if not self._node.leases.may_forward_answer(
                self._running.right, boottime_s()
            ):
                raise BackendError(
                    Reason.LEASE_LAPSED,
                    "the answer arrived after the deadline of the lease",
                )
        except BaseException:
            response.release()
            raise
        self._node.load.answered(self._running.slot)
        if self._request.key:
            self._node.leases.work_times.add(boottime_s() - self._sent_s)
        reply = _forward_reply(response, body)
        if response.whole and not response.buffered_bytes:
            self._complete()
            return StreamedReply(reply)
        stream = AnswerStream(response, self._running.deadline_s, self._close_stream)
        self._running.abort = stream.close
        return StreamedReply(reply, stream)

    def _read_start(self, response):
        if response.whole:
            return response.read(WHOLE_BODY_BYTES)
        try:
            with gevent.Timeout(self._running.deadline_s - boottime_s()):
                return response.read(WHOLE_BODY_BYTES)
        except gevent.Timeout as error:
            raise BackendError(
                Reason.DEADLINE_PASSED,
                "the answer's body was not received before the deadline",
            ) from error
        except (OSError, HTTPParseError) as error:
            cancelled = self._running.cancelled
            reason = Reason.CALLER_GONE if cancelled else Reason.ANSWER_CUT
            raise BackendError(reason, str(error)) from error

    def _close_stream(self, whole):
        if whole:
            self._complete()
        else:
            self._node.load.answer_interrupted(self._running.slot, self._backend)
            self.give_up()


def _forward_reply(response, body):
    headers = answer_headers(response)
    length = response.get("content-length")
    if length and (response.method == "HEAD" or not response.whole):
        headers.append(Header(name="Content-Length", value=length))
    return ForwardReply(
        outcome=Outcome.ANSWERED,
        status=response.status_code,
        headers=headers,
        body=body,
        stream_id=0,
        reason="",
        retry_after_ms=0,
        owner_hint="",
        event_clock=0,
        retries_left=0,
    )
