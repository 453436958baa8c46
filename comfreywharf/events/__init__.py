"""Numbered events of a node: catalogue, log lines, ring buffer, clock, time line."""

from comfreywharf.events.catalogue import CATALOGUE, EventKind, Severity, kind_by_name
from comfreywharf.events.clock import MAX_AHEAD_MS, EventClock
from comfreywharf.events.limit import RateLimit
from comfreywharf.events.lines import format_line, parse_line
from comfreywharf.events.ring import Event, EventRing

__all__ = [
    "CATALOGUE",
    "MAX_AHEAD_MS",
    "Event",
    "EventClock",
    "EventKind",
    "EventRing",
    "RateLimit",
    "Severity",
    "format_line",
    "kind_by_name",
    "parse_line",
]
