"""The SVG picture of a time line, with a lane for each node.

Time runs to the right. The height of a lane's bar is the number of slices that the
node owns, relative to the largest number, so that imbalance is visible. Markers
above the bar are events; warnings and errors have larger markers. Bars, markers and
arrows have a title that the browser shows on hovering.
"""

from html import escape
from itertools import groupby

import attrs

from comfreywharf.events.catalogue import Severity
from comfreywharf.events.timeline.merge import MISSING, severity_of, time_ms
from comfreywharf.events.timeline.scale import TimeScale
from comfreywharf.events.timeline.spans import SpanState, ownership_spans
from comfreywharf.events.timeline.text import describe, format_time

__all__ = ["render_svg"]

WIDTH = 1280
LEFT = 130
RIGHT = 24
TOP = 74
DOMAIN_HEIGHT = 20
MERGE_PX = 7
"""Markers of one lane and severity that are closer than this, in px, are merged."""

MAX_ARROWS = 400
LABEL_PX = 34
"""The width of the narrowest bar with its count written inside, in px."""

TITLE_LINES = 12

PALETTE = ("#2f6f9f", "#4d8b57", "#7a5ea8", "#b0702a", "#2f8f8f", "#9c4f6f")
MARKER_COLOURS = {
    Severity.INFO: "#829ab1",
    Severity.WARNING: "#f0a30a",
    Severity.ERROR: "#d0312d",
}
CLAIM_COLOUR = "#e0662f"

_TICKS_MS = [
    factor * power for power in (1, 10, 100, 1000, 10_000) for factor in (1, 2, 5)
] + [60_000, 120_000, 300_000, 600_000, 1_800_000, 3_600_000, 21_600_000, 86_400_000]


@attrs.define(kw_only=True)
class _Scale:
    """The positions of times and nodes in the picture, in px."""

    time: TimeScale
    rows: dict[str, float]
    row_height: float

    def x(self, at_ms):
        return self.time.x(at_ms)


def render_svg(events, lanes):
    """Return the SVG of merged events, with the nodes in the order of ``lanes``."""
    if not events:
        return ""
    times = [time_ms(event) for event in events]
    scale, bands, height = _layout(lanes, TimeScale(times, LEFT, WIDTH - RIGHT))
    spans = ownership_spans(events)
    owned = {span.service for span in spans if span.state != SpanState.CLAIMED}
    services = sorted(owned)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'viewBox="0 0 {WIDTH} {height}" role="img" aria-label="Time line">',
        _patterns(services),
        _legend(services, spans, events),
        *bands,
        *_axis(scale, height),
        *_node_names(scale, lanes),
        *_uptimes(scale, events),
        *_bars(scale, spans, services),
        *_quiet_columns(scale, height),
        *_arrows(scale, events),
        *_takeovers(scale, events),
        *_markers(scale, events),
        "</svg>",
    ]
    return "\n".join(parts)


def _layout(lanes, time):
    row_height = 38 if len(lanes) <= 16 else 24 if len(lanes) <= 40 else 15
    rows, bands, y = {}, [], TOP
    grouped = groupby(lanes, key=lambda lane: lane.failure_domain)
    for index, (domain, members) in enumerate(grouped):
        members = list(members)
        height = DOMAIN_HEIGHT + len(members) * row_height + 6
        fill = "#f5f7fa" if index % 2 == 0 else "#fbfcfd"
        name = escape(domain or "failure domain unknown")
        bands.append(
            f'<rect x="0" y="{y}" width="{WIDTH}" height="{height}" fill="{fill}"/>'
            f'<text class="domain" x="8" y="{y + 14}">{name}</text>'
        )
        y += DOMAIN_HEIGHT
        for lane in members:
            rows[lane.node_id] = y
            y += row_height
        y += 6
    scale = _Scale(time=time, rows=rows, row_height=row_height)
    return scale, bands, y + 8


def _patterns(services):
    """Return the hatched fills, one for each service and one for gaps."""
    colours = {f"wait{i}": _colour(i) for i in range(len(services))}
    colours |= {"gap": "#52606d", "wait": "#52606d"}
    hatches = "".join(
        f'<pattern id="{name}" width="6" height="6" patternUnits="userSpaceOnUse" '
        f'patternTransform="rotate(45)"><rect width="6" height="6" fill="#fff" '
        f'fill-opacity=".6"/><rect width="2" height="6" fill="{colour}" '
        f'fill-opacity=".55"/></pattern>'
        for name, colour in colours.items()
    )
    arrow = (
        '<marker id="arrow" viewBox="0 0 6 6" refX="5" refY="3" markerWidth="5" '
        'markerHeight="5" orient="auto"><path d="M0 0L6 3L0 6z" fill="#52606d"/>'
        "</marker>"
    )
    return f"<defs>{hatches}{arrow}</defs>"


def _colour(index):
    return PALETTE[index % len(PALETTE)]


