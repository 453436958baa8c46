"""The legend of the picture of a time line."""

from html import escape

from comfreywharf.events.catalogue import Severity
from comfreywharf.events.timeline.layout import WIDTH
from comfreywharf.events.timeline.merge import MISSING
from comfreywharf.events.timeline.shapes import (
    CLAIM_COLOUR,
    CROSS,
    box,
    service_colour,
    severity_shape,
)
from comfreywharf.events.timeline.spans import SpanState

__all__ = ["legend"]


def legend(services, spans, events):
    """Return the legend of colours and shapes, which is above the picture."""
    entries = [
        (box(service_colour(index)), f"{name}: slices owned")
        for index, name in enumerate(services)
    ]
    states = {span.state for span in spans}
    if SpanState.WAITING in states:
        entries.append((box("url(#wait)"), "owned, but no lease"))
    if SpanState.CLAIMED in states:
        entries.append((box(CLAIM_COLOUR), "taken over, not yet in the log"))
    entries += [
        (severity_shape(Severity.INFO, 6, 0, 4), "event"),
        (severity_shape(Severity.WARNING, 6, 0, 6), "warning"),
        (severity_shape(Severity.ERROR, 6, 0, 6), "error"),
        (
            '<path d="M1 0H12" stroke="#52606d" marker-end="url(#arrow)"/>',
            "slices move",
        ),
    ]
    names = {event.name for event in events}
    if "takeover" in names:
        entries.append((CROSS, "lease over, taken over"))
    if MISSING in names:
        entries.append((box("url(#gap)"), "events missing"))
    parts, x, y = [], 8, 16
    for symbol, label in entries:
        width = 34 + 6.4 * len(label)
        if x + width > WIDTH:
            x, y = 8, y + 20
        parts.append(
            f'<g transform="translate({x},{y})">{symbol}'
            f'<text x="19" y="4">{escape(label)}</text></g>'
        )
        x = round(x + width, 1)
    return "".join(parts)
