"""The markers of events in the picture of a time line."""

from html import escape

import attrs

from comfreywharf.events.catalogue import Severity
from comfreywharf.events.timeline.merge import MISSING, severity_of, time_ms
from comfreywharf.events.timeline.shapes import MARKER_COLOURS, severity_shape
from comfreywharf.events.timeline.text import describe, format_time

__all__ = ["markers", "takeovers"]

MERGE_PX = 7
"""Markers of one lane and severity that are closer than this, in px, are merged."""

TITLE_LINES = 12


def takeovers(scale, events):
    """Yield a cross at the first takeover from each node."""
    seen = set()
    for event in events:
        if event.name != "takeover" or event.fields["owner"] not in scale.rows:
            continue
        owner = event.fields["owner"]
        if owner in seen:
            continue
        seen.add(owner)
        x = scale.x(time_ms(event))
        y = round(scale.rows[owner] + scale.row_height * 0.7, 1)
        yield (
            f'<path class="mark" d="M{x - 5} {y - 5}l10 10m0 -10l-10 10" '
            f'stroke="{MARKER_COLOURS[Severity.ERROR]}" stroke-width="2.5">'
            f"<title>{escape(owner)}'s lease is over; {escape(event.node_id)} and "
            f"other standbys serve its keys from {format_time(time_ms(event))} on"
            "</title></path>"
        )


@attrs.define(kw_only=True)
class _Marker:
    x: float
    node_id: str
    severity: Severity
    events: list


def markers(scale, events):
    """Yield a marker for each event, or one for several that are close together.

    The most severe markers come last, so that they are drawn above the others.
    """
    latest = {}
    found = []
    for event in events:
        if event.name == MISSING:
            yield _missing_events(scale, event)
            continue
        lane_key = (event.node_id, severity_of(event))
        x = scale.x(time_ms(event))
        marker = latest.get(lane_key)
        if marker and x - marker.x < MERGE_PX:
            marker.events.append(event)
            continue
        marker = _Marker(x=x, node_id=lane_key[0], severity=lane_key[1], events=[event])
        latest[lane_key] = marker
        found.append(marker)
    order = list(Severity)
    for marker in sorted(found, key=lambda m: order.index(m.severity)):
        yield _marker(scale, marker)


def _marker(scale, marker):
    small = scale.row_height < 20
    y = scale.rows[marker.node_id] + (5 if small else 8)
    count = len(marker.events)
    size = 6 if marker.severity != Severity.INFO else 3 + min(1.5, count / 8)
    size = size * 0.75 if small else size
    lines = [f"{format_time(time_ms(e))} {describe(e)}" for e in marker.events]
    if len(lines) > TITLE_LINES:
        lines[TITLE_LINES:] = [f"and {len(lines) - TITLE_LINES} more"]
    title = escape("\n".join([marker.node_id, *lines]))
    shape = severity_shape(marker.severity, marker.x, y, size)
    return f'<g class="mark">{shape}<title>{title}</title></g>'


def _missing_events(scale, event):
    x = scale.x(time_ms(event))
    y = scale.rows[event.node_id]
    title = escape(f"{event.node_id}\n{describe(event)}")
    return (
        f'<rect x="{x - 10}" y="{y + 2}" width="10" height="{scale.row_height - 4}" '
        f'fill="url(#gap)"><title>{title}</title></rect>'
    )