def _legend(services, spans, events):
    """Return the legend of colours and shapes, which is above the picture."""
    entries = [
        (_box(_colour(index)), f"{name}: slices owned")
        for index, name in enumerate(services)
    ]
    states = {span.state for span in spans}
    if SpanState.WAITING in states:
        entries.append((_box("url(#wait)"), "owned, but no lease"))
    if SpanState.CLAIMED in states:
        entries.append((_box(CLAIM_COLOUR), "taken over, not yet in the log"))
    entries += [
        (_shape(Severity.INFO, 6, 0, 4), "event"),
        (_shape(Severity.WARNING, 6, 0, 6), "warning"),
        (_shape(Severity.ERROR, 6, 0, 6), "error"),
        (
            '<path d="M1 0H12" stroke="#52606d" marker-end="url(#arrow)"/>',
            "slices move",
        ),
    ]
    names = {event.name for event in events}
    if "takeover" in names:
        entries.append((_CROSS, "lease over, taken over"))
    if MISSING in names:
        entries.append((_box("url(#gap)"), "events missing"))
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


_CROSS = (
    f'<path d="M2 -5l9 10m0 -10l-9 10" stroke="{MARKER_COLOURS[Severity.ERROR]}" '
    'stroke-width="2.5"/>'
)


def _box(fill):
    return f'<rect x="0" y="-6" width="13" height="12" rx="2" fill="{fill}"/>'


def _axis(scale, height):
    """Yield vertical lines and their times of day, but none in quiet stretches."""
    time = scale.time
    step_ms = next((t for t in _TICKS_MS if time.shown_ms / t <= 11), _TICKS_MS[-1])
    first_ms = -(-time.start_ms // step_ms) * step_ms
    for at_ms in range(first_ms, time.end_ms + 1, step_ms):
        if time.is_quiet(at_ms):
            continue
        x = scale.x(at_ms)
        yield f'<path d="M{x} {TOP - 6}V{height - 8}" stroke="#d9dfe5"/>'
        if not _overlaps_quiet_label(scale, x):
            text = format_time(at_ms)
            text = text if step_ms < 1000 else text[:-4]
            yield _label(x, text)
    yield f'<text class="faint" x="8" y="{TOP - 11}">UTC</text>'


def _overlaps_quiet_label(scale, x):
    """Return whether a label at ``x`` would overlap that of a quiet stretch."""
    return any(
        scale.x(quiet.start_ms) - LABEL_PX < x < scale.x(quiet.end_ms) + LABEL_PX
        for quiet in scale.time.quiet_stretches
    )


def _label(x, text):
    """Return a label above the lanes."""
    return (
        f'<text class="faint" x="{x}" y="{TOP - 11}" text-anchor="middle">{text}</text>'
    )


def _quiet_columns(scale, height):
    """Yield a pale column, labelled with its duration, for each quiet stretch."""
    for quiet in scale.time.quiet_stretches:
        start, end = scale.x(quiet.start_ms), scale.x(quiet.end_ms)
        length_s = (quiet.end_ms - quiet.start_ms) / 1000
        yield (
            f'<rect x="{start}" y="{TOP - 4}" width="{round(end - start, 1)}" '
            f'height="{height - TOP}" fill="#fff" fill-opacity=".78">'
            f"<title>{length_s:.1f} s without events, drawn short</title></rect>"
            + _label(round((start + end) / 2, 1), f"~ {length_s:.0f} s ~")
        )


def _takeovers(scale, events):
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


def _node_names(scale, lanes):
    for lane in lanes:
        y = scale.rows[lane.node_id]
        middle = round(y + scale.row_height / 2 + 4, 1)
        yield (
            f'<text x="{LEFT - 12}" y="{middle}" text-anchor="end">'
            f"{escape(lane.node_id)}</text>"
        )


def _uptimes(scale, events):
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


def _bars(scale, spans, services):
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
    return f"url(#wait{index})" if waiting else _colour(index)


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


def _arrows(scale, events):
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


@attrs.define(kw_only=True)
class _Marker:
    x: float
    node_id: str
    severity: Severity
    events: list


def _markers(scale, events):
    """Yield a marker for each event, or one for several that are close together.

    The most severe markers come last, so that they are drawn above the others.
    """
    latest = {}
    markers = []
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
        markers.append(marker)
    order = list(Severity)
    for marker in sorted(markers, key=lambda m: order.index(m.severity)):
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
    shape = _shape(marker.severity, marker.x, y, size)
    return f'<g class="mark">{shape}<title>{title}</title></g>'


def _shape(severity, x, y, size):
    """Return a dot, a triangle or a diamond.

    The shapes make severities distinguishable without their colours.
    """
    colour = MARKER_COLOURS[severity]
    if severity == Severity.INFO:
        return f'<circle cx="{x}" cy="{y}" r="{size}" fill="{colour}"/>'
    if severity == Severity.WARNING:
        path = f"M{x} {y - size}l{size} {size * 1.7}h{-2 * size}z"
    else:
        path = f"M{x} {y - size}l{size} {size}l{-size} {size}l{-size} {-size}z"
    return f'<path d="{path}" fill="{colour}" stroke="#fff" stroke-width=".7"/>'


def _missing_events(scale, event):
    x = scale.x(time_ms(event))
    y = scale.rows[event.node_id]
    title = escape(f"{event.node_id}\n{describe(event)}")
    return (
        f'<rect x="{x - 10}" y="{y + 2}" width="10" height="{scale.row_height - 4}" '
        f'fill="url(#gap)"><title>{title}</title></rect>'
    )
