"""Translate callers' requests on the platform, and the answers to them."""

import re

from returns.result import Failure, Result, Success

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.callers.caller_server import Answer, split_length
from comfreywharf.daemon.callers.caller_stream import CallerConnectionLimits
from comfreywharf.daemon.requests.caller_requests import CallerRequest
from comfreywharf.daemon.requests.ingress import BodySource
from comfreywharf.platform.configuration import READ_WAIT_S
from comfreywharf.records import NUMBER_KEYS, number_key
from comfreywharf.routes import is_absence_certain
from comfreywharf.routing import Reason
from comfreywharf.transport.gen.ttypes import ForwardRequest, Header

__all__ = ["CallerApplication"]

_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-caller-service",
        "x-deadline-ms",
        "x-target-instance",
    }
)
"""Hop-by-hop headers, and headers that the router itself sets."""

_NUMBER = re.compile(r"[0-9]{1,9}")
_ID = re.compile(r"[\x21-\x7e]{1,128}")
_TARGET = re.compile(r"/[\x21-\x7e\x80-\xff]*")
_METHOD = re.compile(r"[A-Z]{1,20}")

MIN_LEFT_MS = 1
MAX_LOGGED_ID_CHARS = 128
"""How many characters of an unchecked request id are logged."""

ANSWER_MARGIN_MS = 40
"""How long before its caller's deadline a request is given up. The answer travels back
up to 8 ms, through two nodes that are busy at that time."""


class CallerApplication:
    """Serve the requests that arrive at the callers' port."""

    def __init__(self, node, caller_service, routes_apply_s):
        self._node = node
        self._caller_service = caller_service
        self._routes_apply_s = routes_apply_s

    def limits(self):
        """Return the `CallerConnectionLimits` in force."""
        limits = self._node.routes.table.limits
        return CallerConnectionLimits(
            header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        )

    def waits_for_earlier_requests(self, head):
        """Return whether a request waits for earlier ones of its connection.

        A request that must not run twice starts only after all earlier requests have
        been answered, since a failure of one of them could close the connection.
        """
        route = self._route(head)
        return route is None or not route.repeatable

    def _route(self, head):
        path = head.target.partition("?")[0]
        return self._node.routes.table.find(_host_name(head), path)

    def __call__(self, head, connection):
        """Return the `Answer` to one request."""
        now_s = boottime_s()
        parsed = self._parse(head, connection, now_s)
        if isinstance(parsed, Failure):
            request_id = head.get("x-attempt-id", "")[:MAX_LOGGED_ID_CHARS]
            reply = self._node.ingress.refuse(parsed.failure(), now_s, request_id)
            if reply.status == 503:
                # The routes are unknown or may be outdated until the next read.
                routes_ms = int(READ_WAIT_S * 1000)
                reply.retry_after_ms = reply.retry_after_ms or routes_ms
            return _answer(reply, None, head)
        source = BodySource(
            coding="chunked" if head.length < 0 else None,
            length=head.length,
            stream=connection,
        )
        request = parsed.unwrap()
        reply, parts = self._node.ingress.serve(request, source, connection.sock, now_s)
        return _answer(reply, parts, head)

    def _parse(self, head, connection, now_s) -> Result[CallerRequest, Reason]:
        if connection.part is None:
            return Failure(Reason.ROUTER_FULL)
        routes = self._node.routes
        if not routes.version:
            return Failure(Reason.NO_ROUTES)
        request_id = head.get("x-attempt-id", "")
        if not (
            _TARGET.fullmatch(head.target)
            and _METHOD.fullmatch(head.method)
            and _ID.fullmatch(request_id)
        ):
            return Failure(Reason.BAD_REQUEST)
        route = self._route(head)
        if route is None:
            age_s = routes.age_s(now_s)
            if is_absence_certain(age_s, self._routes_apply_s):
                return Failure(Reason.UNKNOWN_SERVICE)
            return Failure(Reason.ROUTES_OUTDATED)
        left_ms = _left_ms(head, route)
        if left_ms is None:
            return Failure(Reason.BAD_REQUEST)
        part = routes.splitter.choose(route.name, route.parts)
        service = routes.service(part.service)
        if service is None:
            return Failure(Reason.NO_OWNER)
        key = _key(head) if service.divided_by_key else b""
        if key is None:
            return Failure(Reason.KEY_MISSING)
        request = ForwardRequest(
            request_id=request_id,
            service_name=part.service,
            key=key,
            method=head.method,
            path=head.target,
            headers=self._headers(head),
            body=b"",
            remaining_ms=left_ms,
            ingress_node_id="",
            retries_left=max(0, route.max_sends - 1),
            event_clock=0,
            first_sent_ago_ms=0,
            priority=route.priority,
            repeatable=route.repeatable,
            target_ms=route.latency_target_ms,
        )
        may_be_nested = connection.origin.may_be_nested(
            part.service, self._caller_service
        )
        return Success(
            CallerRequest(
                request,
                service,
                may_be_nested=may_be_nested,
                route=route.name,
                caller_waits_ms=int(head.get("x-deadline-ms", left_ms)),
            )
        )

    def _headers(self, head):
        named = head.get("connection", "").lower()
        hop_by_hop = (
            {name.strip() for name in named.split(",")} if named else frozenset()
        )
        headers = [
            Header(name=name, value=value)
            for name, value in head.headers
            if name not in _DROPPED_HEADERS and name not in hop_by_hop
        ]
        headers.append(Header(name="X-Caller-Service", value=self._caller_service))
        return headers


def _host_name(head):
    name, mark, port = head.get("host", "").rpartition(":")
    return (name if mark and port.isdigit() else head.get("host", "")).lower()


def _left_ms(head, route):
    """Return how long the caller may wait, in ms; ``None`` if its header is invalid."""
    text = head.get("x-deadline-ms")
    if text is None:
        return route.timeout_ms
    if not _NUMBER.fullmatch(text):
        return None
    left_ms = min(int(text) - ANSWER_MARGIN_MS, route.timeout_ms)
    return max(MIN_LEFT_MS, left_ms)


def _key(head):
    text = head.get("x-shard-key", "")
    if not _NUMBER.fullmatch(text) or int(text) >= NUMBER_KEYS:
        return None
    return number_key(int(text))


def _answer(reply, parts, head):
    headers = [(header.name, header.value) for header in reply.headers]
    if not reply.reason:
        kept, length = split_length(headers)
        return Answer(
            status=reply.status,
            headers=tuple(kept),
            body=reply.body,
            parts=parts,
            length=length,
        )
    headers.append(("Content-Type", "text/plain"))
    request_id = head.get("x-attempt-id")
    if request_id and _ID.fullmatch(request_id):
        headers.append(("X-Attempt-Id", request_id))
    if reply.status in (429, 503):
        headers.append(("Retry-After", f"{reply.retry_after_ms / 1000:.3f}"))
    body = f"{reply.reason}\n".encode()
    return Answer(status=reply.status, headers=tuple(headers), body=body)
