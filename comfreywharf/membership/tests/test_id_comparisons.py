"""Tests that only the module of `ServerIncarnation` compares servers by their ids."""

import ast
from pathlib import Path

import comfreywharf

ROOT = Path(comfreywharf.__file__).parent
INCARNATIONS_MODULE = ROOT / "membership" / "incarnations.py"
NAMES = {"instance", "instance_id"}


def compares_an_id(node):
    """Return whether a node compares a server's id with something but ``None``."""
    if not isinstance(node, ast.Compare):
        return False
    sides = [node.left, *node.comparators]
    if any(isinstance(side, ast.Constant) and side.value is None for side in sides):
        return False
    named = [getattr(side, "attr", getattr(side, "id", "")) for side in sides]
    return bool(NAMES & set(named))


def found_in(source):
    """Return the lines of a module that compare an id."""
    tree = ast.parse(source)
    return [node.lineno for node in ast.walk(tree) if compares_an_id(node)]


def test_no_module_compares_servers_by_their_ids_alone():
    """Guard against attributing an earlier incarnation's report to the current one.

    This happens if a server crashes and restarts under the same id, and a module
    compares the two incarnations by their ids instead of using `ServerIncarnation`.
    """
    modules = [path for path in ROOT.rglob("*.py") if "tests" not in path.parts]
    modules = [
        path
        for path in modules
        if path != INCARNATIONS_MODULE and "gen" not in path.parts
    ]
    found = {
        str(path.relative_to(ROOT)): lines
        for path in modules
        if (lines := found_in(path.read_text("utf-8")))
    }
    assert len(modules) > 100
    assert found == {}


def test_the_search_finds_each_kind_of_comparison():
    """An id is found on either side, as a field or a name; ``is None`` is allowed."""
    assert found_in("if self.living.instance == life.instance: pass") == [1]
    assert found_in("ok = instance in known") == [1]
    assert found_in("ok = other != backend.announcement.instance") == [1]
    assert found_in("ok = life.instance is None") == []
