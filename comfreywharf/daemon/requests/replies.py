"""Replies that a node gives by itself, without a backend server's answer."""

from comfreywharf.routing import Answer, Outcome, Reason, status_of
from comfreywharf.transport.gen.ttypes import ForwardReply, Header

__all__ = ["FIRST_STATUS_HEADER", "answer_of", "refusal", "remembered"]

FIRST_STATUS_HEADER = "Comfreywharf-First-Status"
"""The status of an answer that is known, but whose body wasn't kept."""


def refusal(reason, *, retry_after_ms=0, owner_hint="", outcome=None):
    """Return the reply for a request that has no answer, for a `Reason`.

    ``outcome`` replaces the one that the reason usually means.
    """
    verdict = status_of(reason)
    return ForwardReply(
        outcome=outcome or verdict.outcome,
        status=verdict.status,
        headers=[],
        body=b"",
        stream_id=0,
        reason=reason.value,
        retry_after_ms=retry_after_ms,
        owner_hint=owner_hint,
        event_clock=0,
        retries_left=0,
    )


def answer_of(reply, body_kept):
    """Return what is remembered of a reply."""
    return Answer(
        outcome=Outcome(reply.outcome),
        status=reply.status,
        headers=reply.headers,
        body=reply.body if body_kept else b"",
        reason=reply.reason,
        body_kept=body_kept,
    )


def remembered(answer):
    """Return the reply to a resend, from what is remembered."""
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
