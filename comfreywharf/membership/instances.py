"""Track the current incarnation of the backend server beside a node."""

from enum import Enum

import attrs

from comfreywharf.membership.incarnations import ServerIncarnation

__all__ = ["MAX_REPORT_DELAY_S", "HeartbeatKind", "InstanceTracker"]

MAX_REPORT_DELAY_S = 5.0
"""How long a heartbeat may be in transit, in seconds; specified by the platform. Until
then, a report with a start before the newest one is considered late."""


MAX_KNOWN_LEAVING = 64
"""How many incarnations are remembered that left before they were known."""


class HeartbeatKind(Enum):
    """What a heartbeat or a deregistration means for the current incarnation.

    ``FIRST``: there was no current incarnation before; ``RIVAL``: it is from another
    incarnation than the current one, which has to be verified; ``SAME``: the current
    one is up; ``LEAVES``: the current one reports for the first time that it leaves;
    ``LEAVING``: it reports so again; ``STALE``: the report is older than what is known,
    or from an incarnation that has ended.
    """

    FIRST = "first"
    RIVAL = "rival"
    SAME = "same"
    LEAVES = "leaves"
    LEAVING = "leaving"
    STALE = "stale"


@attrs.define
class InstanceTracker:
    """The current incarnation, and those that ended.

    Heartbeats can arrive out of order: one that a partition delayed may arrive after
    its sender has crashed and another incarnation has started. It must not make the
    earlier incarnation current again, since the new one would not get its requests.

    Of two incarnations with the same id, the one that started later is the current
    one. A report with an earlier start is a late one, unless the later incarnation
    has been silent for longer than a report may be late: then the machine's clock was
    set back. Equal starts mean the same incarnation. A start in the future is valid,
    since starts are only compared with each other.
    """

    current: ServerIncarnation | None = None
    leaving: bool = False
    _sequence: int = -1
    _ended: set = attrs.Factory(set)
    _newest: dict = attrs.Factory(dict)
    _known_leaving_s: dict = attrs.Factory(dict)
    _last_report_s: float = float("-inf")

    def receive_heartbeat(self, incarnation, sequence, leaving, now_s):
        """Return the `HeartbeatKind` of a heartbeat that was received at ``now_s``.

        ``sequence`` numbers the heartbeats of an incarnation; ``leaving`` is true if
        the server reports that it drains. After ``FIRST``, or once a ``RIVAL`` is
        the current one, the caller records this with `record_leaving`.
        """
        if incarnation in self._ended or self._is_outdated(incarnation, now_s):
            return HeartbeatKind.STALE
        if self.current is None:
            self.set_current(incarnation, sequence, now_s)
            return HeartbeatKind.FIRST
        if incarnation != self.current:
            return HeartbeatKind.RIVAL
        self._last_report_s = now_s
        if sequence <= self._sequence:
            return HeartbeatKind.STALE
        self._sequence = sequence
        if not leaving:
            return HeartbeatKind.SAME
        return (
            HeartbeatKind.LEAVING
            if self.leaving
            else self.record_leaving(incarnation, now_s)
        )

    def _is_outdated(self, incarnation, now_s):
        newest = self._newest.get(incarnation.instance)
        if newest is None or now_s >= self._last_report_s + MAX_REPORT_DELAY_S:
            return False
        # A report without a start is damaged if this server's reports have one.
        damaged = incarnation.started_ms is None and newest.started_ms is not None
        return damaged or incarnation.started_before(newest)

    def record_leaving(self, incarnation, since_s):
        """Record that an incarnation leaves, which was known ``since_s``.

        Return `HeartbeatKind.LEAVES` if that is the first such report of the current
        one, and `HeartbeatKind.STALE` otherwise. An incarnation that isn't the current
        one is remembered: a process that has just started may hear of its leaving
        before it hears a late heartbeat, which doesn't tell.
        """
        if self.current is None or not incarnation.may_refer_to(self.current):
            self._remember_leaving(incarnation, since_s)
            return HeartbeatKind.STALE
        if self.leaving:
            return HeartbeatKind.STALE
        self.leaving = True
        return HeartbeatKind.LEAVES

    def _remember_leaving(self, incarnation, since_s):
        if incarnation not in self._ended:
            self._known_leaving_s.setdefault(incarnation, since_s)
        if len(self._known_leaving_s) > MAX_KNOWN_LEAVING:
            del self._known_leaving_s[next(iter(self._known_leaving_s))]

    def take_known_leaving(self):
        """Return since when the current incarnation is known to leave, or ``None``.

        It then counts as leaving.
        """
        since_s = self._known_leaving_s.pop(self.current, None)
        if since_s is not None:
            self.leaving = True
        return since_s

    def set_current(self, incarnation, sequence=-1, now_s=float("-inf")):
        """Make an incarnation the current one; the one before it has ended."""
        self.end_current()
        self.current = incarnation
        self._sequence = sequence
        self._last_report_s = now_s
        self._newest[incarnation.instance] = incarnation

    def end_current(self):
        """Record that the current incarnation has ended."""
        if self.current is not None:
            self._ended.add(self.current)
        self.current = None
        self.leaving = False
