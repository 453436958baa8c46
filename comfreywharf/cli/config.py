"""Commands about the configuration: check, show, diff, submit, history, outcome."""

import sys
import uuid
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from returns.result import Failure

from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.nodes import login_name
from comfreywharf.cli.output import count_of, show, table
from comfreywharf.cli.rollout import wait_for_rollout
from comfreywharf.cli.submission import (
    exit_code,
    outcome_command,
    submit_once,
)
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import (
    NOT_SENT,
    ConfigDocument,
    PatchOrder,
    SubmissionDocument,
    Verdict,
    VersionDocument,
)
from comfreywharf.declarations import (
    Change,
    differences,
    make_patch,
    read_declarations,
    service_from_fields,
    service_to_fields,
    write_declarations,
)

__all__ = ["register"]

config = App(name="config", help="Show and change the configuration.")


def register(app: App):
    """Add the commands to the tool."""
    app.command(config)


@config.command
def check(file: Path):
    """Check a file of declarations without asking any node.

    Exits with 2 and all findings if there are any.

    Example:

    `comfreywharf config check examples/riga.ini`

    Parameters
    ----------
    file
        The INI file of the deployment.
    """
    services = _read_file(file)
    print(f"{file}: {count_of(len(services), 'service')}, no findings")
    return ExitCode.FINE


@config.command(name="show")
def show_config(*, version: int = -1, at: Target):
    """Show the configuration in the format in which it is declared.

    Example:

    `comfreywharf config show > riga.ini`

    Parameters
    ----------
    version
        An older version, as long as nodes keep it; the one in force by default.
    """
    document = _fetch_config(at.client(), version)
    heading = f"# version {document.version}, at offset {document.offset}"
    if document.author:
        heading += f", by {document.author}"
    show(document, at.json, f"{heading}\n{write_declarations(_services(document))}")
    return ExitCode.FINE


@config.command
def diff(file: Path, *, base: int = -1, at: Target):
    """Show what submitting a file would change; exits with 1 if anything.

    Example:

    `comfreywharf config diff riga.ini`

    Parameters
    ----------
    file
        The INI file of the deployment.
    base
        The version to compare with; the one in force by default.
    """
    services = _read_file(file)
    document = _fetch_config(at.client(), base)
    found = differences(_services(document), services)
    text = _difference_text(found) or f"no difference from version {document.version}"
    show({"version": document.version, "differences": found}, at.json, text)
    return ExitCode.REFUSED if found else ExitCode.FINE


@config.command
def submit(
    file: Path,
    *,
    base: int,
    author: str = "",
    note: str = "",
    allow_removal: Annotated[bool, Parameter(negative="")] = False,
    dry_run: Annotated[bool, Parameter(negative="")] = False,
    wait_s: float = 0.0,
    at: Target,
):
    """Make the file's services the configuration, against a numbered version.

    The patch is refused if another one was accepted since the base version;
    nothing is merged. Exits with 0 once the patch was read back from the log,
    with 1 if it was refused, with 3 if no node answered.

    Example:

    `comfreywharf config submit riga.ini --base 4 --note "more room in May"`

    Parameters
    ----------
    file
        The INI file of the deployment, with all its services.
    base
        The version that the file was made for, as `config show` names it.
    author
        Who submits; your login name by default.
    note
        Why, for the history.
    allow_removal
        Let services go that the file doesn't declare.
    dry_run
        Show the difference and submit nothing.
    wait_s
        Wait until the version is in force on every node and every slice is
        served, at most this long, in seconds; exits with 1 if it isn't by then.
    """
    services = _read_file(file)
    client = at.client()
    in_force = _fetch_config(client, -1)
    if base != in_force.version:
        raise CommandError(
            ExitCode.REFUSED, _stale_base_text(client, base, in_force, file)
        )
    before = _services(in_force)
    found = differences(before, services)
    if not at.json:
        print(_difference_text(found) or f"no difference from version {base}")
    _check_removals(found, allow_removal)
    if dry_run or not found:
        return ExitCode.FINE
    order = PatchOrder(
        record_id=uuid.uuid4().hex,
        base_version=base,
        author=author or login_name(),
        note=note,
        services={
            name: service_to_fields(service) if service else None
            for name, service in make_patch(before, services).items()
        },
    )
    _, document = submit_once(client, "/config", order, SubmissionDocument, base)
    show(document, at.json, _verdict_text(client, document, base, file))
    if document.verdict == Verdict.ACCEPTED and wait_s > 0:
        return _wait_until_in_force(client, base + 1, wait_s, at.json)
    return exit_code(document)


