"""Order the events of many nodes so that no effect precedes its cause."""

import heapq
from collections import defaultdict

import attrs

from comfreywharf.events.catalogue import CATALOGUE, Severity
from comfreywharf.events.clock import EventClock
from comfreywharf.events.ring import Event

__all__ = ["MISSING", "Lane", "lanes_of", "merge", "severity_of", "time_ms"]

MISSING = "events_missing"
"""The name of the event that represents events that a ring dropped."""


def merge(lists):
    """Return all events of several lists in causal order, without duplicates.

    Each list has the events fetched from a node's ring. The lists may be in any
    order and may overlap, as when a node was queried before and after a fault.
    Events of one incarnation of a node are ordered by their sequence numbers.
    Events of different nodes are ordered by the hybrid logical clocks, which are
    sent with messages.

    Events that a ring dropped before they were fetched are represented by an
    event named `MISSING` with their count.
    """
    runs = defaultdict(dict)
    for events in lists:
        for event in events:
            runs[event.node_id, event.incarnation][event.sequence] = event
    ordered = [_with_sort_keys(_with_gaps(run)) for run in runs.values()]
    return [event for _, event in heapq.merge(*ordered, key=lambda pair: pair[0])]


def _with_gaps(run):
    expected = 1
    events = []
    for sequence in sorted(run):
        event = run[sequence]
        if sequence > expected:
            events.append(_gap_event(event, expected))
        events.append(event)
        expected = sequence + 1
    return events


def _gap_event(following, first_missing_sequence):
    return Event(
        number=0,
        name=MISSING,
        node_id=following.node_id,
        incarnation=following.incarnation,
        sequence=first_missing_sequence,
        clock=following.clock,
        fields={"count": following.sequence - first_missing_sequence},
    )


def _with_sort_keys(events):
    """Return ``(sort key, event)`` pairs that keep the order of one incarnation.

    The clock of an incarnation steps back if the machine's wall clock was ahead
    and was corrected. Sorted by their times alone, the events before the step
    would follow those after it. The time in an event's key is therefore the
    earliest time of the event and of all that follow it.
    """
    pairs = []
    earliest = None
    for event in reversed(events):
        earliest = event.clock if earliest is None else min(earliest, event.clock)
        key = (earliest, event.node_id, event.incarnation, event.sequence)
        pairs.append((key, event))
    pairs.reverse()
    return pairs


def time_ms(event):
    """Return an event's wall clock time, in ms since 1970."""
    return EventClock.milliseconds(event.clock)


def severity_of(event):
    """Return an event's severity, which is `Severity.INFO` if its kind is unknown.

    A kind can be unknown if the node runs another version.
    """
    if event.name == MISSING:
        return Severity.WARNING
    kind = CATALOGUE.get(event.name)
    return kind.severity if kind else Severity.INFO


@attrs.frozen(kw_only=True)
class Lane:
    """One node's row in the picture, below the heading of its failure domain."""

    node_id: str
    failure_domain: str


def lanes_of(events, domains=None):
    """Return a `Lane` for each node, grouped by failure domain.

    ``domains`` maps node ids to failure domains. The domain of a node that isn't
    in it is read from the node's own ``node_started`` event.
    """
    domain_of_node = {
        event.node_id: event.fields["failure_domain"]
        for event in events
        if event.name == "node_started" and "failure_domain" in event.fields
    }
    domain_of_node.update(domains or {})
    node_ids = {event.node_id for event in events}
    lanes = [
        Lane(node_id=node_id, failure_domain=domain_of_node.get(node_id, ""))
        for node_id in node_ids
    ]
    return sorted(
        lanes, key=lambda lane: (lane.failure_domain, _natural_sort_key(lane.node_id))
    )


def _natural_sort_key(name):
    """Return a key that sorts booking-2 before booking-10."""
    head, _, tail = name.rpartition("-")
    return (head, int(tail), "") if tail.isdecimal() else (name, -1, "")
