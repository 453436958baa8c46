"""The lanes of the picture of a time line: how long nodes run, own and move slices."""

from html import escape

from comfreywharf.events.timeline.layout import LABEL_PX
from comfreywharf.events.timeline.merge import time_ms
from comfreywharf.events.timeline.shapes import CLAIM_COLOUR, service_colour
from comfreywharf.events.timeline.spans import SpanState
from comfreywharf.events.timeline.text import format_time

__all__ = ["arrows", "bars", "uptimes"]

MAX_ARROWS = 400


def uptimes(scale, events):
    """Yield a line from the first to the last event of each node's incarnation."""
    uptimes = {}
    for event in events:
        run = (event.node_id, event.incarnation)
        first_ms, _ = uptimes.get(run, (time_ms(event), None))
        uptimes[run] = (first_ms, time_ms(event))
    for (node_id, _), (first_ms, last_ms) in uptimes.items():
        y = scale.rows[node_id] + scale.row_height - 3
        yield (
            f'<path d="M{scale.x(first_ms)} {y}H{scale.x(last_ms)}" '
            'stroke="#9aa5b1" stroke-width="1.5"/>'
        )


def bars(scale, spans, services):
    """Yield a bar for each span, with a height in proportion to its count."""
    max_count = max((span.count for span in spans), default=1)
    for span in spans:
        x = scale.x(span.start_ms)
        width = round(max(1.0, scale.x(span.end_ms) - x), 1)
        max_height = scale.row_height * (0.62 if scale.row_height > 20 else 0.85)
        height = round(max(3.0, max_height * span.count / max_count), 1)
        bottom = scale.rows[span.node_id] + scale.row_height - 3
        fill = _fill(span, services)
        label = _bar_label(span, width, height)
        yield (
            f'<rect class="span" x="{x}" y="{round(bottom - height, 1)}" '
            f'width="{width}" height="{height}" rx="1.5" fill="{fill}">'
            f"<title>{escape(_span_title(span))}</title></rect>"
            + label.format(x=x + 5, y=round(bottom - height / 2 + 4, 1))
        )


def _fill(span, services):
    if span.state == SpanState.CLAIMED:
        return CLAIM_COLOUR
    index = services.index(span.service)
    waiting = span.state == SpanState.WAITING
    return f"url(#wait{index})" if waiting else service_colour(index)


def _bar_label(span, width, height):
    if width < LABEL_PX or height < 11 or span.state == SpanState.WAITING:
        return ""
    return f'<text class="inside" x="{{x}}" y="{{y}}">{span.count}</text>'


def _span_title(span):
    activity = {
        SpanState.SERVING: f"serves {span.count} slices of {span.service}",
        SpanState.WAITING: f"owns {span.count} slices of {span.service}, no lease",
        SpanState.CLAIMED: f"took over {span.count} slices of {span.service}",
    }[span.state]
    length_s = (span.end_ms - span.start_ms) / 1000
    start, end = format_time(span.start_ms), format_time(span.end_ms)
    return f"{span.node_id} {activity}\n{start} to {end} ({length_s:.3f} s)"


def arrows(scale, events):
    """Yield an arrow for each move of slices from one lane to another.

    At most `MAX_ARROWS` arrows are drawn.
    """
    moves = [
        event
        for event in events
        if event.name == "slices_gained" and event.fields["peer"] in scale.rows
    ]
    for event in moves[:MAX_ARROWS]:
        x = scale.x(time_ms(event))
        middle = scale.row_height - 8
        y1 = round(scale.rows[event.fields["peer"]] + middle, 1)
        y2 = round(scale.rows[event.node_id] + middle, 1)
        curve_x = round(x + 12 + abs(y2 - y1) / 30, 1)
        yield (
            f'<path class="move" d="M{x} {y1}Q{curve_x} {(y1 + y2) / 2:.1f} {x} {y2}" '
            'fill="none" stroke="#52606d" stroke-opacity=".6" '
            f'marker-end="url(#arrow)"><title>{escape(_move_title(event))}</title>'
            "</path>"
        )


def _move_title(event):
    fields = event.fields
    return (
        f"{fields['count']} slices of {fields['service']} from {fields['peer']} "
        f"to {event.node_id}, by the record at offset {fields['offset']}"
    )
