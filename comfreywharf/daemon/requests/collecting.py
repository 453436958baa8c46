"""Collect the bodies that follow their requests before a slot is asked for.

A slot that is held while a body is on its way serves nobody meanwhile. If each body
were sent as soon as its request comes, they would fill the link, though many of the
requests are refused in the end; hence a few at a time.
"""

import contextlib

import gevent
from gevent.lock import BoundedSemaphore

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import WHOLE_BODY_BYTES, BodyError, Upload
from comfreywharf.routing import Reason

__all__ = ["BODIES_AHEAD", "Collecting", "collect", "is_collected"]

BODIES_AHEAD = 3
"""How many bodies of a node may be on their way or wait with their request for a slot.
Two keep a link busy; with each further one, all else that comes over it is later."""


def is_collected(body, size_bytes):
    """Return whether a body that follows its request is collected before it is used.

    A longer one, or one of unknown length, is passed on as it comes.
    """
    return isinstance(body, Upload) and 0 <= size_bytes <= WHOLE_BODY_BYTES


class Collecting:
    """Let a few bodies be sent at a time; ``waiting`` requests wait for their turn."""

    def __init__(self, most=BODIES_AHEAD):
        self._room = BoundedSemaphore(most)
        self.waiting = 0

    @contextlib.contextmanager
    def room(self, deadline_s):
        """Wait for the room of one body, and have it until the context is left.

        Raises `BodyError` where there is none by the deadline.
        """
        self.waiting += 1
        try:
            entered = self._room.acquire(timeout=_left_s(deadline_s))
        finally:
            self.waiting -= 1
        if not entered:
            raise BodyError(Reason.DEADLINE_BEFORE_START)
        try:
            yield
        finally:
            self._room.release()


def collect(body, size_bytes, deadline_s):
    """Return a body whole; `BodyError` where it can't be had by the deadline."""
    late = BodyError(Reason.DEADLINE_BEFORE_START)
    with gevent.Timeout(_left_s(deadline_s), late):
        return body.read_whole(size_bytes)


def _left_s(deadline_s):
    return max(0.0, deadline_s - boottime_s())
