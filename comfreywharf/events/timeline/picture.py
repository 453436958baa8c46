"""The SVG picture of a time line, with a lane for each node.

Time runs to the right. The height of a lane's bar is the number of slices that the
node owns, relative to the largest number, so that imbalance is visible. Markers
above the bar are events; warnings and errors have larger markers. Bars, markers and
arrows have a title that the browser shows on hovering.
"""

from comfreywharf.events.timeline.bars import arrows, bars, uptimes
from comfreywharf.events.timeline.layout import (
    WIDTH,
    axis,
    make_layout,
    node_names,
    quiet_columns,
)
from comfreywharf.events.timeline.legend import legend
from comfreywharf.events.timeline.markers import markers, takeovers
from comfreywharf.events.timeline.merge import time_ms
from comfreywharf.events.timeline.shapes import patterns
from comfreywharf.events.timeline.spans import SpanState, ownership_spans

__all__ = ["render_svg"]


def render_svg(events, lanes):
    """Return the SVG of merged events, with the nodes in the order of ``lanes``."""
    if not events:
        return ""
    times_ms = [time_ms(event) for event in events]
    scale, bands, height = make_layout(lanes, times_ms)
    spans = ownership_spans(events)
    owned = {span.service for span in spans if span.state != SpanState.CLAIMED}
    services = sorted(owned)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'viewBox="0 0 {WIDTH} {height}" role="img" aria-label="Time line">',
        patterns(services),
        legend(services, spans, events),
        *bands,
        *axis(scale, height),
        *node_names(scale, lanes),
        *uptimes(scale, events),
        *bars(scale, spans, services),
        *quiet_columns(scale, height),
        *arrows(scale, events),
        *takeovers(scale, events),
        *markers(scale, events),
        "</svg>",
    ]
    return "\n".join(parts)
