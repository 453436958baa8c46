"""The store's era, which each of its answers names."""

import attrs

from comfreywharf.records.positions import MAX_ERA

__all__ = ["EraTracker"]

ERA_HEADER = "store-era"
MAX_ERA_STEP = 64
"""How much higher than the last one a believable era is. A store that is away may come
back from an older copy several times before a node hears of it again."""

MAX_ERA_DIGITS = 7


@attrs.define
class EraTracker:
    """The era of each answer of the store, and the highest one so far.

    An answer without an era is taken for one of the era that was named last. So is one
    whose era can't be read, or jumps: ``report_damaged(text)`` is called for the first.

    >>> eras = EraTracker()
    >>> [eras.era_of({"store-era": text}) for text in ("3", "4", "3")]
    [3, 4, 3]
    >>> eras.era_of({})
    4
    """

    report_damaged: object = lambda text: None
    latest: int | None = None
    _damage_reported: bool = False

    def era_of(self, response):
        """Return the era of an answer; a later answer may be of an earlier era."""
        text = response.get(ERA_HEADER)
        if text is None:
            return self.latest or 0
        era = self._parse(text)
        if era is None:
            if not self._damage_reported:
                self._damage_reported = True
                self.report_damaged(str(text))
            return self.latest or 0
        if self.latest is None or era > self.latest:
            self.latest = era
        return era

    def _parse(self, text):
        if not isinstance(text, str) or not text.isdecimal():
            return None
        if len(text) > MAX_ERA_DIGITS:
            return None
        era = int(text)
        highest = MAX_ERA if self.latest is None else self.latest + MAX_ERA_STEP
        return era if era <= min(highest, MAX_ERA) else None
