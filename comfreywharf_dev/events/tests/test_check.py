"""Tests of the check of reported events against the catalogue."""

import attrs
import pytest

from comfreywharf.events import EventKind, Severity
from comfreywharf_dev.events.check import (
    all_findings,
    calls_in,
    catalogue_findings,
    check_calls,
)

KIND = EventKind(
    number=203,
    name="log_unreachable",
    severity=Severity.WARNING,
    fields=("error",),
    meaning="The log service doesn't answer.",
    action="See docs/operations/log-outage.md.",
)


def test_code_catalogue_and_page_agree():
    """The code, the catalogue and docs/events.md agree."""
    assert all_findings() == []


@pytest.mark.parametrize(
    ("source", "found"),
    [
        ('node.report("log_unreachable", error=e)', ""),
        ('self._report("log_unreachable", error=e)', ""),
        ('report("log_down", error=e)', "log_down isn't in the catalogue"),
        ('report("log_unreachable")', "has []; expected ['error']"),
        ('report("log_unreachable", error=e, port=1)', "has ['error', 'port']"),
        ('report("log_unreachable", **fields)', "fields aren't plain keywords"),
        ("report(name, error=e)", "name isn't a literal string"),
        ("reported(1)", "log_unreachable is never reported"),
    ],
)
def test_calls_that_differ_from_the_catalogue_are_findings(source, found):
    """Each kind of difference between a call and the catalogue is a finding."""
    findings = check_calls(list(calls_in(source, "m.py")), {KIND.name: KIND})
    assert bool(findings) == bool(found)
    assert found in "\n".join(findings)


@pytest.mark.parametrize(
    ("changes", "found"),
    [
        ({}, "number 203 is used twice"),
        ({"number": 703}, "703 is outside all groups"),
        ({"fields": ("key",)}, "field key may hold personal data"),
        ({"fields": ("clock",)}, "field clock is reserved for each line"),
        ({"action": ""}, "severity warning needs an action"),
    ],
)
def test_invalid_entries_of_the_catalogue_are_findings(changes, found):
    """Numbers and names are unique, numbers in range, and fields allowed in a log."""
    findings = catalogue_findings([KIND, attrs.evolve(KIND, **changes)])
    assert any(found in finding for finding in findings)
