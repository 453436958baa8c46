"""The time line as one self-contained HTML page with an SVG picture."""

from collections import Counter
from html import escape

from comfreywharf.events.catalogue import CATALOGUE, Severity
from comfreywharf.events.timeline.merge import lanes_of, severity_of, time_ms
from comfreywharf.events.timeline.picture import render_svg
from comfreywharf.events.timeline.text import describe, format_time, render_text

__all__ = ["render_html"]

MAX_ROWS = 500
"""How many warnings and errors the table shows; the text below it has all."""

STYLE = """
:root { color-scheme: light; }
body { font: 14px/1.45 system-ui, "DejaVu Sans", sans-serif; color: #1f2933;
  background: #fff; margin: 1.5rem auto; max-width: 1360px; padding: 0 1rem; }
h1 { font-size: 1.35rem; margin: 0; }
h2 { font-size: 1.05rem; margin: 1.6rem 0 .5rem; }
.lead { color: #52606d; margin: .2rem 0 1rem; }
.picture { overflow-x: auto; }
svg { display: block; }
svg text { font: 11px system-ui, "DejaVu Sans", sans-serif; fill: #1f2933; }
svg .faint { fill: #7b8794; } svg .domain { font-weight: 600; fill: #52606d; }
svg .inside { fill: #fff; font-weight: 600; }
svg .mark:hover, svg .span:hover { stroke: #1f2933; stroke-width: 1.5; }
table { border-collapse: collapse; }
td, th { text-align: left; padding: .2rem .9rem .2rem 0; vertical-align: top; }
th { color: #52606d; font-weight: 600; border-bottom: 1px solid #cbd2d9; }
td { border-bottom: 1px solid #eef1f4; }
td.time, pre { font-family: "DejaVu Sans Mono", ui-monospace, monospace; }
td.time { font-size: 12px; }
td.time, td.node { white-space: nowrap; }
.warning { color: #9a5b00; } .error { color: #b42318; }
details summary { cursor: pointer; color: #52606d; }
pre { font-size: 12px; overflow-x: auto; }
"""


def render_html(events, domains=None, title="Time line"):
    """Return an HTML page for merged events.

    ``domains`` maps node ids to failure domains, in addition to those in the
    events. The page needs no script, no font and no network.
    """
    lanes = lanes_of(events, domains)
    return (
        "<!doctype html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style></head><body>\n"
        f"<h1>{escape(title)}</h1>\n<p class=lead>{_summary(events, lanes)}</p>\n"
        f"<div class=picture>{render_svg(events, lanes)}</div>\n"
        f"{_warnings_and_errors(events)}\n"
        "<h2>All events</h2>\n<details><summary>Show the time line as text</summary>"
        f"<pre>{escape(render_text(events))}</pre></details>\n"
        "</body></html>\n"
    )


def _summary(events, lanes):
    if not events:
        return "No events."
    times = [time_ms(event) for event in events]
    counts = Counter(severity_of(event) for event in events)
    domains = {lane.failure_domain for lane in lanes}
    length_s = (max(times) - min(times)) / 1000
    return (
        f"{len(events)} events of {len(lanes)} nodes in {len(domains)} failure "
        f"domains over {length_s:.1f} s from {format_time(min(times))} UTC: "
        f"errors: {counts[Severity.ERROR]}, warnings: {counts[Severity.WARNING]}."
    )


def _warnings_and_errors(events):
    """Return a table of the warnings and errors, with the advice of the catalogue."""
    chosen = [event for event in events if severity_of(event) != Severity.INFO]
    if not chosen:
        return "<h2>Warnings and errors</h2><p>None.</p>"
    rows = "".join(_row(event) for event in chosen[:MAX_ROWS])
    more = len(chosen) - MAX_ROWS
    note = f"<p>{more} more stand in the text below.</p>" if more > 0 else ""
    return (
        "<h2>Warnings and errors</h2>\n<table><tr><th>UTC<th>Node<th>Event"
        f"<th>What it means<th>What to do</tr>\n{rows}</table>{note}"
    )


def _row(event):
    kind = CATALOGUE.get(event.name)
    return (
        f"<tr><td class=time>{format_time(time_ms(event))}"
        f"<td class=node>{escape(event.node_id)}"
        f"<td class={severity_of(event).value}>{escape(describe(event))}"
        f"<td>{escape(kind.meaning if kind else '')}"
        f"<td>{escape(kind.action if kind else '')}</tr>\n"
    )
