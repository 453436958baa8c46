"""Detect callers that disconnect while they wait for an answer.

One greenlet polls all of them a few times per second. Nearly all requests are answered
before the first poll, and so add no cost.
"""

import select

import attrs
from gevent import socket

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import CallerBody
from comfreywharf.records import ServiceConfig
from comfreywharf.ticks import sleep_to_tick
from comfreywharf.transport.gen.ttypes import ForwardRequest

__all__ = ["Call", "CallerWatch"]

WATCH_INTERVAL_S = 0.1

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@attrs.define(eq=False)
class Call:
    """A caller's request while it is served.

    ``may_be_nested`` and ``route`` are as in `CallerRequest`. ``target`` is the node
    that currently has the request. ``target_deadline_s`` is the time by which an
    answer meets the latency target, ``None`` if there is no target. ``arrivals`` is
    how often the request may have reached a backend server. ``gone`` is true once the
    caller has disconnected.
    """

    request: ForwardRequest
    service: ServiceConfig
    may_be_nested: bool = attrs.field(default=False, kw_only=True)
    route: str = attrs.field(default="", kw_only=True)
    body: bytes | CallerBody
    sock: object
    began_s: float
    deadline_s: float
    target_deadline_s: float | None = None
    target: str = ""
    arrivals: int = 0
    gone: bool = False


class CallerWatch:
    """Report callers that disconnected, and stop reading from those that stall.

    ``on_disconnect(call)`` is called once for a call whose caller disconnected. A
    caller that closes only its sending side counts as disconnected.
    """

    def __init__(self, on_disconnect):
        self._on_disconnect = on_disconnect
        self._calls = set()

    def __len__(self):
        return len(self._calls)

    def enter(self, call):
        """Start watching a call."""
        self._calls.add(call)

    def leave(self, call):
        """Stop watching a call."""
        self._calls.discard(call)

    def run(self):
        """Poll the callers until the greenlet is killed."""
        while True:
            sleep_to_tick(WATCH_INTERVAL_S)
            self._poll_callers(boottime_s())

    def _poll_callers(self, now_s):
        poll = select.poll()
        waiting = {}
        for call in list(self._calls):
            if call.gone or now_s - call.began_s < WATCH_INTERVAL_S:
                continue
            body = call.body
            if isinstance(body, CallerBody) and body.reading:
                if now_s > call.deadline_s:
                    _stop_reading(call)
            elif (fd := call.sock.fileno()) >= 0:
                waiting.setdefault(fd, []).append(call)
                poll.register(fd, _DISCONNECTED)
        if not waiting:
            return
        for fd, _ in poll.poll(0):
            for call in waiting[fd]:
                call.gone = True
                self._on_disconnect(call)


def _stop_reading(call):
    # A caller that sends a byte now and then could occupy its greenlet and a
    # connection to the backend server without limit. The sending side stays open,
    # so that the caller still receives the refusal.
    call.body.too_slow = True
    try:
        call.sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
