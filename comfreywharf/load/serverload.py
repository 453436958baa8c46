"""The load of one backend server, as known to the node beside it.

The server may report its load in its answers. What it reports adds to what the node
itself counts there, and is never needed: without it the node's own count holds.
"""

import math

import attrs

__all__ = [
    "MAX_REPORT_AGE_S",
    "LoadSnapshot",
    "ReportedLoad",
    "ServerLoadState",
    "estimated_answer_s",
]

MAX_REPORT_AGE_S = 1.0
"""An older report, or an older snapshot in a reply, isn't used."""

USUAL_PERCENT = 100
"""The duration of work that a server reports if it is as usual."""

CONTRADICTIONS = 3
"""After this many reports in a row of less than the node itself has in flight, reports
aren't believed. A single one may have been written before the latest requests came."""

CONFIRMATIONS = 5
"""After this many consistent reports in a row, they are believed again. Only reports
while the node has requests in flight count, since any load is consistent with none."""

WORK_WEIGHT = 0.03
"""Weight of the newest request in the mean duration of work, of about 30 requests."""

OCCUPANCY_KEPT_S = 0.3
"""The time after which a third of a known occupancy is still expected. A busy server
drains more slowly than one request takes: with the duration of work in its place, calls
of 30 ms to nearly full servers took a sixth longer."""

USUAL_OCCUPANCY = 0.7
"""The fraction of a server's slots that is assumed to be in use if its load is old."""


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """What a server reports of its load.

    ``work_percent`` is how long work takes at this moment, relative to the usual.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_PERCENT


@attrs.frozen(kw_only=True)
class LoadSnapshot:
    """The load of a server at one moment, including what waits at the node beside it.

    ``work_s`` is the mean duration of work, in seconds; 0 if unknown.
    """

    running: int
    waiting: int
    slots: int
    work_s: float

    @property
    def present(self):
        """Return how many requests run or wait."""
        return self.running + self.waiting


def estimated_answer_s(load, age_s, sent_since):
    """Return the estimated time until the answer to a request that is sent now.

    ``load`` is the server's `LoadSnapshot` of ``age_s`` ago, ``sent_since`` how many
    requests this node has sent there since. What was present then is replaced over
    time by requests of other nodes, of which nothing is known but the usual occupancy.

    >>> load = LoadSnapshot(running=3, waiting=3, slots=3, work_s=0.1)
    >>> round(estimated_answer_s(load, age_s=0.0, sent_since=0), 3)
    0.233
    """
    slots = max(load.slots, 1)
    kept = math.exp(-age_s / OCCUPANCY_KEPT_S)
    usual = USUAL_OCCUPANCY * slots
    present = usual + kept * (load.present - usual) + sent_since
    waiting = max(0.0, present + 1 - slots)
    return load.work_s * (1 + waiting / slots)


@attrs.define
class ServerLoadState:
    """The load of one start of a backend server.

    Of a report, only what exceeds the node's own count at that moment is kept: the
    node's own requests come and go until the next report, and it counts these itself.

    >>> state = ServerLoadState()
    >>> report = ReportedLoad(running=3, waiting=1, slots=3, work_percent=200)
    >>> state.record_report(report, in_flight=3, settled=2, now_s=0.0)
    >>> state.record_work(0.2, now_s=0.0)
    >>> state.snapshot(in_flight=2, queued=0, slots=3, now_s=0.5)
    LoadSnapshot(running=3, waiting=0, slots=3, work_s=0.2)
    >>> state.snapshot(in_flight=2, queued=0, slots=3, now_s=2.0)
    LoadSnapshot(running=2, waiting=0, slots=3, work_s=0.1)
    """

    believed: bool = True
    _report: ReportedLoad | None = None
    _reported_s: float = float("-inf")
    _excess: int = 0
    _contradictions: int = 0
    _confirmations: int = 0
    _usual_work_s: float = 0.0
    _answers: int = 0

    def record_report(self, report, in_flight, settled, now_s):
        """Apply a report; return whether reports are believed now if that changed.

        Return ``None`` if it didn't. ``in_flight`` is how many requests the node has
        at the server, ``settled`` how many of these the server must have counted.
        """
        self._report = report
        self._reported_s = now_s
        present = report.running + report.waiting
        self._excess = max(0, present - in_flight)
        if not settled:
            return None
        if present < settled:
            self._contradictions += 1
            self._confirmations = 0
        else:
            self._contradictions = 0
            self._confirmations += 1
        return self._update_belief()

    def _update_belief(self):
        if self.believed and self._contradictions >= CONTRADICTIONS:
            self.believed = False
            return False
        if not self.believed and self._confirmations >= CONFIRMATIONS:
            self.believed = True
            return True
        return None

    def record_work(self, elapsed_s, now_s):
        """Record how long the server took for an answer."""
        self._answers += 1
        usual_s = elapsed_s / self._slowness(now_s)
        weight = max(WORK_WEIGHT, 1 / self._answers)
        self._usual_work_s += weight * (usual_s - self._usual_work_s)

    def snapshot(self, in_flight, queued, slots, now_s):
        """Return the `LoadSnapshot`, from the node's own counts and the last report.

        ``queued`` requests wait at the node, which knows of ``slots`` of the server.
        """
        present = in_flight
        if self.uses_report(now_s):
            present += self._excess
            slots = min(slots, self._report.slots)
        running = min(present, slots)
        return LoadSnapshot(
            running=running,
            waiting=present - running + queued,
            slots=slots,
            work_s=self._usual_work_s * self._slowness(now_s),
        )

    def uses_report(self, now_s):
        """Return whether the last report is recent and believed."""
        return self.believed and now_s - self._reported_s <= MAX_REPORT_AGE_S

    def _slowness(self, now_s):
        if not self.uses_report(now_s):
            return 1.0
        return self._report.work_percent / USUAL_PERCENT
