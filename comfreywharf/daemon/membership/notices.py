"""Publish and subscribe to notices, and convert them to and from messages."""

import uuid
from collections import defaultdict

from comfreywharf.clock import boottime_s
from comfreywharf.membership.notices import Notice, NoticeBoard
from comfreywharf.transport.gen import ttypes

__all__ = ["Notices"]

MAX_NOTICES_PER_MESSAGE = 128
"""Maximum number of notices in one message; the newest take precedence."""

MIN_REMAINING_S = 0.05
"""Notices that expire sooner aren't sent."""


class Notices:
    """Publish short-lived notices to all nodes, and subscribe to theirs.

    A listener is called as ``listener(notice)`` once for each notice that is
    new to this node, whether it was published here or received from a peer.
    """

    def __init__(self):
        self._board = NoticeBoard()
        self._listeners = defaultdict(list)
        self._new_notice_listeners = []

    def publish(self, kind, subject, value, ttl_s):
        """Publish a notice to all nodes, starting at once; return its id."""
        now_s = boottime_s()
        notice = Notice(
            notice_id=uuid.uuid4().hex,
            kind=kind,
            subject=subject,
            value=float(value),
            expires_s=now_s + ttl_s,
        )
        self._add([notice], now_s)
        return notice.notice_id

    def subscribe(self, kind, listener):
        """Call ``listener(notice)`` for each new notice of a kind."""
        self._listeners[kind].append(listener)

    def current(self, kind, now_s):
        """Return the unexpired notices of a kind at a monotonic time."""
        return self._board.unexpired_of_kind(kind, now_s)

    def on_new_notice(self, listener):
        """Call ``listener()`` whenever there are new notices to send to peers."""
        self._new_notice_listeners.append(listener)

    def to_send(self, now_s, known=frozenset()):
        """Return the newest notices as messages, except those with ``known`` ids."""
        chosen = [
            notice
            for notice in reversed(self._board.unexpired(now_s))
            if notice.notice_id not in known
            and notice.expires_s - now_s >= MIN_REMAINING_S
        ]
        return [
            _to_message(notice, now_s) for notice in chosen[:MAX_NOTICES_PER_MESSAGE]
        ]

    def receive(self, messages, now_s):
        """Add a peer's notices; those that are new are sent to further peers."""
        self._add([_from_message(message, now_s) for message in messages], now_s)

    def _add(self, notices, now_s):
        fresh = [notice for notice in notices if self._board.add(notice, now_s)]
        for notice in fresh:
            for listener in self._listeners[notice.kind]:
                listener(notice)
        if fresh:
            for listener in self._new_notice_listeners:
                listener()


def _to_message(notice, now_s):
    return ttypes.Notice(
        notice_id=notice.notice_id,
        kind=notice.kind,
        subject=notice.subject,
        value=notice.value,
        remaining_ms=int((notice.expires_s - now_s) * 1000),
    )


def _from_message(message, now_s):
    return Notice(
        notice_id=message.notice_id,
        kind=message.kind,
        subject=message.subject,
        value=message.value,
        expires_s=now_s + message.remaining_ms / 1000,
    )
