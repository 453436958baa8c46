"""Compare the events that the code reports with the catalogue, using syntax trees.

All findings are collected and printed together, each with file and line.
"""

import ast
import sys
from collections import Counter
from pathlib import Path

import attrs

from comfreywharf.events import CATALOGUE
from comfreywharf_dev.events.page import EVENTS_PAGE, events_page

__all__ = ["Call", "calls_in", "catalogue_findings", "check_calls", "main"]

REPORTERS = frozenset({"report", "_report"})
"""The names that the code uses for the function that reports an event."""

GROUPS = {1: "node", 2: "log and configuration", 3: "ownership", 4: "requests"}
GROUPS |= {5: "backend servers", 6: "planner"}
"""The subject of the events with numbers from 100 times the key."""

LINE_FIELDS = frozenset({"node", "run", "seq", "clock", "repeats"})
"""Fields that every line of the log has."""

PRIVATE_FIELDS = frozenset({"key", "body", "path", "query", "headers", "answer"})
"""Names of fields that may hold personal data, of which a log holds only hashes."""

ROOT = Path(__file__).parents[2]


@attrs.frozen(kw_only=True)
class Call:
    """A call that reports an event.

    ``name`` is ``None`` if the event's name isn't a literal string;
    ``open_fields`` is true if the call has fields other than plain keywords.
    """

    location: str
    name: str | None
    fields: frozenset[str]
    open_fields: bool


def calls_in(source, path):
    """Yield a `Call` for each ``report("name", ...)`` in a module's source."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and _called_name(node.func) in REPORTERS:
            first = node.args[0] if node.args else None
            literal = isinstance(first, ast.Constant) and isinstance(first.value, str)
            names = [keyword.arg for keyword in node.keywords]
            yield Call(
                location=f"{path}:{node.lineno}",
                name=first.value if literal else None,
                fields=frozenset(name for name in names if name),
                open_fields=None in names or len(node.args) > 1,
            )


def _called_name(function):
    if isinstance(function, ast.Attribute):
        return function.attr
    return function.id if isinstance(function, ast.Name) else ""


def check_calls(calls, catalogue):
    """Return findings for events that only the calls or only the catalogue has.

    Calls whose fields differ from those in the catalogue are findings too.
    """
    findings = []
    for call in calls:
        kind = catalogue.get(call.name)
        if call.name is None:
            findings.append(f"{call.location}: the event's name isn't a literal string")
        elif kind is None:
            findings.append(f"{call.location}: {call.name} isn't in the catalogue")
        elif call.open_fields:
            findings.append(
                f"{call.location}: {call.name}: fields aren't plain keywords"
            )
        elif call.fields != set(kind.fields):
            findings.append(
                f"{call.location}: {call.name} has {sorted(call.fields)}; "
                f"expected {sorted(kind.fields)}"
            )
    used = {call.name for call in calls}
    unused = [name for name in catalogue if name not in used]
    return findings + [f"catalogue: {name} is never reported" for name in unused]


def catalogue_findings(kinds):
    """Return findings on numbers, names, fields and actions in the catalogue."""
    findings = []
    for attribute in ("number", "name"):
        counts = Counter(getattr(kind, attribute) for kind in kinds)
        findings += [
            f"{attribute} {v} is used twice" for v, n in counts.items() if n > 1
        ]
    for kind in kinds:
        if kind.number // 100 not in GROUPS:
            findings.append(f"{kind.name}: {kind.number} is outside all groups")
        for field in sorted(LINE_FIELDS.intersection(kind.fields)):
            findings.append(f"{kind.name}: field {field} is reserved for each line")
        for field in sorted(PRIVATE_FIELDS.intersection(kind.fields)):
            findings.append(f"{kind.name}: field {field} may hold personal data")
        if kind.severity.value != "info" and not kind.action:
            findings.append(
                f"{kind.name}: severity {kind.severity.value} needs an action"
            )
    return findings


def all_findings(root=ROOT):
    """Return every finding for the working tree."""
    calls = []
    for path in sorted((root / "comfreywharf").rglob("*.py")):
        if not {"gen", "tests"}.intersection(path.parts):
            source = path.read_text("utf-8")
            calls += calls_in(source, path.relative_to(root))
    findings = check_calls(calls, CATALOGUE)
    findings += catalogue_findings(CATALOGUE.values())
    page = root / EVENTS_PAGE
    if not page.exists() or page.read_text("utf-8") != events_page(CATALOGUE.values()):
        findings.append(
            f"{EVENTS_PAGE} doesn't match the catalogue; "
            "write it with python -m comfreywharf_dev.events.page"
        )
    return findings


def main():
    """Print the findings; the exit status is 1 if there are any."""
    findings = all_findings()
    for finding in findings:
        print(finding, file=sys.stderr)
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
