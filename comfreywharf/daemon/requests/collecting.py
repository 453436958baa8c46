"""Collect bodies that are sent after their requests, before a slot is requested.

A slot that is occupied while a body is in transit does no work. If each body were sent
as soon as its request arrives, bodies would fill the link, although many of the
requests are refused in the end. Only a few bodies are therefore collected at a time.
"""

import contextlib

import gevent
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import WHOLE_BODY_BYTES, BodyError, Upload
from comfreywharf.routing import Reason

__all__ = ["MAX_COLLECTED_BODIES", "BodyCollectionLimiter", "collect", "is_collected"]

MAX_COLLECTED_BODIES = 3
"""How many bodies of a node may be in transit, or wait with their request for a slot.
Two keep a link busy; each further one delays all other traffic on the link."""

CHECK_INTERVAL_S = 0.05
"""Interval at which it is checked whether a waiting request can still be served."""


def is_collected(body, size_bytes):
    """Return whether a body is collected as a whole before its request is forwarded.

    A longer body, or one of unknown length, is streamed.
    """
    return isinstance(body, Upload) and 0 <= size_bytes <= WHOLE_BODY_BYTES


class BodyCollectionLimiter:
    """Limit how many bodies are collected at a time; the others wait in line."""

    def __init__(self, limit=MAX_COLLECTED_BODIES):
        self._free = limit
        self._line = []

    @property
    def waiting(self):
        """Return how many requests wait for a permit."""
        return len(self._line)

    @contextlib.contextmanager
    def permit(self, deadline_s, refuse=lambda ahead: None):
        """Acquire a permit to collect one body, and release it when the context exits.

        While the request waits, ``refuse(ahead)`` is called at intervals with the
        number of requests before it in line. Once it returns a refusal, that is yielded
        without a permit; otherwise ``None`` is. Raises `BodyError` if no permit is
        available by the deadline.
        """
        refused = self._acquire(deadline_s, refuse)
        try:
            yield refused
        finally:
            if refused is None:
                self._release()

    def _acquire(self, deadline_s, refuse):
        if self._free:
            self._free -= 1
            return None
        turn, acquired = Event(), False
        self._line.append(turn)
        try:
            while not turn.wait(min(_left_s(deadline_s), CHECK_INTERVAL_S)):
                if not _left_s(deadline_s):
                    raise BodyError(Reason.DEADLINE_BEFORE_START)
                refused = refuse(self._line.index(turn))
                if refused is not None:
                    return refused
            acquired = True
            return None
        finally:
            if turn in self._line:
                self._line.remove(turn)
            elif not acquired:
                # Its greenlet was killed just as its turn came.
                self._release()

    def _release(self):
        if self._line:
            self._line.pop(0).set()
        else:
            self._free += 1


def collect(body, size_bytes, deadline_s):
    """Return a whole body; raises `BodyError` if it doesn't arrive by the deadline."""
    late = BodyError(Reason.DEADLINE_BEFORE_START)
    with gevent.Timeout(_left_s(deadline_s), late):
        return body.read_whole(size_bytes)


def _left_s(deadline_s):
    return max(0.0, deadline_s - boottime_s())
