"""Compare ways to keep the limit that a backend server names.

Run it with ``python -m comfreywharf_dev.comparisons.limits``.
"""

import heapq
import math
import random
from abc import ABC, abstractmethod
from collections import deque

import attrs

from comfreywharf.load.ratelimit import ServerRateLimit

__all__ = ["LIMIT_WAYS", "LimitOutcomes", "simulate_limit"]

LIMITS_PER_S = (0.25, 1.5, 4.9, 14.4, 40.0)
LOAD_FACTORS = (0.9, 2.5)
"""The arrivals, as multiples of the limit."""

CLUMP_REQUESTS = 4
PATIENCE_S = 0.7
PLAYED_S = 200.0
WINDOW_S = 4.0


class LimitWay(ABC):
    """A way to decide when the next request may be sent."""

    def __init__(self, limit_per_s):
        self.limit_per_s = limit_per_s

    @abstractmethod
    def opens_s(self, now_s):
        """Return when the next request may be sent, ``now_s`` or later."""

    @abstractmethod
    def record_sent(self, now_s):
        """Count a request that is sent now."""


class Bucket(LimitWay):
    """The product's token bucket."""

    def __init__(self, limit_per_s):
        super().__init__(limit_per_s)
        self._limit = ServerRateLimit()
        self._limit.record_named(limit_per_s, 0.0)

    def opens_s(self, now_s):
        """Return when the bucket has a token."""
        return now_s + self._limit.wait_s(1, now_s)

    def record_sent(self, now_s):
        """Take a token."""
        self._limit.record_sent(None, now_s)


class Window(LimitWay):
    """No more than the limit, rounded down, in any second; one at least."""

    def __init__(self, limit_per_s):
        super().__init__(limit_per_s)
        self._sent_s = deque(maxlen=max(1, math.floor(limit_per_s)))
        self._span_s = max(1.0, 1 / limit_per_s)

    def opens_s(self, now_s):
        """Return when the oldest request of a full window leaves it."""
        if len(self._sent_s) < self._sent_s.maxlen:
            return now_s
        return max(now_s, self._sent_s[0] + self._span_s)

    def record_sent(self, now_s):
        """Add a request to the window."""
        self._sent_s.append(now_s)


class Pacing(LimitWay):
    """One request after the other, at equal distances."""

    _next_s = 0.0

    def opens_s(self, now_s):
        """Return when the distance to the last request is over."""
        return max(now_s, self._next_s)

    def record_sent(self, now_s):
        """Begin the distance to the next request."""
        self._next_s = now_s + 1 / self.limit_per_s


LIMIT_WAYS = {"bucket": Bucket, "window": Window, "pacing": Pacing}


@attrs.frozen(kw_only=True)
class LimitOutcomes:
    """What callers and the server got.

    ``used`` is the fraction of the limit that was sent, ``served`` that of the
    requests, ``wait_s`` the mean wait of those. ``most_in_4_s`` and ``most_in_1_s`` are
    the most requests in such a window, as multiples of what the limit allows in it.
    """

    used: float
    served: float
    wait_s: float
    most_in_4_s: float
    most_in_1_s: float


def simulate_limit(make_way, limit_per_s, load_factor, seed=0):
    """Play clumped arrivals at one limited server; return the `LimitOutcomes`."""
    rng = random.Random(seed)
    way = make_way(limit_per_s)
    waiting, sent_s, waits_s = [], [], []
    arrivals_s = _arrivals(rng, limit_per_s * load_factor)
    for arrived_s in arrivals_s:
        _send_until(way, arrived_s, waiting, sent_s, waits_s)
        heapq.heappush(waiting, arrived_s)
    _send_until(way, PLAYED_S, waiting, sent_s, waits_s)
    return LimitOutcomes(
        used=len(sent_s) / (limit_per_s * PLAYED_S),
        served=len(sent_s) / max(1, len(arrivals_s)),
        wait_s=sum(waits_s) / max(1, len(waits_s)),
        most_in_4_s=_most_within(sent_s, WINDOW_S) / (limit_per_s * WINDOW_S),
        most_in_1_s=_most_within(sent_s, 1.0) / max(1.0, limit_per_s),
    )


def _arrivals(rng, per_s):
    arrivals_s, now_s = [], 0.0
    while now_s < PLAYED_S:
        now_s += rng.expovariate(per_s / CLUMP_REQUESTS)
        arrivals_s += [now_s] * CLUMP_REQUESTS
    return arrivals_s


def _send_until(way, end_s, waiting, sent_s, waits_s):
    """Send what waits and may be sent before a time; drop what has waited too long."""
    while waiting:
        send_s = max(way.opens_s(max(waiting[0], sent_s[-1] if sent_s else 0.0)), 0.0)
        if send_s > waiting[0] + PATIENCE_S:
            heapq.heappop(waiting)
            continue
        if send_s > end_s:
            return
        waits_s.append(send_s - heapq.heappop(waiting))
        sent_s.append(send_s)
        way.record_sent(send_s)


def _most_within(times_s, span_s):
    most, first = 0, 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - span_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def main():
    """Print the outcomes of each way at each limit and load."""
    names = [field.name for field in attrs.fields(LimitOutcomes)]
    print(f"{'limit':>8} {'load':>6} {'way':<8}" + "".join(f"{n:>13}" for n in names))
    for limit_per_s in LIMITS_PER_S:
        for factor in LOAD_FACTORS:
            for name, make_way in LIMIT_WAYS.items():
                outcomes = simulate_limit(make_way, limit_per_s, factor)
                row = "".join(f"{value:13.3f}" for value in attrs.astuple(outcomes))
                print(f"{limit_per_s:8g} {factor:6g} {name:<8}{row}")


if __name__ == "__main__":
    main()
