"""Watch callers that wait for an answer: one that hung up needs none.

One greenlet looks at all of them a few times a second. Nearly all requests are
answered before it comes round, and so cost nothing.
"""

import select

import attrs
import gevent
from gevent import socket

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import CallerBody
from comfreywharf.records import ServiceConfig
from comfreywharf.transport.gen.ttypes import ForwardRequest

__all__ = ["Call", "CallerWatch"]

WATCH_INTERVAL_S = 0.1

_HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@attrs.define(eq=False)
class Call:
    """A caller's request while it is served; ``target`` is who has it now.

    An answer after ``worth_until_s`` is worth less; ``None`` means never.
    """

    request: ForwardRequest
    service: ServiceConfig
    body: bytes | CallerBody
    sock: object
    began_s: float
    deadline_s: float
    worth_until_s: float | None = None
    target: str = ""
    gone: bool = False


class CallerWatch:
    """Tell of callers that hung up, and end the wait for those that stall.

    ``on_gone(call)`` is called once for a call whose caller is gone. A caller
    that closes only its sending side counts as gone.
    """

    def __init__(self, on_gone):
        self._on_gone = on_gone
        self._calls = set()

    def __len__(self):
        return len(self._calls)

    def enter(self, call):
        """Begin to watch a call."""
        self._calls.add(call)

    def leave(self, call):
        """Watch a call no longer."""
        self._calls.discard(call)

    def run(self):
        """Look round until the greenlet is killed."""
        while True:
            gevent.sleep(WATCH_INTERVAL_S)
            self._look(boottime_s())

    def _look(self, now_s):
        poll = select.poll()
        waiting = {}
        for call in list(self._calls):
            if call.gone or now_s - call.began_s < WATCH_INTERVAL_S:
                continue
            body = call.body
            if isinstance(body, CallerBody) and body.reading:
                if now_s > call.deadline_s:
                    _end_reading(call)
            elif (number := call.sock.fileno()) >= 0:
                waiting.setdefault(number, []).append(call)
                poll.register(number, _HUNG_UP)
        if not waiting:
            return
        for number, _ in poll.poll(0):
            for call in waiting[number]:
                call.gone = True
                self._on_gone(call)


def _end_reading(call):
    # A caller that sends a byte now and then would hold its greenlet, and its
    # share of the backend server's connections, for as long as it likes. The
    # sending side stays open: the caller is told.
    call.body.too_slow = True
    try:
        call.sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
