"""Parse a caller's HTTP request into a typed message, or refuse it with a reason."""

import os
import re

import attrs
from returns.result import Failure, Result, Success

from comfreywharf.daemon.requests.wire import caller_headers
from comfreywharf.records import ServiceConfig
from comfreywharf.routing import SAFE_METHODS, Reason
from comfreywharf.transport.gen.ttypes import ForwardRequest

__all__ = [
    "MAX_KEY_BYTES",
    "TARGET_PASSED_MS",
    "CallerRequest",
    "parse_request",
    "target_left_ms",
]

MAX_KEY_BYTES = 512
MAX_HEADER_BYTES = 16 * 1024
RETRIES = 2

TARGET_PASSED_MS = 1
"""Value of ``ForwardRequest.target_ms`` once the latency target has passed. A value of
0 means that there is no target."""

FIRST_SEND = 0
FIRST_SEND_UNKNOWN = -1
_MAX_FIRST_SENT_AGO_MS = 1 << 30

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_METHOD = re.compile(r"[A-Z]{1,20}")
_TARGET = re.compile(r"/[\x21-\x7e\x80-\xff]*")
_NUMBER = re.compile(r"[0-9]{1,12}")


def target_left_ms(left_ms):
    """Return the time left until the latency target, as a message carries it, in ms.

    >>> target_left_ms(120.7), target_left_ms(-3)
    (120, 1)
    """
    return max(TARGET_PASSED_MS, int(left_ms))


@attrs.frozen
class CallerRequest:
    """The message to the owner without its body, and the requested service.

    ``may_be_nested`` is whether it may be a call that the backend server beside this
    node makes while it runs another request. ``route`` is the name of its route, and
    ``caller_waits_ms`` how long the caller waits for the answer, which may be longer
    than the route allows.
    """

    request: ForwardRequest
    service: ServiceConfig
    may_be_nested: bool = False
    route: str = ""
    caller_waits_ms: int = 0


def parse_request(head, services) -> Result[CallerRequest, Reason]:
    """Return the message to the owner without its body, for the head of a request.

    The path is ``/SERVICE/REST``; the key comes in the header
    ``Comfreywharf-Key``. See docs/interfaces-callers.md.
    """
    target = head.target
    method = head.method
    if not _TARGET.fullmatch(target) or not _METHOD.fullmatch(method):
        return Failure(Reason.BAD_REQUEST)
    name, slash, rest = target[1:].partition("/")
    if not slash:
        name, mark, query = name.partition("?")
        rest = mark + query
    service = services.get(name)
    if service is None:
        return Failure(Reason.UNKNOWN_SERVICE)
    key = head.get("comfreywharf-key", "").encode("latin-1")
    if service.divided_by_key and not key:
        return Failure(Reason.KEY_MISSING)
    if len(key) > MAX_KEY_BYTES:
        return Failure(Reason.KEY_TOO_LONG)
    headers, header_bytes = caller_headers(head)
    if header_bytes > MAX_HEADER_BYTES:
        return Failure(Reason.HEADERS_TOO_LARGE)
    request_id, first_sent_ago_ms = _request_identity(head)
    remaining_ms = _timeout_ms(head, service)
    if request_id is None or first_sent_ago_ms is None or remaining_ms is None:
        return Failure(Reason.BAD_REQUEST)
    request = ForwardRequest(
        request_id=request_id,
        service_name=name,
        key=key if service.divided_by_key else b"",
        method=method,
        path="/" + rest,
        headers=headers,
        body=b"",
        remaining_ms=remaining_ms,
        ingress_node_id="",
        retries_left=RETRIES,
        event_clock=0,
        first_sent_ago_ms=first_sent_ago_ms,
        priority=0,
        repeatable=method in SAFE_METHODS,
        target_ms=0,
    )
    return Success(CallerRequest(request, service))


def _request_identity(head):
    """Return the request id, and how long ago the request was first sent, in ms.

    Both are ``None`` if either is malformed. A request with the caller's own id may
    be a resend, unless the caller states when it was first sent. An id that is
    generated here is new.
    """
    request_id = head.get("comfreywharf-request-id")
    if request_id is None:
        return os.urandom(16).hex(), FIRST_SEND
    if not _REQUEST_ID.fullmatch(request_id):
        return None, None
    text = head.get("comfreywharf-first-sent-ago-ms")
    if text is None:
        return request_id, FIRST_SEND_UNKNOWN
    if not _NUMBER.fullmatch(text):
        return None, None
    return request_id, min(int(text), _MAX_FIRST_SENT_AGO_MS)


def _timeout_ms(head, service):
    text = head.get("comfreywharf-timeout-ms")
    if text is None:
        return service.default_timeout_ms
    if not _NUMBER.fullmatch(text) or not int(text):
        return None
    return min(int(text), service.longest_request_ms)
