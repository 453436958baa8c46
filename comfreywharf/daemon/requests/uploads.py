"""The ingress side of an upload: the request first, its body once that is wanted.

A body that travels with its request crosses the link to the owner's node before
admission there has decided on it, and again to the next node after a refusal. Under
overload a link then carries little else, and what keeps the node up to date, such as
renewals and news of the log, waits behind it.
"""

from comfreywharf.daemon.requests.bodies import PART_BYTES
from comfreywharf.daemon.requests.memory import resend_mark
from comfreywharf.daemon.requests.quarantine import request_fingerprint
from comfreywharf.transport import CallError

__all__ = ["INLINE_BODY_BYTES", "is_inline", "send_upload"]

INLINE_BODY_BYTES = 8 * 1024
"""A body up to this length travels with its request: to ask for it first would cost
more than to send it."""

UNKNOWN_LENGTH = -1


def is_inline(body):
    """Return whether a body travels in the same message as its request."""
    return isinstance(body, bytes) and len(body) <= INLINE_BODY_BYTES


def send_upload(client, call, timeout_s):
    """Send a request, and its body if that is wanted; return the `ForwardReply`.

    Raises `CallError`, and `BodyError` where the caller's body can't be had whole.
    """
    request = call.request
    request.fingerprint = request_fingerprint(request, call.body)
    request.body_mark = resend_mark(request, call.body)
    request.body = b""
    known = isinstance(call.body, bytes)
    request.body_bytes = len(call.body) if known else UNKNOWN_LENGTH
    opened = client.call("open_upload", request, timeout_s=timeout_s)
    try:
        # A body of unknown length that isn't begun would pass for an empty one.
        if opened.wanted and not (known and call.gone):
            _send_body(client, opened.stream_id, call.body, timeout_s)
        return client.call("finish_upload", opened.stream_id, timeout_s=timeout_s)
    except CallError as error:
        # The upload was opened: from then on it may have run.
        raise CallError(str(error), sent=True) from error


def _send_body(client, stream_id, body, timeout_s):
    for part in _parts(body):
        if not client.call("write_upload", stream_id, part, timeout_s=timeout_s):
            if not isinstance(body, bytes):
                body.push_back(part)
            return


def _parts(body):
    if not isinstance(body, bytes):
        yield from body
        return
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]
