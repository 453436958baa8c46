"""Which life of the backend server beside a node is the living one."""

from enum import Enum

import attrs

from comfreywharf.membership.lives import Life

__all__ = ["LATEST_REPORT_S", "Instances", "Word"]

LATEST_REPORT_S = 5.0
"""How long a heartbeat may be on its way; seconds, by the platform's word. A start
that lies behind the newest one is a late report's until then."""


class Word(Enum):
    """What a heartbeat says.

    ``FIRST``: there was no living life before it; ``RIVAL``: it names another one than
    the living, which has to be verified; ``SAME``: the living one lives; ``LEAVES``:
    the living one says for the first time that it leaves; ``LEAVING``: it says so
    again; ``STALE``: it is older than what is known, or of a life that has ended.
    """

    FIRST = "first"
    RIVAL = "rival"
    SAME = "same"
    LEAVES = "leaves"
    LEAVING = "leaving"
    STALE = "stale"


@attrs.define
class Instances:
    """The living life, and those that ended.

    Heartbeats overtake each other: one that a partition held up may come after its
    sender has crashed and another life has begun. It must not bring the earlier one
    back, since the new one would then be refused its requests.

    Of two lives under one id, the one that began later is the living one. A start that
    lies behind is a late report's, unless the later life has been silent for longer
    than a report may be late: then the machine's clock was set back. Equal starts are
    one life, and a start in the future is as good as any, since starts are compared
    with each other only.
    """

    living: Life | None = None
    leaving: bool = False
    _sequence: int = -1
    _ended: set = attrs.Factory(set)
    _newest: dict = attrs.Factory(dict)
    _heard_s: float = float("-inf")

    def hear(self, life, sequence, leaving, now_s):
        """Return the `Word` of a heartbeat that came at ``now_s``."""
        if life in self._ended or self._lies_behind(life, now_s):
            return Word.STALE
        if self.living is None:
            self.begin(life, sequence, now_s)
            return Word.FIRST
        if life != self.living:
            return Word.RIVAL
        self._heard_s = now_s
        if sequence <= self._sequence:
            return Word.STALE
        self._sequence = sequence
        if not leaving:
            return Word.SAME
        return Word.LEAVING if self.leaving else self.leave(life)

    def _lies_behind(self, life, now_s):
        newest = self._newest.get(life.instance)
        if newest is None or now_s >= self._heard_s + LATEST_REPORT_S:
            return False
        # A report that lacks the start which its life is known to give is damaged.
        damaged = life.born_ms is None and newest.born_ms is not None
        return damaged or life.began_before(newest)

    def leave(self, life):
        """Return `Word.LEAVES` if the living life says so for the first time."""
        if self.living is None or not life.may_be(self.living) or self.leaving:
            return Word.STALE
        self.leaving = True
        return Word.LEAVES

    def begin(self, life, sequence=-1, now_s=float("-inf")):
        """Take a life for the living one; the one before it has ended."""
        self.end()
        self.living = life
        self._sequence = sequence
        self._heard_s = now_s
        self._newest[life.instance] = life

    def end(self):
        """Take note that the living life has ended."""
        if self.living is not None:
            self._ended.add(self.living)
        self.living = None
        self.leaving = False
