"""The command that shows the events of one node or of all nodes."""

import sys
from typing import Annotated

from cyclopts import App, Parameter

from comfreywharf.cli.client import AnswerLost, other_nodes, query_all
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.output import print_to_stderr, table
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import StatusDocument
from comfreywharf.events import Severity
from comfreywharf.events.timeline import MISSING, from_json, merge, render_json
from comfreywharf.events.timeline.merge import severity_of, time_ms
from comfreywharf.events.timeline.text import format_time

__all__ = ["fetch_events", "print_failures", "register"]

_RANKS = {Severity.INFO: 0, Severity.WARNING: 1, Severity.ERROR: 2}


def register(app: App):
    """Add the commands to the tool."""
    app.command(events)


def events(
    *,
    severity: Severity = Severity.INFO,
    since: int = 0,
    last: int = 100,
    all_nodes: Annotated[bool, Parameter(negative="")] = False,
    at: Target,
):
    """Show the numbered events of one node, or of all, the oldest first.

    docs/events.md says what each number means and what to do. Exits with 3 if a
    node didn't answer; its events are then missing.

    Example:

    `comfreywharf events --severity warning --all-nodes`

    Parameters
    ----------
    severity
        Leave out what asks for less attention.
    since
        Only events of a node after this sequence number of its own.
    last
        How many to show at most, the newest ones.
    all_nodes
        Ask every node, and put the events in one order that keeps causes
        before effects.
    """
    client = at.client()
    nodes = other_nodes(client) if all_nodes else [_queried_node(client)]
    lists, failed = fetch_events(nodes, since)
    found = [
        event
        for event in merge(lists)
        if _RANKS[severity_of(event)] >= _RANKS[severity] and event.name != MISSING
    ]
    found = found[-last:] if last > 0 else []
    if at.json:
        sys.stdout.write(render_json(found))
    else:
        print(_table(found))
    return print_failures(failed)


def _queried_node(client):
    return client.get("/status", StatusDocument).node_id, client


def _table(events):
    rows = [
        [
            format_time(time_ms(event)),
            event.node_id,
            f"E{event.number}",
            event.name,
            " ".join(f"{name}={value}" for name, value in event.fields.items()),
        ]
        for event in events
    ]
    headings = ["time (UTC)", "node", "number", "name", "fields"]
    return table(headings, rows) if rows else "no events"


def fetch_events(nodes, since=0):
    """Return the nodes' lists of events, and ``{node id: error}`` of failed queries."""
    lists, failed = [], {}
    for node_id, answer in query_all(nodes, lambda node: _fetch_one(node, since)):
        if isinstance(answer, CommandError):
            failed[node_id] = answer
        else:
            lists.append(answer)
    return lists, failed


def _fetch_one(client, since):
    try:
        return from_json(client.get_json("/events", since=since))
    except ValueError as error:
        raise AnswerLost(f"{client.host}:{client.port}: {error}") from error


def print_failures(failed):
    """Print the nodes that didn't answer, and return the exit code."""
    for node_id, error in failed.items():
        print_to_stderr(f"{node_id} doesn't answer, its events are missing: {error}")
    return ExitCode.UNREACHABLE if failed else ExitCode.FINE
