"""Commands that list and lift the quarantine of requests that crashed servers."""

from cyclopts import App

from comfreywharf.cli.exits import ExitCode
from comfreywharf.cli.nodes import login_name
from comfreywharf.cli.output import show, table
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import LiftOrder, QuarantineDocument

__all__ = ["register"]

quarantine = App(
    name="quarantine", help="Requests that are no longer run, since they crash servers."
)


def register(app: App):
    """Add the commands to the tool."""
    app.command(quarantine)


@quarantine.command(name="list")
def list_all(*, at: Target):
    """Show the requests that are suspected or no longer run.

    Example:

    `comfreywharf quarantine list`
    """
    entries = at.client().get("/quarantine", list[QuarantineDocument])
    rows = [
        [
            entry.fingerprint,
            entry.service,
            entry.standing,
            entry.crashes,
            round(entry.remaining_s),
        ]
        for entry in entries
    ]
    headings = ["fingerprint", "service", "standing", "crashes", "forgotten in s"]
    show(entries, at.json, table(headings, rows) if rows else "nothing is quarantined")
    return ExitCode.FINE


@quarantine.command
def lift(fingerprint: str, *, author: str = "", at: Target):
    """Let a request run again, on all nodes.

    Example:

    `comfreywharf quarantine lift 9f86d081884c7d65`

    Parameters
    ----------
    fingerprint
        As `comfreywharf quarantine list` shows it.
    author
        Who asks; your login name by default.
    """
    order = LiftOrder(fingerprint=fingerprint, author=author or login_name())
    document = at.client().post("/quarantine/lift", order, LiftOrder)
    show(document, at.json, f"{fingerprint}: lifted")
    return ExitCode.FINE
