"""Spans of ownership, derived from the events of a time line."""

from enum import Enum

import attrs

from comfreywharf.events.timeline.merge import time_ms

__all__ = ["Span", "SpanState", "ownership_spans"]


class SpanState(Enum):
    """Whether a node could serve during a span, and on which basis; see `Span`."""

    SERVING = "serving"
    WAITING = "waiting"
    CLAIMED = "claimed"


@attrs.frozen(kw_only=True)
class Span:
    """A time in which a node owned ``count`` slices of a service.

    ``SERVING`` means that the node owned the slices and had a lease, ``WAITING``
    that it owned them according to the log but had no lease. ``CLAIMED`` means
    that the node was the standby of a lost owner, and served the owner's slices
    before the log had a record of it; ``service`` then is the lost owner's id.
    """

    node_id: str
    service: str
    count: int
    state: SpanState
    start_ms: int
    end_ms: int


@attrs.define(kw_only=True)
class _NodeState:
    lease: bool = False
    owned: dict[str, int] = attrs.Factory(dict)
    claims: dict[str, int] = attrs.Factory(dict)
    since_ms: int = 0


_LEASE_EVENTS = {
    "lease_started": True,
    "lease_healed": True,
    "lease_lapsed": False,
    "lease_surrendered": False,
    "superseded": False,
    "node_started": False,
    "node_stopped": False,
}


class _SpanBuilder:
    """Track each node's ownership from event to event."""

    def __init__(self, events):
        self.spans = []
        self._nodes = {}
        # A killed node can't report the slices that it lost. Its losses are then
        # derived from the gains of other nodes, but not those that it reported,
        # so that each loss counts once.
        self._reported_losses = {
            (event.node_id, event.fields["service"], event.fields["offset"])
            for event in events
            if event.name == "slices_lost"
        }

    def read(self, event):
        """Update the ownership with the next event."""
        fields = event.fields
        if event.name in _LEASE_EVENTS:
            self._close_at(event)
            self._state_of(event).lease = _LEASE_EVENTS[event.name]
        elif event.name in ("slices_gained", "slices_lost"):
            self._close_at(event)
            node = self._state_of(event)
            node.owned[fields["service"]] = fields["owned"]
            node.claims.pop(fields["peer"], None)
            if event.name == "slices_gained" and fields["peer"]:
                self._infer_loss(event)
        elif event.name == "takeover":
            self._close_at(event)
            self._state_of(event).claims[fields["owner"]] = fields["slices"]
            self._end_lease(event)
        elif event.name == "claim_over":
            self._close_at(event)
            self._state_of(event).claims.pop(fields["owner"], None)

    def _infer_loss(self, event):
        fields = event.fields
        loser_id, service = fields["peer"], fields["service"]
        node = self._nodes.get(loser_id)
        if (
            node is None
            or (loser_id, service, fields["offset"]) in self._reported_losses
        ):
            return
        self._close_at(event, loser_id)
        node.owned[service] = max(0, node.owned.get(service, 0) - fields["count"])

    def _end_lease(self, event):
        """End the lease of a lost owner at the takeover by its standby.

        A standby gets the owner's keys only after the owner's lease has expired.
        A killed owner can't report that itself, so its serving span would
        otherwise continue.
        """
        lost = event.fields["owner"]
        if lost in self._nodes:
            self._close_at(event, lost)
            self._nodes[lost].lease = False

    def _state_of(self, event):
        if event.node_id not in self._nodes:
            self._nodes[event.node_id] = _NodeState(since_ms=time_ms(event))
        return self._nodes[event.node_id]

    def _close_at(self, event, node_id=None):
        """End the open spans of a node at an event's time."""
        self._state_of(event)
        self.close(node_id or event.node_id, time_ms(event))

    def close(self, node_id, end_ms):
        """End the open spans of a node at a time, and start new ones."""
        node = self._nodes[node_id]
        state = SpanState.SERVING if node.lease else SpanState.WAITING
        running = [(name, count, state) for name, count in node.owned.items()]
        running += [(n, count, SpanState.CLAIMED) for n, count in node.claims.items()]
        for name, count, span_state in running:
            if count and end_ms > node.since_ms:
                span = Span(
                    node_id=node_id,
                    service=name,
                    count=count,
                    state=span_state,
                    start_ms=node.since_ms,
                    end_ms=end_ms,
                )
                self.spans.append(span)
        node.since_ms = max(node.since_ms, end_ms)

    def close_all(self, end_ms):
        """End the open spans of all nodes."""
        for node_id in self._nodes:
            self.close(node_id, end_ms)


def ownership_spans(events):
    """Return the spans of ownership in merged events, ordered by their ends."""
    if not events:
        return []
    builder = _SpanBuilder(events)
    for event in events:
        builder.read(event)
    builder.close_all(max(time_ms(event) for event in events))
    return builder.spans
