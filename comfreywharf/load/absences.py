"""Track members that are absent: their node or its backend server is down."""

import attrs

__all__ = ["Absences"]

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
"""Bounds of the pause after which one request probes an absent member."""

PAUSE_RESET_S = 10.0
"""Time after its return from which on a member's next absence starts with the
shortest pause again."""


@attrs.define
class _Absence:
    """A member's absence, and when its next probe is due.

    It is kept after its end, ``ended_s``, so that the pause of another absence soon
    after it continues from this one.
    """

    until_s: float
    pause_s: float
    probing: bool = False
    ended_s: float | None = None


@attrs.define
class Absences:
    """The absent members of one service, from the outcomes of this node's requests.

    Absence is kept apart from ejection, which excludes only part of the members.
    When absent members were ejected as failing ones, two lost servers of three
    received every request for ten seconds, while the third one stayed ejected
    because a request had reached it just before its server was up. Absent members
    are therefore excluded regardless of their number. Each is probed by one
    request after a pause that doubles with each failed probe.
    """

    _absences: dict[str, _Absence] = attrs.Factory(dict)

    def usable(self, members, now_s):
        """Return the members to choose from; empty if all are known to be absent.

        If an absent member is due for a probe, return only that one.
        """
        if not self._absences:
            return members
        for member in members:
            absence = self._absences.get(member.node_id)
            if absence and absence.ended_s is None and not absence.probing:
                if now_s >= absence.until_s:
                    return [member]
        return [m for m in members if not self.is_absent(m.node_id)]

    def is_absent(self, node_id):
        """Return whether a member is known to be absent."""
        absence = self._absences.get(node_id)
        return absence is not None and absence.ended_s is None

    def record_sent(self, node_id):
        """Record that a request is sent to a member; it probes an absent one."""
        if self.is_absent(node_id):
            self._absences[node_id].probing = True

    def record_absent(self, node_id, now_s):
        """Record that a request found a member absent."""
        absence = self._absences.get(node_id)
        if absence is None or _is_over(absence, now_s):
            self._absences[node_id] = _Absence(now_s + FIRST_PAUSE_S, FIRST_PAUSE_S)
            return
        if absence.probing or absence.ended_s is not None:
            absence.pause_s = min(2 * absence.pause_s, MAX_PAUSE_S)
            absence.until_s = now_s + absence.pause_s
        absence.probing = False
        absence.ended_s = None

    def record_no_outcome(self, node_id):
        """Record that a request ended without showing whether its member is present."""
        absence = self._absences.get(node_id)
        if absence is not None:
            absence.probing = False

    def record_present(self, node_id, now_s):
        """Record that a member answered, whatever the answer."""
        absence = self._absences.get(node_id)
        if absence is not None and absence.ended_s is None:
            absence.probing = False
            absence.ended_s = now_s


def _is_over(absence, now_s):
    ended_s = absence.ended_s
    return ended_s is not None and now_s > ended_s + PAUSE_RESET_S
