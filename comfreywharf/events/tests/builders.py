"""Builders of events as the nodes of a deployment of any size report them."""

from comfreywharf.events import CATALOGUE, Event
from comfreywharf.events.clock import COUNTER_BITS

__all__ = ["DOMAINS", "NodeEvents", "incident_events", "make_event"]

DOMAINS = ("agenskalns", "purvciems", "teika")
START_MS = 1_764_700_000_000


def make_event(name, node_id="booking-1", sequence=1, at_ms=0, incarnation=1, **fields):
    """Return an event; ``at_ms`` is its time after `START_MS`."""
    return Event(
        number=CATALOGUE[name].number,
        name=name,
        node_id=node_id,
        incarnation=incarnation,
        sequence=sequence,
        clock=(START_MS + at_ms) << COUNTER_BITS,
        fields=fields,
    )


class NodeEvents:
    """The events of one process of a node, numbered in the order of their addition."""

    def __init__(self, node_id, incarnation=1):
        self.node_id = node_id
        self.incarnation = incarnation
        self.events = []

    def add(self, name, at_ms, **fields):
        """Append an event with the next sequence number."""
        event = make_event(
            name,
            node_id=self.node_id,
            incarnation=self.incarnation,
            sequence=len(self.events) + 1,
            at_ms=at_ms,
            **fields,
        )
        self.events.append(event)


def incident_events(nodes):
    """Return the rings of nodes that start, and of which the second is killed.

    The first node takes over from the second one. The third node loses and
    regains its lease, and finds a gap in the log.
    """
    rings = [NodeEvents(f"booking-{index + 1}") for index in range(nodes)]
    for index, ring in enumerate(rings):
        domain = DOMAINS[index % len(DOMAINS)]
        ring.add("node_started", at_ms=index * 7 % 400, failure_domain=domain)
        ring.add("config_in_force", at_ms=700, version=1, offset=0)
        _add_gain(ring, at_ms=750, peer="", count=4 + index % 3, owned=4 + index % 3)
        ring.add("lease_started", at_ms=1000 + index * 13 % 200, offset=9)
    killed, taker = rings[1], rings[0]
    count = killed.events[2].fields["owned"]
    taker.add("takeover", at_ms=3100, owner=killed.node_id, slices=count)
    _add_gain(taker, 3150, peer=killed.node_id, count=count, owned=count + 4)
    taker.add("claim_over", at_ms=3200, owner=killed.node_id)
    rings[2].add("lease_lapsed", at_ms=20_000)
    rings[2].add("lease_healed", at_ms=20_600)
    rings[2].add("log_gap", at_ms=21_000, expected=10, first=40)
    return [ring.events for ring in rings]


def _add_gain(ring, at_ms, peer, count, owned):
    ring.add(
        "slices_gained",
        at_ms=at_ms,
        service="booking",
        count=count,
        peer=peer,
        owned=owned,
        offset=at_ms,
    )
