"""The command that shows the owner of a key."""

import sys
from typing import Annotated

from cyclopts import App, Parameter

from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.output import show, table
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import OwnerDocument
from comfreywharf.records import key_hash

__all__ = ["register"]

FROM_STANDARD_INPUT = "-"


def register(app: App):
    """Add the command to the tool."""
    app.command(owner)


def owner(
    key: Annotated[str, Parameter(allow_leading_hyphen=True)],
    *,
    service: str,
    at: Target,
):
    """Show who owns a key: since when, under which version, and why there.

    Only the key's hash leaves this machine. Exits with 1 if nobody owns it.

    Example:

    `comfreywharf owner calendar-7 --service booking`

    `echo calendar-7 | comfreywharf owner - --service booking`

    Parameters
    ----------
    key
        The key, as callers send it; ``-`` reads it from standard input, so that
        it doesn't stand in the shell's history.
    service
        The service that the key belongs to.
    """
    data = _read_key(key)
    document = at.client().get(
        "/owner", OwnerDocument, service=service, key_hash=key_hash(data)
    )
    show(document, at.json, _owner_text(document))
    return ExitCode.FINE if document.owner else ExitCode.REFUSED


def _read_key(key):
    if key == FROM_STANDARD_INPUT:
        key = sys.stdin.readline().rstrip("\r\n")
    if not key:
        raise CommandError(
            ExitCode.BAD_INPUT, "KEY: found nothing; expected the key that callers send"
        )
    return key.encode("utf-8", "surrogateescape")


def _owner_text(document):
    version = document.config_version
    rows = [
        ["key hash", f"{document.key_hash:016x}"],
        ["slice", f"{document.slice_start:016x} to {document.slice_end:016x}"],
        ["owner", _node_text(document.owner, document.owner_domain)],
        ["standby", _node_text(document.standby, document.standby_domain)],
        ["since", f"offset {document.since_offset}, fence {document.fence}"],
        ["configuration", f"version {version}" if version >= 0 else "not kept"],
        ["why there", document.reason],
    ]
    if document.previous:
        rows.append(["awaited", f"the release of {document.previous}"])
    return table(["service", document.service], rows)


def _node_text(node_id, domain):
    return f"{node_id} ({domain})" if domain else node_id or "nobody"
