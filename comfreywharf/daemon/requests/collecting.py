"""Collect bodies that are sent after their requests, before a slot is requested.

A slot that is occupied while a body is in transit does no work. If each body were sent
as soon as its request arrives, bodies would fill the link, although many of the
requests are refused in the end. Only a few bodies are therefore collected at a time.
"""

import contextlib

import gevent
from gevent.lock import BoundedSemaphore

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import WHOLE_BODY_BYTES, BodyError, Upload
from comfreywharf.routing import Reason

__all__ = ["MAX_COLLECTED_BODIES", "BodyCollectionLimiter", "collect", "is_collected"]

MAX_COLLECTED_BODIES = 3
"""How many bodies of a node may be in transit, or wait with their request for a slot.
Two keep a link busy; each further one delays all other traffic on the link."""


def is_collected(body, size_bytes):
    """Return whether a body is collected as a whole before its request is forwarded.

    A longer body, or one of unknown length, is streamed.
    """
    return isinstance(body, Upload) and 0 <= size_bytes <= WHOLE_BODY_BYTES


class BodyCollectionLimiter:
    """Limit how many bodies are collected at a time; ``waiting`` requests wait."""

    def __init__(self, limit=MAX_COLLECTED_BODIES):
        self._permits = BoundedSemaphore(limit)
        self.waiting = 0

    @contextlib.contextmanager
    def permit(self, deadline_s):
        """Acquire a permit to collect one body, and release it when the context exits.

        Raises `BodyError` if none is available by the deadline.
        """
        self.waiting += 1
        try:
            acquired = self._permits.acquire(timeout=_left_s(deadline_s))
        finally:
            self.waiting -= 1
        if not acquired:
            raise BodyError(Reason.DEADLINE_BEFORE_START)
        try:
            yield
        finally:
            self._permits.release()


def collect(body, size_bytes, deadline_s):
    """Return a whole body; raises `BodyError` if it doesn't arrive by the deadline."""
    late = BodyError(Reason.DEADLINE_BEFORE_START)
    with gevent.Timeout(_left_s(deadline_s), late):
        return body.read_whole(size_bytes)


def _left_s(deadline_s):
    return max(0.0, deadline_s - boottime_s())
