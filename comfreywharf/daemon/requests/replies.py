"""Replies that a node creates itself, without an answer of the backend server."""

from comfreywharf.routing import Answer, Outcome, Reason, verdict_of
from comfreywharf.transport.gen.ttypes import ForwardReply, Header

__all__ = [
    "FIRST_STATUS_HEADER",
    "answer_to_remember",
    "body_refusal",
    "refusal",
    "reply_from_answer",
]

PROMISES_NOT_RUN = frozenset({408, 503})
"""Statuses by which a caller knows that its request wasn't run."""

GATEWAY_TIMEOUT = 504

FIRST_STATUS_HEADER = "Comfreywharf-First-Status"
"""Carries the status of an earlier answer whose body wasn't kept."""


def refusal(reason, *, retry_after_ms=0, owner_hint="", outcome=None):
    """Return the reply to a request without an answer, for a `Reason`.

    ``outcome`` overrides the default outcome of the reason. If that is unknown, the
    status promises nothing.
    """
    verdict = verdict_of(reason)
    status = verdict.status
    if outcome is Outcome.UNKNOWN and status in PROMISES_NOT_RUN:
        status = GATEWAY_TIMEOUT
    return ForwardReply(
        outcome=outcome or verdict.outcome,
        status=status,
        headers=[],
        body=b"",
        stream_id=0,
        reason=reason.value,
        retry_after_ms=retry_after_ms,
        owner_hint=owner_hint,
        event_clock=0,
        retries_left=0,
        backend_reached=False,
    )


def body_refusal(reason, memory, now_s, outcome=None):
    """Return the reply to a request whose body can't be read, for a `Reason`.

    Without room in the `CallerMemory`, it says when there probably is some.
    """
    wait_s = memory.retry_after_s(now_s) if reason is Reason.ROUTER_FULL else 0.0
    return refusal(reason, retry_after_ms=int(wait_s * 1000), outcome=outcome)


def answer_to_remember(reply, body_kept):
    """Return the `Answer` to remember of a reply."""
    return Answer(
        outcome=Outcome(reply.outcome),
        status=reply.status,
        headers=reply.headers,
        body=reply.body if body_kept else b"",
        reason=reply.reason,
        body_kept=body_kept,
    )


def reply_from_answer(answer):
    """Return the reply to a resend from the remembered answer."""
    if answer.outcome == Outcome.ANSWERED and not answer.body_kept:
        reply = refusal(Reason.ANSWER_NOT_KEPT)
        reply.headers = [Header(name=FIRST_STATUS_HEADER, value=str(answer.status))]
        return reply
    return ForwardReply(
        outcome=answer.outcome,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        stream_id=0,
        reason=answer.reason,
        retry_after_ms=0,
        owner_hint="",
        event_clock=0,
        retries_left=0,
    )
