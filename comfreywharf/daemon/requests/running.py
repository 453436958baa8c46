"""Requests that were forwarded: their cancellation, and the release of their rights.

A right to serve is released only once nothing forwarded under it can take effect any
more. A request that was answered, or proved not to have run, ends at once. One that was
given up on ends when the backend server confirms its cancellation, or when its deadline
passes: until then the server may still read it from a socket's buffer and run it.
"""

import itertools

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.load.callroutes import Run
from comfreywharf.routing import RequestKey

__all__ = ["RunningRequest", "RunningRequests"]

DEADLINE_MARGIN_S = 0.03
"""Wait after a deadline. A backend server checks the deadline just before the effect,
not atomically with it."""

CANCEL_PAUSE_S = 0.05


class RunningRequest:
    """One request at the backend server.

    ``number`` identifies it on this node. ``sent`` is whether any of it may have been
    sent to the server, ``sent_s`` when it was sent last, and ``answered`` whether its
    answer has begun. ``abort`` is a function that interrupts the current wait of the
    request, or ``None``; it is replaced as the request proceeds.
    """

    def __init__(self, number, key, attempt_id, right, deadline_s):
        self.number = number
        self.key = key
        self.attempt_id = attempt_id
        self.right = right
        self.deadline_s = deadline_s
        self.slot = None
        self.sent = False
        self.sent_s = None
        self.answered = False
        self.cancelled = False
        self.abort = None

    def record_sent(self, now_s):
        """Record that the request is sent to the backend server now."""
        self.sent = True
        self.sent_s = now_s
        if self.slot is not None:
            self.slot.record_sent(now_s)

    def cancel(self):
        """Interrupt the wait for the answer, which is no longer needed."""
        self.cancelled = True
        if self.abort is not None:
            self.abort()


class RunningRequests:
    """The requests of this node from before admission until they end.

    A request that is given up on is no longer listed here, but its right and its slot
    are released only once it can't take effect any more.
    """

    def __init__(self, node):
        self._node = node
        self._numbers = itertools.count(1)
        self._by_key = {}

    def __len__(self):
        return len(self._by_key)

    def awaited_since(self, time_s):
        """Return how many requests were sent by a time and await their answers."""
        return sum(
            running.sent_s is not None
            and running.sent_s <= time_s
            and not running.answered
            for running in self._by_key.values()
        )

    def enter(self, request, right, deadline_s):
        """Register a request that is about to be forwarded."""
        settings = self._node.settings
        number = next(self._numbers)
        attempt_id = f"{settings.node_id}.{self._node.incarnation:x}.{number:x}"
        key = RequestKey(request.service_name, right.key_hash, request.request_id)
        running = RunningRequest(number, key, attempt_id, right, deadline_s)
        self._by_key[key] = running
        return running

    def runs(self):
        """Return the `Run` of each request that was sent to the backend server."""
        return [
            Run(running.number, running.slot.ticket.rank, running.deadline_s)
            for running in self._by_key.values()
            if running.sent
        ]

    def cancel(self, key):
        """Cancel a request, if it still runs."""
        running = self._by_key.get(key)
        if running is not None:
            running.cancel()

    def complete(self, running):
        """End a request that was answered or didn't run."""
        self._unregister(running)
        self._release(running)

    def complete_later(self, running, backend, on_proved_not_run=None):
        """End a request later that was given up on and may still take effect.

        ``on_proved_not_run`` is called if the backend server proves that it never ran
        and never will.
        """
        self._unregister(running)
        gevent.spawn(self._await_end, running, backend, on_proved_not_run)

    def _unregister(self, running):
        if self._by_key.get(running.key) is running:
            del self._by_key[running.key]

    def _await_end(self, running, backend, on_proved_not_run):
        """Wait for the confirmed cancellation or the deadline, then end the request."""
        # A server that froze with the request in its socket runs it when it resumes.
        # If the right were released when the wait for the answer ends, the key could
        # have its next owner by then, and two servers would work on it. The deadline
        # bounds the wait if the server never confirms the cancellation.
        end_s = running.deadline_s + DEADLINE_MARGIN_S
        try:
            while True:
                reply = backend.cancel(running.attempt_id, running.key.request_id)
                if reply.confirmed:
                    if reply.not_run and on_proved_not_run is not None:
                        on_proved_not_run()
                    return
                left_s = end_s - boottime_s()
                if left_s <= 0:
                    return
                gevent.sleep(min(CANCEL_PAUSE_S, left_s))
        finally:
            self._release(running)

    def _release(self, running):
        self._node.leases.finish(running.right)
        self._node.load.finish(running.slot)
