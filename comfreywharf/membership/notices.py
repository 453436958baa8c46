"""Notices: short-lived information that nodes exchange without the log.

A notice is a hint. It may reach some nodes late or never, so nothing that needs
agreement or durability may depend on one; such information belongs into the
records of the log.
"""

import attrs

__all__ = ["Notice", "NoticeBoard"]

MAX_NOTICES = 1024
"""How many notices are kept; those that expire first are evicted."""

MAX_TTL_S = 3600.0
"""The longest lifetime of a notice, in seconds."""

MAX_TEXT_CHARS = 256
"""The longest id, kind or subject, in characters."""

ECHO_MARGIN_S = 30.0
"""How long the id of an expired notice is remembered, in seconds."""


@attrs.frozen(kw_only=True)
class Notice:
    """A notice: its kind, the subject that it refers to, and a number.

    ``expires_s`` is on the monotonic clock of the node that holds the notice.
    Nodes send each other the remaining time instead, since machines don't share
    a monotonic clock.
    """

    notice_id: str
    kind: str
    subject: str
    value: float
    expires_s: float


class NoticeBoard:
    """The unexpired notices of a node: bounded in number, each id only once.

    >>> board = NoticeBoard()
    >>> notice = Notice(
    ...     notice_id="a", kind="suspect", subject="f", value=1.0, expires_s=9.0)
    >>> board.add(notice, now_s=0.0), board.add(notice, now_s=0.0)
    (True, False)
    >>> len(board.unexpired_of_kind("suspect", now_s=8.0))
    1
    >>> board.unexpired_of_kind("suspect", now_s=9.0)
    []
    """

    def __init__(self, capacity=MAX_NOTICES):
        self._capacity = capacity
        self._notices = {}
        self._expired_ids = {}

    def add(self, notice, now_s):
        """Add a notice; return whether it was new and is kept."""
        self._expire(now_s)
        if not self._is_valid(notice, now_s):
            return False
        # A notice is sent with its remaining time, so that a copy at another
        # node expires a little later. Without the ids of expired notices, two
        # nodes would send such a copy back and forth and it would never expire.
        if notice.notice_id in self._notices or notice.notice_id in self._expired_ids:
            return False
        if len(self._notices) >= self._capacity and not self._evict_for(notice):
            return False
        self._notices[notice.notice_id] = notice
        return True

    def unexpired_of_kind(self, kind, now_s):
        """Return the unexpired notices of a kind, the first added first."""
        return [notice for notice in self.unexpired(now_s) if notice.kind == kind]

    def unexpired(self, now_s):
        """Return all unexpired notices, the first added first."""
        self._expire(now_s)
        return list(self._notices.values())

    def _is_valid(self, notice, now_s):
        texts = (notice.notice_id, notice.kind, notice.subject)
        if any(len(text) > MAX_TEXT_CHARS for text in texts) or not notice.notice_id:
            return False
        return now_s < notice.expires_s <= now_s + MAX_TTL_S

    def _evict_for(self, notice):
        """Evict the notice that expires first; return false if that is the new one."""
        soonest = min(self._notices.values(), key=lambda kept: kept.expires_s)
        if soonest.expires_s > notice.expires_s:
            return False
        self._remove(soonest)
        return True

    def _expire(self, now_s):
        for notice in list(self._notices.values()):
            if notice.expires_s <= now_s:
                self._remove(notice)
        forgotten = [
            notice_id
            for notice_id, until_s in self._expired_ids.items()
            if until_s <= now_s
        ]
        for notice_id in forgotten:
            del self._expired_ids[notice_id]

    def _remove(self, notice):
        del self._notices[notice.notice_id]
        self._expired_ids[notice.notice_id] = notice.expires_s + ECHO_MARGIN_S
        while len(self._expired_ids) > self._capacity:
            del self._expired_ids[next(iter(self._expired_ids))]
