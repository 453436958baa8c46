"""The rooms of the daemon, and which of them may use which."""

import re
from pathlib import Path

import pytest

from comfreywharf import daemon

FOLDER = Path(daemon.__file__).parent
MOST_MODULES = 20

MAY_USE = {
    "requests": {"servers", "connections"},
    "servers": {"recording", "connections"},
    "owning": {"recording"},
    "recording": {"connections"},
    "belonging": {"owning", "recording"},
    "operating": {"servers", "recording", "connections"},
    "connections": set(),
}
"""Arrows run one way: nothing below a room uses it in turn."""

_IMPORT = re.compile(r"from comfreywharf\.daemon\.(\w+)")


def used_by(room):
    """Return the names below ``daemon`` that a room's modules import from."""
    modules = (FOLDER / room).glob("*.py")
    found = set()
    for module in modules:
        found.update(_IMPORT.findall(module.read_text(encoding="utf-8")))
    return found - {room}


@pytest.mark.parametrize("room", MAY_USE)
def test_a_room_uses_only_those_below_it(room):
    """Symptom: a change of one matter breaks another that has nothing to do with it.
    Cause: modules of two rooms that import each other."""
    assert used_by(room) <= MAY_USE[room]


@pytest.mark.parametrize("room", MAY_USE)
def test_a_room_says_its_matter_and_is_small(room):
    """A newcomer finds the matter by its folder, and reads its first lines."""
    modules = [path for path in (FOLDER / room).glob("*.py")]
    first = (FOLDER / room / "__init__.py").read_text(encoding="utf-8")
    assert len(first.splitlines()) >= 3
    assert len(modules) - 1 <= MOST_MODULES


def test_each_folder_is_a_room_and_no_arrow_comes_back():
    """A new folder gets its arrows here, and none makes a circle."""
    folders = {path.parent.name for path in FOLDER.glob("*/__init__.py")}
    assert folders - {"tests"} == set(MAY_USE)
    above = {room: set(uses) for room, uses in MAY_USE.items()}
    while above:
        lowest = [room for room, uses in above.items() if not uses & above.keys()]
        assert lowest, above
        for room in lowest:
            del above[room]
