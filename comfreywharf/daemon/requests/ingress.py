"""Accept callers' requests, dispatch them and return their answers."""

import attrs
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.closing import reset_on_close
from comfreywharf.daemon.requests.bodies import (
    WHOLE_BODY_BYTES,
    BodyError,
    CallerBody,
)
from comfreywharf.daemon.requests.caller_watch import Call, CallerWatch
from comfreywharf.daemon.requests.dispatch import AnswerTruncated
from comfreywharf.daemon.requests.replies import body_refusal, refusal
from comfreywharf.daemon.servers.nested_calls import NestedCallMarker
from comfreywharf.routing import Reason
from comfreywharf.transport.arrivals import unread_s

__all__ = ["BodySource", "Ingress"]


@attrs.frozen(kw_only=True)
class BodySource:
    """The stream of a caller's body, with its declared length and transfer coding."""

    coding: str | None
    length: int
    stream: object


class Ingress:
    """Serve callers' requests, whichever protocol they came by."""

    def __init__(self, node, dispatcher):
        self._node = node
        self._dispatcher = dispatcher
        self.watch = CallerWatch(dispatcher.cancel)
        self._nested_calls = NestedCallMarker(node, node.forwarder.runs)
        self._streaming = 0

    @property
    def streaming(self):
        """Return how many callers are being sent a large answer."""
        return self._streaming

    @property
    def running(self):
        """Return how many callers wait for an answer or are being sent one."""
        return len(self.watch) + self._streaming

    @property
    def retry_tokens(self):
        """Return how many retries of each service are allowed now."""
        return self._dispatcher.retries.tokens

    def refuse(self, reason, now_s, request_id=""):
        """Return the reply to a request that is refused before it is dispatched."""
        reply = body_refusal(reason, self._node.caller_memory, now_s)
        self._node.meter.request_refused(reply, now_s)
        self._node.decisions.turned_away(request_id, reply, now_s)
        return reply

    def serve(self, parsed, source, sock, now_s):
        """Return ``(reply, parts)`` for a `CallerRequest`.

        ``parts`` yields the body of a streamed answer; it is ``None`` if the whole
        body is in the reply.
        """
        call = self._create_call(parsed, sock, now_s)
        possible_runs = self._nested_calls.mark(call)
        self.watch.enter(call)
        try:
            reply, body_stream = self._dispatch(source, call, now_s)
        except Exception:
            # The error may have occurred after the request was sent.
            logging.exception("unexpected error while serving a caller's request")
            reply, body_stream = refusal(Reason.INTERNAL), None
        finally:
            self.watch.leave(call)
        self._nested_calls.observe_end(call, possible_runs)
        self._node.meter.request_ended(call, reply)
        self._node.decisions.request_ended(call, reply, boottime_s())
        if body_stream is None:
            return reply, None
        return reply, self._stream_to_caller(body_stream.parts(reply.body), call.sock)

    def _dispatch(self, source, call, now_s):
        """Return ``(reply, body_stream)``.

        The body of a request that is refused by a level isn't read.
        """
        refused = self._node.fleet_admission.refuse(call, now_s)
        if refused is not None:
            return refused, None
        reason = self._read_body(source, call)
        if reason is not None:
            memory = self._node.caller_memory
            return body_refusal(reason, memory, boottime_s()), None
        return self._dispatcher.dispatch(call)

    def _stream_to_caller(self, parts, sock):
        """Yield the parts of an answer; reset the caller's connection on an error."""
        self._streaming += 1
        try:
            yield from parts
        except AnswerTruncated:
            reset_on_close(sock)
            raise
        finally:
            self._streaming -= 1

    def _create_call(self, parsed, sock, now_s):
        request = parsed.request
        request.ingress_node_id = self._node.settings.node_id
        # A node that was stopped or busy reads requests that have lain in the socket.
        arrived_s = now_s - unread_s(sock)
        # A request that waits for a slot beyond the end of a stopping node would be cut
        # off. With this deadline, its owner refuses it at once.
        deadline_s = min(
            arrived_s + request.remaining_ms / 1000, self._node.answers_until_s
        )
        return Call(
            request=request,
            service=parsed.service,
            may_be_nested=parsed.may_be_nested,
            route=parsed.route,
            expires_s=arrived_s + parsed.caller_waits_ms / 1000,
            body=b"",
            sock=sock,
            began_s=now_s,
            deadline_s=deadline_s,
            target_deadline_s=arrived_s + request.target_ms / 1000
            if request.target_ms
            else None,
        )

    def _read_body(self, source, call):
        """Read a short body, or set up a long one; return a `Reason` to refuse it."""
        limit_bytes = call.service.max_body_bytes
        length = source.length
        if source.coding is None:
            if not length:
                return None
        elif source.coding.lower() == "chunked":
            length = -1
        else:
            return Reason.BAD_REQUEST
        if length > limit_bytes:
            return Reason.BODY_TOO_LARGE
        body = CallerBody(source.stream, length, limit_bytes)
        call.body = body
        if length > WHOLE_BODY_BYTES:
            return None
        try:
            data = body.read_up_to(WHOLE_BODY_BYTES)
        except BodyError as error:
            return error.reason
        if data is not None:
            call.body = data
        return None