def _wait_until_in_force(client, version, wait_s, as_json):
    rollout = wait_for_rollout(client, version, wait_s)
    if not as_json:
        print(rollout.text)
    return ExitCode.FINE if rollout.done else ExitCode.REFUSED


@config.command
def history(*, at: Target):
    """Show the versions that nodes keep, the newest first, and their changes.

    Example:

    `comfreywharf config history`
    """
    versions = at.client().get("/config/history", list[VersionDocument])
    show(versions, at.json, "\n".join(_history_lines(versions)) or "no version yet")
    return ExitCode.FINE


def _history_lines(versions):
    lines = []
    for version in versions:
        note = f": {version.note}" if version.note else ""
        lines.append(
            f"version {version.version} at offset {version.offset} "
            f"by {version.author}{note}"
        )
        lines += [f"  {line}" for line in version.changes]
    return lines


@config.command
def outcome(record_id: str, *, base: int = -1, at: Target):
    """Show what became of a patch, or a drain, whose answer was lost.

    Exits with 0 if it was accepted, with 1 if it was refused or isn't known yet.

    Example:

    `comfreywharf config outcome 5b0c0fd1b9f04a3f --base 4`

    Parameters
    ----------
    record_id
        The id that `config submit` or `drain` printed.
    base
        The version that a patch was submitted against; a record of it that the
        node hasn't seen is known to be refused once another took its place.
    """
    query = {"base_version": base} if base >= 0 else {}
    document = at.client().get(
        "/config/outcome", SubmissionDocument, record_id=record_id, **query
    )
    show(document, at.json, _outcome_table(document))
    return exit_code(document)


def _read_file(file):
    read = read_declarations(file)
    if isinstance(read, Failure):
        findings = read.failure()
        for finding in findings:
            print(finding, file=sys.stderr)
        count = count_of(len(findings), "finding")
        raise CommandError(ExitCode.BAD_INPUT, f"{file}: {count}")
    return read.unwrap()


def _fetch_config(client, version):
    if version < 0:
        return client.get("/config", ConfigDocument)
    return client.get("/config", ConfigDocument, version=version)


def _services(document):
    return {
        name: service_from_fields(name, fields).unwrap()
        for name, fields in document.services.items()
    }


def _difference_text(found):
    return "\n".join(line for difference in found for line in difference.lines())


def _check_removals(found, allowed):
    removed = [d.name for d in found if d.change is Change.REMOVED]
    if removed and not allowed:
        raise CommandError(
            ExitCode.REFUSED,
            f"the file doesn't declare {', '.join(removed)}, which would be removed. "
            "Declare it, or submit again with --allow-removal",
        )


def _stale_base_text(client, base, in_force, file):
    if base > in_force.version:
        return (
            f"--base: found {base}; this node is at version {in_force.version}. "
            "Ask another node, or see `comfreywharf config history`"
        )
    return _rebase_instructions(client, base, in_force.version, file)


def _rebase_instructions(client, base, version, file):
    kept = client.get("/config/history", list[VersionDocument])
    lines = [
        f"refused: built on version {base}, and version {version} is in force.",
        f"Changed since {base}:",
        *_history_lines([entry for entry in kept if entry.version > base]),
        "To go on, take what changed into the file, look at",
        f"  comfreywharf config diff {file}",
        "and submit again with",
        f"  comfreywharf config submit {file} --base {version}",
    ]
    return "\n".join(lines)


def _verdict_text(client, document, base, file):
    if document.verdict == Verdict.ACCEPTED:
        return f"accepted: version {base + 1}, at offset {document.offset}"
    if document.reason == NOT_SENT:
        retry_after_s = document.retry_after_ms / 1000
        return (
            "refused: the node can't write to the log in time. Nothing was submitted; "
            f"submit again in {retry_after_s:g} s"
        )
    if document.changed_since:
        return _rebase_instructions(client, base, document.version, file)
    return (
        f"{document.verdict.value} ({document.reason}): the record's id is "
        f"{document.record_id}. Ask again with: {outcome_command(document, base)}"
    )


def _outcome_table(document):
    rows = [
        [
            document.record_id,
            document.verdict.value,
            document.reason,
            document.offset if document.offset >= 0 else "",
            document.version,
        ]
    ]
    return table(["record", "verdict", "reason", "offset", "version in force"], rows)
