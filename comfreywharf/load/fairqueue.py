"""A bounded queue that is fair between flows and ordered by deadline in each."""

import heapq
import itertools
from abc import ABC, abstractmethod
from bisect import insort

import attrs

__all__ = ["LATE_RANK", "FairQueue", "RankedQueue", "RequestQueue", "Ticket"]

SPARE_ENTRIES = 64
"""How many entries of departed flows are kept before they are cleared away."""

LATE_RANK = 100
"""Added to the rank of a request that will be late: behind all that won't."""


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """One request before the backend server.

    ``flow`` is what must not starve others: the key, or ``None`` where a service
    isn't divided by key. An ``alone`` request is suspected of crashing backend
    servers and runs beside no other. ``rank`` 0 is the most urgent. Requests of one
    ``kind`` take about the same time. After
    ``target_s`` an answer is worth less; ``None`` means that it never is.
    """

    flow: object
    deadline_s: float
    arrived_s: float
    alone: bool = False
    rank: int = 0
    kind: object = None
    target_s: float | None = None
    begun_s: float | None = None
    late: bool = False

    @property
    def turn(self):
        """Return its rank among those that wait: late ones behind all others."""
        return self.rank + LATE_RANK if self.late else self.rank

    def make_late(self):
        """Let it wait behind all that can still be answered within their target."""
        self.target_s = None
        self.late = True

    def __lt__(self, other):
        """Order by deadline."""
        return self.deadline_s < other.deadline_s


@attrs.define(eq=False)
class _Flow:
    """The waiting tickets of one flow, and its start tag."""

    tag: float
    tickets: list[Ticket] = attrs.Factory(list)


class RequestQueue(ABC):
    """Requests that wait for a slot of the backend server, in some order."""

    @abstractmethod
    def __len__(self):
        """Return how many tickets wait."""

    @abstractmethod
    def __iter__(self):
        """Yield the waiting tickets, in no particular order."""

    @abstractmethod
    def push(self, ticket):
        """Add a ticket."""

    @abstractmethod
    def ahead_of(self, ticket):
        """Return an upper bound of how many tickets go before a new one."""

    @abstractmethod
    def pop(self, skip=frozenset()):
        """Take the next ticket whose flow isn't in ``skip``, or ``None``."""

    @abstractmethod
    def remove(self, ticket):
        """Take out a ticket that waits; false if it doesn't."""

    @abstractmethod
    def drop_from_longest(self):
        """Take out the ticket that is given up when the queue is too long."""


class RankedQueue(RequestQueue):
    """The most urgent first, and among equals the one that waits longest.

    For backend servers whose slots are shared by all keys alike: a hot key then
    starves nobody, and what matters is that a less urgent kind of request isn't
    served better than a more urgent one.
    """

    def __init__(self):
        self._ranks = {}

    def __len__(self):
        """Return how many tickets wait."""
        return sum(map(len, self._ranks.values()))

    def __iter__(self):
        """Yield the waiting tickets."""
        for tickets in self._ranks.values():
            yield from tickets

    def push(self, ticket):
        """Add a ticket."""
        self._ranks.setdefault(ticket.turn, []).append(ticket)

    def ahead_of(self, ticket):
        """Return how many tickets of its rank and of more urgent ones wait."""
        return sum(
            len(tickets) for turn, tickets in self._ranks.items() if turn <= ticket.turn
        )

    def pop(self, skip=frozenset()):
        """Take the ticket that is next."""
        waiting = [rank for rank, tickets in self._ranks.items() if tickets]
        return self._ranks[min(waiting)].pop(0) if waiting else None

    def remove(self, ticket):
        """Take out a ticket that waits; false if it doesn't."""
        tickets = self._ranks.get(ticket.turn, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        return True

    def drop_from_longest(self):
        """Take out the newest ticket of the least urgent rank."""
        waiting = [rank for rank, tickets in self._ranks.items() if tickets]
        return self._ranks[max(waiting)].pop()


class FairQueue(RequestQueue):
    """Start-time fair queueing over flows (Goyal, Vin and Cheng, 1996).

    A flow's start tag grows by one with each ticket that is taken from it, and
    the flow with the least tag is next. A flow that begins to wait starts at the
    tag of the last one taken, so that it comes before the backlog of a hot key
    but gains nothing from having been idle.
    """

    def __init__(self):
        self._flows = {}
        self._heap = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self):
        """Return how many tickets wait."""
        return self._length

    def __iter__(self):
        """Yield the waiting tickets, in no particular order."""
        for flow in self._flows.values():
            yield from flow.tickets

    def push(self, ticket):
        """Add a ticket."""
        flow = self._flows.get(ticket.flow)
        if flow is None:
            flow = _Flow(self._virtual_time)
            self._flows[ticket.flow] = flow
            self._schedule(flow, ticket.flow)
        insort(flow.tickets, ticket)
        self._length += 1

    def ahead_of(self, ticket):
        """Return an upper bound of how many tickets go before a new one."""
        flow = self._flows.get(ticket.flow)
        if flow is None:
            return min(self._length, len(self._flows))
        return min(self._length, (len(flow.tickets) + 1) * len(self._flows))

    def pop(self, skip=frozenset()):
        """Take the next ticket whose flow isn't in ``skip``, or ``None``."""
        kept = []
        taken = None
        while self._heap and taken is None:
            entry = heapq.heappop(self._heap)
            flow, name = entry[2], entry[3]
            if self._flows.get(name) is not flow:
                continue
            if name in skip:
                kept.append(entry)
                continue
            taken = self._take(flow, name)
        for entry in kept:
            heapq.heappush(self._heap, entry)
        return taken

    def _take(self, flow, name):
        ticket = flow.tickets.pop(0)
        self._length -= 1
        self._virtual_time = max(self._virtual_time, flow.tag)
        flow.tag += 1
        if flow.tickets:
            self._schedule(flow, name)
        else:
            del self._flows[name]
        return ticket

    def remove(self, ticket):
        """Take out a ticket that waits; false if it doesn't."""
        flow = self._flows.get(ticket.flow)
        if flow is None or ticket not in flow.tickets:
            return False
        flow.tickets.remove(ticket)
        self._length -= 1
        if not flow.tickets:
            del self._flows[ticket.flow]
        return True

    def drop_from_longest(self):
        """Take out the ticket with the latest deadline of the longest flow.

        Were the newcomer refused instead, a hot key would fill the queue and its
        neighbours would be refused for a load that isn't theirs (McKenney,
        1990).
        """
        longest = max(self._flows.values(), key=lambda flow: len(flow.tickets))
        ticket = longest.tickets[-1]
        self.remove(ticket)
        return ticket

    def _schedule(self, flow, name):
        heapq.heappush(self._heap, (flow.tag, next(self._order), flow, name))
        if len(self._heap) > 2 * len(self._flows) + SPARE_ENTRIES:
            self._compact()

    def _compact(self):
        """Drop entries of flows that have gone.

        While a frozen backend server finishes nothing, nothing is taken, and
        each flow that gave up would leave its entry behind: memory would grow
        for as long as the server is frozen.
        """
        self._heap = [e for e in self._heap if self._flows.get(e[3]) is e[2]]
        heapq.heapify(self._heap)
