"""Report events of this node: stamp them, keep the newest, and write them to the log.

The log here is the process's own log, not the log service.
"""

import time

import gevent
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.events import (
    EventClock,
    EventRing,
    RateLimit,
    Severity,
    format_line,
    kind_by_name,
)
from comfreywharf.metrics import Metrics
from comfreywharf.transport import Stamps

__all__ = ["Reporter"]

LOG_BURST = 20
LOG_EVENTS_PER_S = 0.5
RING_BURST = 200
RING_EVENTS_PER_S = 5.0
QUIET_S = 5.0

_LEVELS = {
    Severity.INFO: logging.INFO,
    Severity.WARNING: logging.WARNING,
    Severity.ERROR: logging.ERROR,
}


class Reporter(Stamps):
    """Report events; the rate of each kind of event is limited in log and ring."""

    def __init__(self, node_id, incarnation, metrics=None):
        self._metrics = metrics or Metrics()
        self.clock = EventClock()
        self.events = EventRing(node_id, incarnation)
        self._log_limit = RateLimit(LOG_BURST, LOG_EVENTS_PER_S)
        self._ring_limit = RateLimit(RING_BURST, RING_EVENTS_PER_S)

    def report(self, name, /, **fields):
        """Add an event to the ring of the newest ones and to the log.

        docs/events.md lists the events.
        """
        self.add(name, fields)

    def add(self, name, fields):
        """Add an event whose fields are given as a mapping."""
        now_s = boottime_s()
        severity = kind_by_name(name).severity
        self._metrics.event_reported(name, severity.value)
        withheld = self._ring_limit.admit(name, now_s)
        if withheld is None:
            self._log_limit.withhold(name, now_s)
            return
        if withheld and name != "events_withheld":
            self.report("events_withheld", event=name, place="ring", count=withheld)
        event = self.events.add(name, self.clock.tick(_now_ms()), fields)
        repeats = self._log_limit.admit(name, now_s)
        if repeats is not None:
            logging.log(_LEVELS[severity], format_line(event, repeats))

    def run(self):
        """Report how many events were withheld, once none was for `QUIET_S`.

        Runs until killed.
        """
        while True:
            gevent.sleep(QUIET_S)
            now_s = boottime_s()
            for name, count in self._log_limit.take_withheld(now_s, QUIET_S):
                self.report("events_withheld", event=name, place="log", count=count)
            for name, count in self._ring_limit.take_withheld(now_s, QUIET_S):
                self.report("events_withheld", event=name, place="ring", count=count)

    def stamp(self):
        """Return the event clock's time for a message that is sent now."""
        return self.clock.tick(_now_ms())

    def receive(self, peer, received):
        """Merge the event clock's time from a peer's message into this node's clock."""
        ahead_ms = self.clock.merge(received, _now_ms())
        if ahead_ms:
            self.report("peer_clock_ahead", peer=peer, ahead_ms=ahead_ms)


def _now_ms():
    return time.time_ns() // 1_000_000
