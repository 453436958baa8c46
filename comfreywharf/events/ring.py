"""A ring buffer of events, which counts the oldest events that it drops."""

from collections import deque

import attrs

from comfreywharf.events.catalogue import kind_by_name

__all__ = ["Event", "EventRing"]


@attrs.frozen(kw_only=True)
class Event:
    """A numbered event that a node reported.

    ``clock`` is a hybrid logical time. ``sequence`` counts the node's own events
    since its process started, and ``incarnation`` identifies that process.
    """

    number: int
    name: str
    node_id: str
    incarnation: int = 0
    sequence: int
    clock: int
    fields: dict[str, object]


class EventRing:
    """The latest events of one node, at most ``capacity`` of them."""

    def __init__(self, node_id, incarnation=0, capacity=4096):
        self._node_id = node_id
        self._incarnation = incarnation
        self._events = deque(maxlen=capacity)
        self._sequence = 0

    def add(self, name, clock, fields):
        """Add an event and return it.

        Raises `KeyError` if the catalogue has no event of this name, and
        `ValueError` if the fields differ from those in the catalogue.
        """
        kind = kind_by_name(name)
        if set(fields) != set(kind.fields):
            raise ValueError(
                f"{name}: found fields {sorted(fields)}; expected {kind.fields}"
            )
        self._sequence += 1
        event = Event(
            number=kind.number,
            name=name,
            node_id=self._node_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            clock=clock,
            fields=fields,
        )
        self._events.append(event)
        return event

    def since(self, sequence=0):
        """Return the stored events after a sequence number, oldest first."""
        return [event for event in self._events if event.sequence > sequence]

    @property
    def dropped(self):
        """Return how many events were dropped."""
        return self._sequence - len(self._events)
