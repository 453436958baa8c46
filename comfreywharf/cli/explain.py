"""The command that shows the decisions on one request from the logs of nodes."""

import contextlib
import sys
from pathlib import Path

import attrs
import orjson
from cyclopts import App

from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.events.explain import format_steps, read_steps
from comfreywharf.events.verdict import format_verdict, verdict_on

__all__ = ["register"]


def register(app: App):
    """Add the command to the tool."""
    app.command(explain)


def explain(request_id: str, /, *logs: Path, json: bool = False):
    """Tell what was decided on one request, by whom, and on what belief.

    Reads the logs of any number of nodes, or standard input. For a request that wasn't
    answered, the step that decided comes last, with the beliefs behind it and their
    ages. Exits with 1 if no line tells of the request: it may have gone well, since
    only one in 64 of those has lines.

    Example:

    `comfreywharf explain 9c41d07be2a35f68 node-1.log node-2.log`

    Parameters
    ----------
    request_id
        The id that the caller sent.
    logs
        Files with the nodes' output; none means standard input.
    json
        Write each step as one JSON object.
    """
    with contextlib.ExitStack() as stack:
        try:
            files = [stack.enter_context(path.open()) for path in logs]
        except OSError as error:
            raise CommandError(ExitCode.BAD_INPUT, str(error)) from error
        sources = files or [sys.stdin]
        lines = (line for source in sources for line in source)
        steps = read_steps(lines, request_id)
    if not steps:
        raise CommandError(ExitCode.REFUSED, f"no line tells of {request_id}")
    verdict = verdict_on(steps)
    if json:
        _print_json(steps, verdict)
        return ExitCode.FINE
    for line in format_steps(steps):
        print(line)
    for line in format_verdict(steps, verdict) if verdict else ():
        print(line)
    return ExitCode.FINE


def _print_json(steps, verdict):
    deciding = verdict.index if verdict else None
    for index, step in enumerate(steps):
        document = {**attrs.asdict(step), "deciding": index == deciding}
        if index == deciding:
            document["complete"] = verdict.complete
            document["beliefs"] = [attrs.asdict(each) for each in verdict.beliefs]
        print(orjson.dumps(document).decode())
