"""Expect the tests in KNOWN-RED.txt to fail, and print them with their cause.

Each line holds a test's id, the cause and the issue, separated by ``|``. A listed
test that passes fails the run, so that its line is removed.
"""

from pathlib import Path

import attrs
import pytest

PATH = Path(__file__).parent / "KNOWN-RED.txt"
MAX_LINES = 3


@attrs.frozen
class KnownRed:
    """A test that fails because of a fault in the product that isn't fixed yet."""

    test: str
    cause: str
    issue: str


def read_known_red():
    """Return the listed tests; raises `pytest.UsageError` for an invalid file."""
    if not PATH.exists():
        return []
    lines = [line for line in PATH.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{PATH}: {len(lines)} lines; expected <= {MAX_LINES}")
    fields = [[word.strip() for word in line.split("|")] for line in lines]
    for line, words in zip(lines, fields, strict=True):
        if len(words) != 3 or not all(words):
            raise pytest.UsageError(f"{PATH}: {line!r}; expected test | cause | issue")
    return [KnownRed(*words) for words in fields]


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected to fail."""
    known = {red.test: red for red in read_known_red()}
    for item in items:
        red = known.get(item.nodeid)
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=red.cause, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests, so that the run isn't mistaken for a clean one."""
    for red in read_known_red():
        line = f"KNOWN RED {red.test}: {red.cause} ({red.issue})"
        terminalreporter.write_line(line, yellow=True)
