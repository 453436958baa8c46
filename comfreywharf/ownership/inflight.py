"""Forwarded requests that may still take effect."""

import itertools

import attrs

__all__ = ["InFlight", "Ticket"]


@attrs.frozen
class Ticket:
    """One forwarded request: its service, key hash and deadline.

    ``long`` marks a deadline that the witnesses haven't received yet, so that they
    wouldn't make a taker wait for it.
    """

    service: str
    key_hash: int
    deadline_s: float
    long: bool


class InFlight:
    """The tickets of a node's forwarded requests.

    A ticket ends with its request or its deadline.

    ``margin_s`` is added to each deadline before it counts as past, since the
    backend server checks the deadline shortly before the effect.
    """

    def __init__(self, margin_s=0.02):
        self._numbers = itertools.count(1)
        self._tickets = {}
        self._long = {}
        self._margin_s = margin_s

    def add(self, ticket):
        """Register a request that is about to be forwarded; return its number."""
        number = next(self._numbers)
        self._tickets[number] = ticket
        if ticket.long:
            self._long[number] = ticket
        return number

    def remove(self, number):
        """Register that a request can no longer take effect."""
        self._tickets.pop(number, None)
        self._long.pop(number, None)

    def reach_until_s(self, now_s):
        """Return the latest deadline of the long requests."""
        ends_s = [ticket.deadline_s + self._margin_s for ticket in self._long.values()]
        return max(ends_s, default=now_s)

    def all_until_s(self, now_s):
        """Return the latest deadline of all requests."""
        ends_s = [t.deadline_s + self._margin_s for t in self._tickets.values()]
        return max(ends_s, default=now_s)

    def busy_until_s(self, service, start, end, now_s):
        """Return until when requests for a range may take effect; ``now_s`` if none."""
        until_s = now_s
        for ticket in self._tickets.values():
            if ticket.service == service and start <= ticket.key_hash < end:
                until_s = max(until_s, ticket.deadline_s + self._margin_s)
        return until_s

    def expire(self, now_s):
        """Drop tickets whose deadline is past by more than ``margin_s``."""
        past = [
            number
            for number, ticket in self._tickets.items()
            if ticket.deadline_s + self._margin_s < now_s
        ]
        for number in past:
            self.remove(number)

    def __len__(self):
        return len(self._tickets)
