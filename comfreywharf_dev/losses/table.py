"""Count refused and unknown requests by service, reason and time window.

Each node writes one line for each request that it refused or whose outcome is
unknown (docs/OPERATIONS.md). A line may have any text before its JSON.
"""

from collections import Counter

import attrs
import orjson

__all__ = ["Losses", "read_losses"]

_LOST = frozenset({"refused", "unknown"})


@attrs.define
class Losses:
    """Counts of lost requests by ``(service, decision, reason)`` and time window.

    Windows are ``window_s`` seconds long. ``resends`` counts them by the reason of the
    previous attempt, and ``unreadable`` the lines of decisions with invalid JSON.
    """

    window_s: float = 2.0
    by_reason: Counter = attrs.Factory(Counter)
    by_window: dict = attrs.Factory(dict)
    resends: Counter = attrs.Factory(Counter)
    unreadable: int = 0

    def add(self, at_s, line):
        """Count one line's fields; ``at_s`` is its time in seconds, if it has one."""
        decision = line.get("decision")
        if decision == "sent_again":
            self.resends[line.get("after", "")] += 1
        if decision not in _LOST:
            return
        key = (line.get("service", ""), decision, line.get("reason", ""))
        self.by_reason[key] += 1
        if at_s is not None:
            window_start_s = int(at_s // self.window_s) * self.window_s
            self.by_window.setdefault(window_start_s, Counter())[key[1:]] += 1

    def rows(self):
        """Yield ``(service, decision, reason, count, fraction)``, the largest first."""
        total = self.by_reason.total()
        for key, count in self.by_reason.most_common():
            yield *key, count, count / total


def read_losses(lines, window_s=2.0):
    """Return the `Losses` in lines of text; lines without a decision are skipped."""
    losses = Losses(window_s=window_s)
    for text in lines:
        json_start = text.find("{")
        if json_start < 0 or '"decision"' not in text:
            continue
        try:
            fields = orjson.loads(text[json_start:])
        except orjson.JSONDecodeError:
            losses.unreadable += 1
            continue
        losses.add(_time_s(text[:json_start]), fields)
    return losses


def _time_s(before):
    words = before.split()
    try:
        return float(words[0]) if words else None
    except ValueError:
        return None
