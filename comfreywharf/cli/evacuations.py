"""The command that lists evacuations of failure domains."""

from cyclopts import App

from comfreywharf.cli.exits import ExitCode
from comfreywharf.cli.output import show, table
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import EvacuationDocument

__all__ = ["register"]


def register(app: App):
    """Add the command to the tool."""
    app.command(evacuations)


def evacuations(*, at: Target):
    """Show which failure domains are evacuated, and how far each has come.

    Exits with 1 while a domain that is closed still owns slices.

    Example:

    `comfreywharf evacuations --json`
    """
    found = at.client().get("/evacuations", list[EvacuationDocument])
    rows = [
        [
            each.domain,
            "closed" if not each.closes_in_ms else f"in {each.closes_in_ms} ms",
            each.nodes,
            each.owned_slices,
            each.unreleased_slices,
        ]
        for each in found
    ]
    headings = ["domain", "closes", "nodes", "owned slices", "not released"]
    show(found, at.json, table(headings, rows) if rows else "nothing is evacuated")
    late = any(each.owned_slices and not each.closes_in_ms for each in found)
    return ExitCode.REFUSED if late else ExitCode.FINE
