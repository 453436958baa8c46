"""The node's memory of answers, with conversion to and from messages."""

from gevent.event import Event

from comfreywharf.routing import (
    Answer,
    AnswerMemory,
    KeptAnswer,
    Outcome,
    resend_fingerprint,
)
from comfreywharf.transport.gen.ttypes import RememberedAnswer

__all__ = ["NodeMemory", "resend_mark"]


def resend_mark(request, body):
    """Return the fingerprint by which sends under one request id are compared.

    ``body`` is that of a `ForwardRequest`, whole or in parts. If it is sent after its
    request, the ingress node has set the mark.
    """
    if request.body_mark:
        return request.body_mark
    known_part = body if isinstance(body, bytes) else b""
    return resend_fingerprint(request.method, request.path, known_part)


class NodeMemory:
    """A node's `AnswerMemory`; transfers it as messages, and waits for answers."""

    def __init__(self, limits):
        self.answers = AnswerMemory(limits)
        self._waiters = {}

    def begin(self, key, **kwargs):
        """Return whether a request may run; see `AnswerMemory.begin`."""
        return self.answers.begin(key, **kwargs)

    def finish(self, key, answer, now_s):
        """Remember an answer, and wake the requests that wait for it."""
        self.answers.finish(key, answer, now_s)
        self._wake(key)

    def forget(self, key):
        """Drop a request that didn't run, and wake the requests that wait for it."""
        self.answers.forget(key)
        self._wake(key)

    def wait(self, key, timeout_s):
        """Wait until a running request ends; return whether it did."""
        waiter = self._waiters.get(key)
        if waiter is None:
            waiter = self._waiters[key] = Event()
        return waiter.wait(timeout_s)

    def _wake(self, key):
        waiter = self._waiters.pop(key, None)
        if waiter is not None:
            waiter.set()

    def export_answers(self, service, start, end, skip, now_s):
        """Return a page of `RememberedAnswer` and whether more pages follow.

        To get the next page, increase ``skip`` by the length of this one.
        """
        page, more = self.answers.export_answers(service, start, end, skip, now_s)
        return [_to_message(kept) for kept in page], more

    def import_answers(self, service, answers, now_s):
        """Import a page of `RememberedAnswer` from an earlier owner."""
        self.answers.import_answers(
            service, [_from_message(each) for each in answers], now_s
        )


def _to_message(kept):
    answer = kept.answer
    return RememberedAnswer(
        request_id=kept.request_id,
        key_hash=kept.key_hash,
        outcome=answer.outcome,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        age_ms=max(0, int(kept.age_s * 1000)),
        body_kept=answer.body_kept,
        fingerprint=kept.fingerprint,
        reason=answer.reason,
    )


def _from_message(message):
    return KeptAnswer(
        request_id=message.request_id,
        key_hash=message.key_hash,
        fingerprint=message.fingerprint,
        answer=Answer(
            outcome=Outcome(message.outcome),
            status=message.status,
            headers=message.headers,
            body=message.body,
            reason=message.reason,
            body_kept=message.body_kept,
        ),
        age_s=message.age_ms / 1000,
    )
