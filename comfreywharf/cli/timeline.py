"""The command that merges the events of all nodes into one time line."""

import sys
from enum import Enum
from pathlib import Path

from cyclopts import App
from returns.result import Success

from comfreywharf.cli.client import other_nodes
from comfreywharf.cli.events import fetch_events, print_failures
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import NodeDocument
from comfreywharf.events import parse_line
from comfreywharf.events.timeline import (
    lanes_of,
    merge,
    render_html,
    render_json,
    render_text,
)
from comfreywharf.events.timeline.picture import render_svg

__all__ = ["register"]


class Format(Enum):
    """The output format of the time line."""

    TEXT = "text"
    JSON = "json"
    SVG = "svg"
    HTML = "html"


def register(app: App):
    """Add the command to the tool."""
    app.command(timeline)


def timeline(
    *,
    format: Format = Format.TEXT,
    output: Path | None = None,
    logs: tuple[Path, ...] = (),
    at: Target,
):
    """Put the events of all nodes into one order that keeps causes before effects.

    Exits with 3 if a node didn't answer: the time line is then without its
    events, unless its log is given.

    Example:

    `comfreywharf timeline`

    `comfreywharf timeline --format html --output timeline.html`

    `comfreywharf timeline --logs booking-3.log`

    Parameters
    ----------
    format
        Text, JSON, a picture, or a page with picture and text.
    output
        The file to write; standard output by default.
    logs
        Logs of nodes that were lost, and with them the events they kept.
    """
    client = at.client()
    domains = {
        node.node_id: node.failure_domain
        for node in client.get("/nodes", list[NodeDocument])
    }
    found, failed = fetch_events(other_nodes(client))
    events = merge([*found, *map(_read_log, logs)])
    text = _render(events, Format.JSON if at.json else format, domains)
    if output is None:
        sys.stdout.write(text)
    else:
        _write(output, text)
    return print_failures(failed)


def _render(events, format, domains):
    if format is Format.JSON:
        return render_json(events)
    if format is Format.SVG:
        return render_svg(events, lanes_of(events, domains))
    if format is Format.HTML:
        return render_html(events, domains)
    return render_text(events)


def _read_log(path):
    """Return the events in a node's log; lines without an event are skipped."""
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            read = [parse_line(line) for line in file]
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise CommandError(ExitCode.BAD_INPUT, message) from error
    return [event.unwrap() for event in read if isinstance(event, Success)]


def _write(path, text):
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise CommandError(ExitCode.BAD_INPUT, message) from error
