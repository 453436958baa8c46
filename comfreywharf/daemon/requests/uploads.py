"""The ingress side of an upload: send the request first, and its body once wanted.

A body that is sent with its request crosses the link to the owner's node before
admission there has decided on the request, and again to the next node after a refusal.
Under overload, a link would then carry little else, and messages that keep the node up
to date, such as renewals and records of the log, would queue behind the bodies.
"""

from comfreywharf.daemon.requests.bodies import split_body
from comfreywharf.daemon.requests.memory import resend_mark
from comfreywharf.daemon.requests.quarantine import request_fingerprint
from comfreywharf.transport import CallError

__all__ = ["INLINE_BODY_BYTES", "is_inline", "send_upload"]

INLINE_BODY_BYTES = 8 * 1024
"""A body up to this length is sent with its request. Requesting it separately would
cost more than sending it."""

UNKNOWN_LENGTH = -1


def is_inline(body):
    """Return whether a body is sent in the same message as its request."""
    return isinstance(body, bytes) and len(body) <= INLINE_BODY_BYTES


def send_upload(client, call, timeout_s):
    """Send a request, and its body if that is wanted; return the `ForwardReply`.

    Raises `CallError`, and `BodyError` if the caller's body can't be read completely.
    """
    request = call.request
    request.fingerprint = request_fingerprint(request, call.body)
    request.body_mark = resend_mark(request, call.body)
    request.body = b""
    is_whole = isinstance(call.body, bytes)
    request.body_bytes = len(call.body) if is_whole else UNKNOWN_LENGTH
    opened = client.call("open_upload", request, timeout_s=timeout_s)
    try:
        # If a body of unknown length weren't sent at all, it would look empty.
        if opened.wanted and not (is_whole and call.gone):
            _send_body(client, opened.stream_id, call.body, timeout_s)
        return client.call("finish_upload", opened.stream_id, timeout_s=timeout_s)
    except CallError as error:
        # Once the upload was opened, the request may have run.
        raise CallError(str(error), sent=True) from error


def _send_body(client, stream_id, body, timeout_s):
    parts = split_body(body) if isinstance(body, bytes) else body
    for part in parts:
        if not client.call("write_upload", stream_id, part, timeout_s=timeout_s):
            if not isinstance(body, bytes):
                body.push_back(part)
            return
