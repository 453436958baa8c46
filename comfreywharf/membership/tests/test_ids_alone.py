"""Nothing but `Life` compares servers by their ids alone."""

import ast
from pathlib import Path

import comfreywharf

ROOT = Path(comfreywharf.__file__).parent
LIVES = ROOT / "membership" / "lives.py"
NAMES = {"instance", "instance_id"}


def compares_an_id(node):
    """Return whether a comparison has a server's id on one of its sides."""
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
    """Symptom: a dead life's word counts for the living one that has its id.
    Sequence: a server crashes and begins again under the id that it had.
    Cause: a place of its own compared the two by their ids."""
    modules = [path for path in ROOT.rglob("*.py") if "tests" not in path.parts]
    modules = [path for path in modules if path != LIVES and "gen" not in path.parts]
    found = {
        str(path.relative_to(ROOT)): lines
        for path in modules
        if (lines := found_in(path.read_text("utf-8")))
    }
    assert len(modules) > 100
    assert found == {}


def test_the_search_finds_what_it_looks_for():
    """Either side, as a field or a name; a look whether there is one is none."""
    assert found_in("if self.living.instance == life.instance: pass") == [1]
    assert found_in("ok = instance in known") == [1]
    assert found_in("ok = other != backend.announcement.instance") == [1]
    assert found_in("ok = life.instance is None") == []
