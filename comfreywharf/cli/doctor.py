"""The command that checks a deployment for faults and gives advice."""

import time
from pathlib import Path

from cyclopts import App
from returns.result import Failure

from comfreywharf.cli.client import other_nodes, query_all
from comfreywharf.cli.clocks import ClockReading, clock_offsets
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.output import count_of, show, table
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import (
    CheckDocument,
    DoctorDocument,
    StatusDocument,
)
from comfreywharf.settings import read_settings

__all__ = ["register"]

MAX_CLOCK_OFFSET_MS = 1000.0
"""Larger offsets make logs of machines hard to compare; leases use no wall clocks."""


def register(app: App):
    """Add the command to the tool."""
    app.command(doctor)


def doctor(*, settings: Path | None = None, at: Target):
    """Look for what is wrong: log, peers, backend server, lease, clocks, settings.

    The asked node looks at its surroundings; the tool asks every node for its
    clock and version. Exits with 1 if anything was found.

    Example:

    `comfreywharf doctor`

    `comfreywharf doctor --settings examples/riga-node.ini`

    Parameters
    ----------
    settings
        A node's settings file, to be checked as well.
    """
    checks = _check_settings(settings) if settings else []
    client = at.client()
    report = client.get("/doctor", DoctorDocument)
    checks += report.checks
    checks += _check_nodes(client)
    troubles = sum(not check.well for check in checks)
    rows = [
        ["ok" if check.well else "LOOK", check.name, check.found, check.advice]
        for check in checks
    ]
    text = table(["", "check", "found", "what to do"], rows)
    summary = count_of(troubles, "trouble") if troubles else "no trouble"
    document = {"node_id": report.node_id, "checks": checks}
    show(document, at.json, f"{text}\n\nseen from {report.node_id}: {summary}")
    return ExitCode.REFUSED if troubles else ExitCode.FINE


def _check_settings(path):
    read = read_settings(path)
    if not isinstance(read, Failure):
        return [CheckDocument(name="settings", well=True, found=f"{path}: no findings")]
    return [
        CheckDocument(
            name="settings",
            well=False,
            found=str(finding),
            advice="put the line right",
        )
        for finding in read.failure()
    ]


def _check_nodes(client):
    readings, checks, statuses = [], [], []
    for node_id, answer in query_all(other_nodes(client), _read_clock):
        if isinstance(answer, CommandError):
            checks.append(
                CheckDocument(
                    name=f"node {node_id}",
                    well=False,
                    found=str(answer),
                    advice="is the process up, and the operators' port open to you?",
                )
            )
            continue
        reading, status = answer
        readings.append(reading)
        statuses.append(status)
    checks += [_check_clock(estimate) for estimate in clock_offsets(readings)]
    return checks + _check_versions(statuses)


def _read_clock(client):
    # The first query isn't measured: connecting takes time, which would make the
    # estimate less certain.
    client.get("/status", StatusDocument)
    sent_ms = time.time() * 1000
    status = client.get("/status", StatusDocument)
    received_ms = time.time() * 1000
    reading = ClockReading(
        node_id=status.node_id,
        sent_ms=sent_ms,
        received_ms=received_ms,
        clock_ms=status.wall_clock_ms,
    )
    return reading, status


def _check_clock(estimate):
    # Only the part of the offset that exceeds the uncertainty is certain.
    certain_ms = abs(estimate.offset_ms) - estimate.uncertainty_ms
    well = certain_ms <= MAX_CLOCK_OFFSET_MS
    return CheckDocument(
        name=f"clock {estimate.node_id}",
        well=well,
        found=f"{estimate.offset_ms:+.1f} ms of the median, "
        f"give or take {estimate.uncertainty_ms:.1f}",
        advice="" if well else "is time synchronization running on that machine?",
    )


def _check_versions(statuses):
    newest = max((status.config_version for status in statuses), default=0)
    return [
        CheckDocument(
            name=f"version {status.node_id}",
            well=False,
            found=f"at {status.config_version}, and {newest} is in force",
            advice="within 8 s it should follow; else look at its log reachability",
        )
        for status in statuses
        if status.config_version < newest
    ]
