"""Compare ways to bound the arrivals at servers beyond the first of each request.

Run it with ``python -m comfreywharf_dev.comparisons.retries``.
"""

import random
from abc import ABC, abstractmethod

import attrs

from comfreywharf.routing import BurstTerms, RetryBudget

__all__ = ["RETRY_WAYS", "RetryLoad", "RetryOutcomes", "simulate_retries"]

FRACTION = 0.2
EXTRA = 58.0
NODES_OF_EXTRA = 24
"""With more nodes than these, the extra grows with them."""

WINDOW_S = 10.0
PLAYED_S = 60.0
REFUSING_S = (20.0, 35.0)
REFUSED_PART = 0.55
MISDIRECTING_S = (24.0, 30.0)
MISDIRECTED_SENDS = 7
"""How often a request is sent to a server that doesn't hold its key."""

RESENDS = 2


@attrs.frozen(kw_only=True)
class RetryLoad:
    """Requests to a service with one owner for each of ``nodes`` parts of its keys.

    One server refuses a part of its requests for a while. Another one refuses all of
    them meanwhile, since it doesn't hold the keys.
    """

    nodes: int
    requests_per_s: float

    @property
    def extra(self):
        """Return the retries that are allowed without any requests."""
        return EXTRA * max(1.0, self.nodes / NODES_OF_EXTRA)


class RetryWay(ABC):
    """A way to decide whether a request may reach a server another time."""

    def __init__(self, load):
        self.load = load

    @abstractmethod
    def count_request(self, entry, owner, now_s):
        """Count a request that came in at one node for a key of another one."""

    @abstractmethod
    def may_retry(self, entry, owner, misdirected, now_s):
        """Return whether it may be sent again, and count that."""


class OwnBursts(RetryWay):
    """Five retries a node in a burst; misdirected requests are sent on uncounted."""

    BURST = 5.0
    PART = 0.7

    def __init__(self, load):
        super().__init__(load)
        self._tokens = [0.0] * load.nodes

    def count_request(self, entry, owner, now_s):
        """Earn at the node where the request came in."""
        earned = self._tokens[entry] + self.PART * FRACTION
        self._tokens[entry] = min(self.BURST, earned)

    def may_retry(self, entry, owner, misdirected, now_s):
        """Take a token, unless the request was misdirected."""
        if misdirected:
            return True
        if self._tokens[entry] < 1:
            return False
        self._tokens[entry] -= 1
        return True


class Divided(RetryWay):
    """The product's budgets, with a ``PART`` of the fraction that is allowed."""

    PART = 0.7

    def __init__(self, load):
        super().__init__(load)
        terms = BurstTerms(fleet_retries=load.extra, window_s=WINDOW_S)
        self._budgets = [RetryBudget(terms, now_s=0.0) for _ in range(load.nodes)]

    def counting_node(self, entry, owner):
        """Return the node whose budget counts a request."""
        return entry

    def count_request(self, entry, owner, now_s):
        """Earn at the node that counts."""
        budget = self._budgets[self.counting_node(entry, owner)]
        budget.update(self.load.nodes, now_s)
        budget.earn(self.PART * FRACTION)

    def may_retry(self, entry, owner, misdirected, now_s):
        """Take a token at the node that counts."""
        return self._budgets[self.counting_node(entry, owner)].take()


class DividedMore(Divided):
    """The same with more of what is allowed."""

    PART = 0.8


class DividedNearly(Divided):
    """The same with nearly all of it."""

    PART = 0.9


class AtOwners(Divided):
    """Each owner's node counts what reaches its server."""

    def counting_node(self, entry, owner):
        """Return the node whose budget counts a request."""
        return owner


RETRY_WAYS = {
    "own bursts": OwnBursts,
    "at owners": AtOwners,
    "divided, 0.7": Divided,
    "divided, 0.8": DividedMore,
    "divided, 0.9": DividedNearly,
}


@attrs.frozen(kw_only=True)
class RetryOutcomes:
    """What callers and servers got.

    ``served`` is the part of the requests to the server that refuses, while it does,
    that are served; ``most`` the most arrivals beyond the first in any window, as a
    part of those allowed in it.
    """

    served: float
    most: float


def simulate_retries(make_way, load, seed=0):
    """Play a load with one way of counting; return the `RetryOutcomes`."""
    rng = random.Random(seed)
    way = make_way(load)
    times_s, repeats_s, asked, served = [], [], 0, 0
    now_s = 0.0
    while now_s < PLAYED_S:
        now_s += rng.expovariate(load.requests_per_s)
        entry, owner = rng.randrange(load.nodes), rng.randrange(load.nodes)
        times_s.append(now_s)
        way.count_request(entry, owner, now_s)
        refuses = owner == 0 and REFUSING_S[0] <= now_s < REFUSING_S[1]
        misdirects = owner == 1 and MISDIRECTING_S[0] <= now_s < MISDIRECTING_S[1]
        sends = MISDIRECTED_SENDS if misdirects else 1 + RESENDS
        is_served = False
        for number in range(sends):
            if number:
                if not way.may_retry(entry, owner, misdirects, now_s):
                    break
                repeats_s.append(now_s)
            if not misdirects and not (refuses and rng.random() < REFUSED_PART):
                is_served = True
                break
        if refuses:
            asked += 1
            served += is_served
    return RetryOutcomes(
        served=served / max(1, asked), most=_most_of_allowed(times_s, repeats_s, load)
    )


def _most_of_allowed(times_s, repeats_s, load):
    most = 0.0
    requests_from = requests_to = repeats_from = 0
    for last, ends_s in enumerate(repeats_s):
        starts_s = ends_s - WINDOW_S
        while repeats_s[repeats_from] <= starts_s:
            repeats_from += 1
        while times_s[requests_from] <= starts_s:
            requests_from += 1
        while requests_to < len(times_s) and times_s[requests_to] <= ends_s:
            requests_to += 1
        allowed = FRACTION * (requests_to - requests_from) + load.extra
        most = max(most, (last + 1 - repeats_from) / allowed)
    return most


LOADS = (
    RetryLoad(nodes=10, requests_per_s=400),
    RetryLoad(nodes=10, requests_per_s=20),
    RetryLoad(nodes=80, requests_per_s=1600),
    RetryLoad(nodes=80, requests_per_s=40),
)


def main():
    """Print the outcomes of each way with each load."""
    print(f"{'nodes':>6}{'per s':>8} {'way':<14}{'served':>9}{'most':>9}")
    for load in LOADS:
        for name, make_way in RETRY_WAYS.items():
            outcomes = simulate_retries(make_way, load)
            row = f"{outcomes.served:9.3f}{outcomes.most:9.3f}"
            print(f"{load.nodes:>6}{load.requests_per_s:>8g} {name:<14}{row}")


if __name__ == "__main__":
    main()
