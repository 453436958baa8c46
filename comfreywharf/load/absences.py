"""Members that can't be asked at the moment: their node is gone, or has no server."""

import attrs

__all__ = ["Absences"]

FIRST_PAUSE_S = 0.25
MOST_PAUSE_S = 4.0
"""How long a member is left alone before one request tries it again."""

FORGOTTEN_S = 10.0
"""A member that was there for so long is tried again soon when it is absent next."""


@attrs.define
class _Absence:
    until_s: float
    pause_s: float
    trying: bool = False
    ended_s: float | None = None


@attrs.define
class Absences:
    """Which members of one service are absent, as this node met them.

    An absent member says nothing of the quality of its server. Counted as failing ones,
    of which only a part may be out, two lost servers of three were asked by each
    request for ten seconds, while the third, which had been met a moment before its
    server was up, stood aside. Absent ones are left out however many they are; each is
    tried by one request after a pause that doubles.
    """

    _known: dict[str, _Absence] = attrs.Factory(dict)

    def usable(self, members, now_s):
        """Return the members to choose from; none if all are known to be absent.

        A member that is due for a try comes alone.
        """
        if not self._known:
            return members
        for member in members:
            absence = self._known.get(member.node_id)
            if absence and absence.ended_s is None and not absence.trying:
                if now_s >= absence.until_s:
                    return [member]
        return [m for m in members if not self.is_absent(m.node_id)]

    def is_absent(self, node_id):
        """Return whether a member is known to be absent."""
        absence = self._known.get(node_id)
        return absence is not None and absence.ended_s is None

    def asked(self, node_id):
        """Note that a request is sent to a member; it tries one that is absent."""
        if self.is_absent(node_id):
            self._known[node_id].trying = True

    def missed(self, node_id, now_s):
        """Note that a member was met absent."""
        absence = self._known.get(node_id)
        if absence is None or _is_over(absence, now_s):
            self._known[node_id] = _Absence(now_s + FIRST_PAUSE_S, FIRST_PAUSE_S)
            return
        if absence.trying or absence.ended_s is not None:
            absence.pause_s = min(2 * absence.pause_s, MOST_PAUSE_S)
            absence.until_s = now_s + absence.pause_s
        absence.trying = False
        absence.ended_s = None

    def dropped(self, node_id):
        """Note that a request ended without a word of its member."""
        absence = self._known.get(node_id)
        if absence is not None:
            absence.trying = False

    def met(self, node_id, now_s):
        """Note that a member answered, whatever it answered."""
        absence = self._known.get(node_id)
        if absence is not None and absence.ended_s is None:
            absence.trying = False
            absence.ended_s = now_s


def _is_over(absence, now_s):
    ended_s = absence.ended_s
    return ended_s is not None and now_s > ended_s + FORGOTTEN_S
