"""The time line as text for terminals and as JSON for programs."""

import json
from datetime import UTC, datetime

import attrs

from comfreywharf.events.lines import format_value
from comfreywharf.events.ring import Event
from comfreywharf.events.timeline.merge import MISSING, severity_of, time_ms

__all__ = ["describe", "format_time", "from_json", "render_json", "render_text"]


MAX_NAMED_NODES = 5
"""How many nodes with the same event are named in one line."""


def format_time(milliseconds):
    """Return the time of day in UTC, to the millisecond, of ms since 1970."""
    time_of_day = datetime.fromtimestamp(milliseconds / 1000, UTC)
    return f"{time_of_day:%H:%M:%S}.{milliseconds % 1000:03d}"


def describe(event):
    """Return the number, name and fields of an event as text."""
    if event.name == MISSING:
        return f"---- {event.fields['count']} events fell out of this node's ring"
    fields = "".join(f" {k}={format_value(v)}" for k, v in event.fields.items())
    return f"E{event.number} {event.name}{fields}"


def render_text(events):
    """Return one line per event, or per group of equal events of several nodes."""
    if not events:
        return "no events\n"
    start_ms = time_ms(events[0])
    return "".join(_group_line(group, start_ms) for group in _groups(events))


def _groups(events):
    """Group successive events of different nodes with equal names and fields."""
    groups = []
    for event in events:
        if groups and _can_join(groups[-1], event):
            groups[-1].append(event)
        else:
            groups.append([event])
    return groups


def _can_join(group, event):
    first = group[0]
    if (first.name, first.fields) != (event.name, event.fields):
        return False
    return all(other.node_id != event.node_id for other in group)


def _group_line(group, start_ms):
    first = group[0]
    at_ms = time_ms(first)
    nodes = ",".join(event.node_id for event in group)
    if len(group) > MAX_NAMED_NODES:
        nodes = f"{len(group)} nodes from {first.node_id} on"
    offset_s = (at_ms - start_ms) / 1000
    return f"{format_time(at_ms)} {offset_s:+.3f}s {nodes} {describe(first)}\n"


def render_json(events):
    """Return the events as a JSON list of objects, with their severity and time."""
    documents = [
        {
            **attrs.asdict(event),
            "severity": severity_of(event).value,
            "time_ms": time_ms(event),
        }
        for event in events
    ]
    return json.dumps(documents, indent=1) + "\n"


def from_json(documents):
    """Return the events in the decoded JSON of ``/events`` or of `render_json`.

    Raises `ValueError` if the documents aren't events.
    """
    names = {field.name for field in attrs.fields(Event)}
    try:
        return [
            Event(**{name: value for name, value in d.items() if name in names})
            for d in documents
        ]
    except (AttributeError, TypeError) as error:
        raise ValueError(f"no events: {error}") from error
