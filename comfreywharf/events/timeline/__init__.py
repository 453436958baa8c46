"""Merge the events of many nodes into one time line, as text, JSON or HTML.

>>> from comfreywharf.events import Event
>>> first = Event(number=101, name="node_started", node_id="a", sequence=1,
...     clock=65_536_000 << 16, fields={"failure_domain": "teika"})
>>> print(render_text(merge([[first], [first]])), end="")
18:12:16.000 +0.000s a E101 node_started failure_domain=teika
"""

from comfreywharf.events.timeline.merge import MISSING, Lane, lanes_of, merge
from comfreywharf.events.timeline.page import render_html
from comfreywharf.events.timeline.spans import Span, SpanState, ownership_spans
from comfreywharf.events.timeline.text import from_json, render_json, render_text

__all__ = [
    "MISSING",
    "Lane",
    "Span",
    "SpanState",
    "from_json",
    "lanes_of",
    "merge",
    "ownership_spans",
    "render_html",
    "render_json",
    "render_text",
]
