"""Queues of waiting requests: fair between flows, or ordered by rank."""

import heapq
import itertools
from abc import ABC, abstractmethod
from bisect import insort

import attrs

__all__ = ["LATE_RANK", "FairQueue", "RankedQueue", "RequestQueue", "Ticket"]

SPARE_ENTRIES = 64
"""Heap entries of removed flows that are kept, besides one per waiting flow, before
the heap is compacted."""

LATE_RANK = 100
"""Added to the rank of a late request, so that it waits behind all others."""

NESTED_LEAD = 0.5
"""Subtracted from the rank of a nested call, so that it waits before new requests of
its rank and behind those of a more urgent one. Its run holds a slot meanwhile."""


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """One request that waits for, or occupies, a slot of the backend server.

    ``flow`` is the unit of fairness: the key, or ``None`` if the service isn't
    divided by key. An ``alone`` request is suspected of crashing backend servers
    and runs beside no other. ``rank`` 0 is the most urgent. Requests of one
    ``kind`` take about the same time. The operator wants it answered by ``target_s``;
    ``None`` means that there is no target. A request that would wait longer than
    ``max_wait_s`` is refused: another server may be free. A ``nested``
    request is a call that a backend server makes while it runs another request.
    """

    flow: object
    deadline_s: float
    arrived_s: float
    alone: bool = False
    rank: int = 0
    kind: object = None
    target_s: float | None = None
    max_wait_s: float | None = None
    started_s: float | None = None
    late: bool = False
    nested: bool = False

    @property
    def effective_rank(self):
        """Return the rank in the queue; late requests rank behind all others."""
        rank = self.rank - NESTED_LEAD if self.nested else self.rank
        return rank + LATE_RANK if self.late else rank

    def mark_late(self):
        """Mark as late: it waits behind all requests that can meet their target."""
        self.target_s = None
        self.late = True

    def __lt__(self, other):
        """Order by deadline."""
        return self.deadline_s < other.deadline_s


@attrs.define(eq=False)
class _Flow:
    """The waiting tickets of one flow, and its start tag in virtual time."""

    tag: float
    tickets: list[Ticket] = attrs.Factory(list)


class RequestQueue(ABC):
    """Queue of requests that wait for a slot of the backend server."""

    @abstractmethod
    def __len__(self):
        """Return how many tickets wait."""

    @abstractmethod
    def __iter__(self):
        """Yield the waiting tickets, in no particular order."""

    @abstractmethod
    def in_service_order(self):
        """Return the waiting tickets in the order in which they would be served now."""

    @abstractmethod
    def push(self, ticket):
        """Add a ticket."""

    @abstractmethod
    def ahead_of(self, ticket):
        """Return an upper bound on the tickets served before a new one."""

    @abstractmethod
    def pop(self, skip=frozenset()):
        """Remove and return the next ticket whose flow isn't in ``skip``, or ``None``.

        A queue without flows ignores ``skip``.
        """

    def first_by_rank(self):
        """Return the next ticket of each waiting rank, apart from nested calls.

        It is empty if the queue isn't ordered by rank.
        """
        return {}

    def ahead_in_rank(self, ticket):
        """Return how many tickets of a new one's rank are served before it."""
        return self.ahead_of(ticket)

    @abstractmethod
    def remove(self, ticket):
        """Remove a waiting ticket; return false if it doesn't wait here."""

    @abstractmethod
    def evict(self):
        """Remove and return the ticket to refuse when the queue is too long."""


class RankedQueue(RequestQueue):
    """Order requests by rank, the most urgent first, and within a rank by arrival.

    For backend servers whose slots are shared by all keys: a hot key then starves
    no other key, and a less urgent kind of request must not be served better than a
    more urgent one.
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

    def in_service_order(self):
        """Return the tickets by rank, and within a rank by arrival."""
        return [t for rank in sorted(self._ranks) for t in self._ranks[rank]]

    def push(self, ticket):
        """Add a ticket."""
        self._ranks.setdefault(ticket.effective_rank, []).append(ticket)

    def ahead_of(self, ticket):
        """Return how many tickets of the same or a more urgent rank wait."""
        return sum(
            len(tickets)
            for effective_rank, tickets in self._ranks.items()
            if effective_rank <= ticket.effective_rank
        )

    def pop(self, skip=frozenset()):
        """Remove and return the next ticket, or ``None``."""
        waiting = [rank for rank, tickets in self._ranks.items() if tickets]
        return self._ranks[min(waiting)].pop(0) if waiting else None

    def first_by_rank(self):
        """Return the next ticket of each rank; late ones follow those in time."""
        first = {}
        for effective_rank in sorted(self._ranks):
            tickets = self._ranks[effective_rank]
            if tickets and not tickets[0].nested:
                first.setdefault(tickets[0].rank, tickets[0])
        return first

    def ahead_in_rank(self, ticket):
        """Return how many tickets of the rank wait; late ones count for late ones."""
        ahead = len(self._ranks.get(ticket.rank, ()))
        if ticket.late:
            ahead += len(self._ranks.get(ticket.effective_rank, ()))
        return ahead

    def remove(self, ticket):
        """Remove a waiting ticket; return false if it doesn't wait here."""
        tickets = self._ranks.get(ticket.effective_rank, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        return True

    def evict(self):
        """Remove and return the newest ticket of the least urgent rank."""
        waiting = [rank for rank, tickets in self._ranks.items() if tickets]
        return self._ranks[max(waiting)].pop()


class FairQueue(RequestQueue):
    """Start-time fair queueing over flows (Goyal, Vin and Cheng, 1996).

    A flow's start tag grows by one with each ticket served, and the flow with the
    lowest tag is served next. A flow that starts to wait gets the tag of the flow
    served last, so that it precedes the backlog of a hot key but gains nothing
    from its idle time. Tickets within a flow are ordered by deadline.
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

    def in_service_order(self):
        """Return the tickets by the start tags that they get if none arrives."""
        starts = [
            (tag + place, order, ticket)
            for tag, order, flow, name in self._heap
            if self._flows.get(name) is flow
            for place, ticket in enumerate(flow.tickets)
        ]
        return [ticket for _, _, ticket in sorted(starts, key=lambda start: start[:2])]

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
        """Return an upper bound on the tickets served before a new one."""
        flow = self._flows.get(ticket.flow)
        if flow is None:
            return min(self._length, len(self._flows))
        return min(self._length, (len(flow.tickets) + 1) * len(self._flows))

    def pop(self, skip=frozenset()):
        """Remove and return the next ticket whose flow isn't skipped, or ``None``."""
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
            taken = self._pop_from_flow(flow, name)
        for entry in kept:
            heapq.heappush(self._heap, entry)
        return taken

    def _pop_from_flow(self, flow, name):
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
        """Remove a waiting ticket; return false if it doesn't wait here."""
        flow = self._flows.get(ticket.flow)
        if flow is None or ticket not in flow.tickets:
            return False
        flow.tickets.remove(ticket)
        self._length -= 1
        if not flow.tickets:
            del self._flows[ticket.flow]
        return True

    def evict(self):
        """Remove and return the ticket with the latest deadline of the longest flow.

        If the new ticket were refused instead, a hot key would fill the queue, and
        requests for other keys would be refused because of it (McKenney, 1990).
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
        """Drop the heap entries of removed flows.

        While a frozen backend server finishes nothing, no entry is popped, and each
        flow whose callers gave up would leave an entry: memory would grow for as
        long as the server is frozen.
        """
        self._heap = [e for e in self._heap if self._flows.get(e[3]) is e[2]]
        heapq.heapify(self._heap)
