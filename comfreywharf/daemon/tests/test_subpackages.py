"""The subpackages of the daemon, and which of them each may import from."""

import re
from pathlib import Path

import pytest

from comfreywharf import daemon

FOLDER = Path(daemon.__file__).parent
MAX_MODULES = 20

ALLOWED_IMPORTS = {
    "requests": {"servers", "connections"},
    "callers": {"connections"},
    "servers": {"records", "connections"},
    "ownership": {"records"},
    "records": {"connections"},
    "membership": {"ownership", "records"},
    "operating": {"servers", "records", "connections"},
    "connections": set(),
}
"""For each subpackage, those that it may import from. The imports have no cycle."""

_IMPORT = re.compile(r"from comfreywharf\.daemon\.(\w+)")


def imported_by(package):
    """Return the names below ``daemon`` that a subpackage's modules import from."""
    modules = (FOLDER / package).glob("*.py")
    found = set()
    for module in modules:
        found.update(_IMPORT.findall(module.read_text(encoding="utf-8")))
    return found - {package}


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_a_package_imports_only_allowed_packages(package):
    """A subpackage imports only from those below it.

    If modules of two subpackages imported each other, a change in one could break
    unrelated code in the other.
    """
    assert imported_by(package) <= ALLOWED_IMPORTS[package]


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_a_package_is_described_and_small(package):
    """A new engineer finds the code by its folder and the folder's doc comment."""
    modules = [path for path in (FOLDER / package).glob("*.py")]
    doc_comment = (FOLDER / package / "__init__.py").read_text(encoding="utf-8")
    assert len(doc_comment.splitlines()) >= 3
    assert len(modules) - 1 <= MAX_MODULES


def test_each_folder_is_listed_and_imports_have_no_cycle():
    """A new subpackage is listed with its allowed imports, which have no cycle."""
    folders = {path.parent.name for path in FOLDER.glob("*/__init__.py")}
    assert folders - {"tests"} == set(ALLOWED_IMPORTS)
    remaining = {package: set(uses) for package, uses in ALLOWED_IMPORTS.items()}
    while remaining:
        lowest = [
            package
            for package, uses in remaining.items()
            if not uses & remaining.keys()
        ]
        assert lowest, remaining
        for package in lowest:
            del remaining[package]
