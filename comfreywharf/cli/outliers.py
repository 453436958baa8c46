"""The command that finds the nodes whose metrics stand out in a fleet."""

from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import App, Parameter

from comfreywharf.cli.client import other_nodes, query_all
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.output import count_of, print_to_stderr, show, table
from comfreywharf.cli.target import Target
from comfreywharf.fleet import MEASURES, PageError, find_outliers, read_page

__all__ = ["register"]

DEFAULT_MOST = 10


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class _PagesTarget(Target):
    """The options of a command that needs no node if it is given files."""

    node: Annotated[
        str,
        Parameter(
            env_var="COMFREYWHARF_NODE",
            help="IP number and operators' port of any node, as HOST:PORT; not "
            "needed with files.",
        ),
    ] = ""


_FILES_ONLY = _PagesTarget()


def register(app: App):
    """Add the command to the tool."""
    app.command(outliers)


def outliers(
    *pages: Path,
    most: Annotated[int, Parameter(name="--most")] = DEFAULT_MOST,
    at: _PagesTarget = _FILES_ONLY,
):
    """Show the nodes whose metrics stand out from those of the fleet, and in what.

    Compares ages of configuration and log, lateness of the event loop, refused and
    unknown requests, failures to reach the log and keys without a lease. Asks all
    nodes, or reads saved metric pages. Exits with 1 if a node stands out, and with 3
    if a node's metrics are missing.

    Example:

    `comfreywharf outliers`

    `comfreywharf outliers pages/*.txt --json`

    Parameters
    ----------
    pages
        Files with one node's metric page each, named after the node; none means that
        all nodes are asked.
    most
        How many nodes to show at most.
    """
    if most < 1:
        message = f"--most: found {most}; expected at least 1"
        raise CommandError(ExitCode.BAD_INPUT, message)
    texts, failed = _read_files(pages) if pages else _ask_nodes(at.client())
    read, unreadable = _read_pages(texts)
    failed.update(unreadable)
    found = find_outliers(read, MEASURES, most)
    document = {
        "nodes": len(read),
        "missing": {node_id: str(error) for node_id, error in failed.items()},
        "outliers": found,
    }
    show(document, at.json, _text(found, len(read)))
    for node_id, error in failed.items():
        print_to_stderr(f"{node_id}: its metrics are missing: {error}")
    if failed:
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED if found else ExitCode.FINE


def _read_files(paths):
    """Return ``{node id: text}`` of files, and no failures."""
    texts = {}
    for path in paths:
        if path.stem in texts:
            message = f"{path}: a second page of {path.stem}"
            raise CommandError(ExitCode.BAD_INPUT, message)
        try:
            texts[path.stem] = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"{path}: {error.strerror}"
            raise CommandError(ExitCode.BAD_INPUT, message) from error
    return texts, {}


def _ask_nodes(client):
    """Return ``{node id: text}`` and ``{node id: error}`` of the nodes asked."""
    answers = query_all(other_nodes(client), lambda node: node.get_text("/metrics"))
    failed = {
        node_id: answer
        for node_id, answer in answers
        if isinstance(answer, CommandError)
    }
    texts = {node_id: text for node_id, text in answers if node_id not in failed}
    return texts, failed


def _read_pages(texts):
    pages, failed = [], {}
    for node_id, text in texts.items():
        try:
            pages.append(read_page(node_id, text))
        except PageError as error:
            failed[node_id] = error
    return pages, failed


def _text(found, count):
    if not found:
        return f"{count_of(count, 'node')}: none stands out"
    rows = [
        [
            outlier.node_id if index == 0 else "",
            deviation.measure,
            f"{deviation.figure:.4g}",
            f"{deviation.fleet_median:.4g}",
            deviation.unit,
        ]
        for outlier in found
        for index, deviation in enumerate(outlier.deviations)
    ]
    headings = ["node", "stands out in", "figure", "median", "unit"]
    return f"{count_of(count, 'node')}\n{table(headings, rows)}"
