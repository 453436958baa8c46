"""Find the hottest keys within seconds, with bounded memory."""

import attrs

__all__ = ["HotKeyCount", "HotKeys"]

MAX_COUNTED_KEYS = 768
"""Limit on the keys with a count at a time."""

WINDOW_S = 2.0
"""Length of a counting window, after which its counts are reported as rates."""

REPORTED_KEYS = 25


@attrs.frozen
class HotKeyCount:
    """The hash of a key and its request rate."""

    service: str
    key_hash: int
    requests_per_s: float


class HotKeys:
    """Count requests by key in windows of a few seconds.

    Counts follow Misra and Gries (1982): when there are more than `MAX_COUNTED_KEYS`
    keys, all counts are reduced by their median (Anderson et al., 2017). A window's
    counts are a lower bound, off by at most 0.35% of the window's requests; the
    hottest 25 keys of a skewed load are far above that. The library that has this
    sketch depends on numpy, which took 14 MB and a quarter of the process's startup
    time. Two windows are kept, the current one and the last complete one, so that
    a key that is no longer hot is forgotten within two windows.
    """

    def __init__(self, now_s, window_s=WINDOW_S):
        self._window_s = window_s
        self._window_started_s = now_s
        self._current = {}
        self._complete = None
        self._complete_s = 0.0

    def count(self, service, key_hash, now_s):
        """Count one request."""
        if now_s - self._window_started_s >= self._window_s:
            self._rotate(now_s)
        key = (service, key_hash)
        self._current[key] = self._current.get(key, 0) + 1
        if len(self._current) > MAX_COUNTED_KEYS:
            self._current = _subtract_median(self._current)

    def hottest(self, now_s, limit=REPORTED_KEYS):
        """Return the hottest keys of the last complete window, hottest first."""
        if now_s - self._window_started_s >= self._window_s:
            self._rotate(now_s)
        if self._complete is None:
            return []
        found = sorted(self._complete.items(), key=lambda item: (-item[1], item[0]))
        return [
            HotKeyCount(service, value, count / self._complete_s)
            for (service, value), count in found[:limit]
        ]

    def _rotate(self, now_s):
        elapsed_s = now_s - self._window_started_s
        stale = elapsed_s >= 2 * self._window_s
        self._complete = None if stale else self._current
        self._complete_s = elapsed_s
        self._current = {}
        self._window_started_s = now_s


def _subtract_median(counts):
    """Return the counts reduced by their median, without those at or below zero."""
    median = sorted(counts.values())[len(counts) // 2]
    return {key: count - median for key, count in counts.items() if count > median}
