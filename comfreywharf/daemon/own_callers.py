"""The callers' port of the project's own protocol; see docs/interfaces-callers.md."""

from returns.result import Failure

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.callers.caller_server import (
    Answer,
    CallerServer,
    split_length,
)
from comfreywharf.daemon.callers.caller_stream import CallerConnectionLimits
from comfreywharf.daemon.requests.caller_requests import parse_request
from comfreywharf.daemon.requests.ingress import BodySource
from comfreywharf.routing import SAFE_METHODS, Outcome, Reason

__all__ = ["OwnCallerApplication", "make_caller_server"]

LIMITS = CallerConnectionLimits(
    header_bytes=64 * 1024, header_timeout_s=10.0, idle_timeout_s=120.0
)

_OUTCOME_NAMES = {
    Outcome.ANSWERED: "answered",
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}


_REASONS = {431: Reason.HEADERS_TOO_LARGE}


class OwnCallerApplication:
    """Serve the requests that arrive at the callers' port."""

    def __init__(self, node):
        self._node = node

    def limits(self):
        """Return the `CallerConnectionLimits`."""
        return LIMITS

    def waits_for_earlier_requests(self, head):
        """Return whether a request waits for earlier ones of its connection.

        A failure of one of them could close the connection, and its caller wouldn't
        know whether a request with effects was run.
        """
        return head.method not in SAFE_METHODS

    def __call__(self, head, connection):
        """Return the `Answer` to one request."""
        now_s = boottime_s()
        ingress = self._node.ingress
        parsed = self._parse(head, connection)
        if isinstance(parsed, Failure):
            return _answer(ingress.refuse(parsed.failure(), now_s), "")
        source = BodySource(
            coding="chunked" if head.length < 0 else None,
            length=head.length,
            stream=connection,
        )
        request = parsed.unwrap()
        reply, parts = ingress.serve(request, source, connection.sock, now_s)
        return _answer(reply, request.request.request_id, parts)

    def answer_malformed(self, status):
        """Return the `Answer` to a request that can't be parsed."""
        reason = _REASONS.get(status, Reason.BAD_REQUEST)
        reply = self._node.ingress.refuse(reason, boottime_s())
        reply.status = status
        return _answer(reply, "")

    def _parse(self, head, connection):
        if connection.part is None:
            return Failure(Reason.ROUTER_FULL)
        return parse_request(head, self._node.follower.state.config.services)


def make_caller_server(node, host, port):
    """Return the `CallerServer` of a node's callers, not yet started."""
    application = OwnCallerApplication(node)
    return CallerServer(
        host,
        port,
        application,
        application.limits,
        application.waits_for_earlier_requests,
        node.caller_memory,
        application.answer_malformed,
    )


def _answer(reply, request_id, parts=None):
    outcome = _OUTCOME_NAMES[reply.outcome]
    received = [(header.name, header.value) for header in reply.headers]
    headers, length = split_length(received)
    headers.append(("Comfreywharf-Outcome", outcome))
    if request_id:
        headers.append(("Comfreywharf-Request-Id", request_id))
    if reply.retry_after_ms:
        headers.append(("Retry-After", str(-(-reply.retry_after_ms // 1000))))
    if reply.reason:
        headers.append(("Comfreywharf-Reason", reply.reason))
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        body = f"{outcome}: {reply.reason}\n".encode()
        return Answer(status=reply.status, headers=tuple(headers), body=body)
    return Answer(
        status=reply.status,
        headers=tuple(headers),
        body=reply.body,
        parts=parts,
        length=length,
    )
