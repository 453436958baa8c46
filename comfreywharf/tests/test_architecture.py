"""The page on the architecture names modules and names that exist."""

import ast
import re
from pathlib import Path

import comfreywharf

PACKAGE = Path(comfreywharf.__file__).parent
PAGE = PACKAGE.parent / "docs" / "architecture.md"
FEWEST_ROWS = 15

_ROW = re.compile(r"\| `(?P<module>[a-z_/]+\.py)` \| `(?P<name>[\w.]+)` \|$", re.M)


def defined_names(path):
    """Return the functions, classes and methods that a module defines."""
    names = set()
    for node in ast.parse(path.read_text(encoding="utf-8")).body:
        if isinstance(node, ast.FunctionDef | ast.ClassDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            methods = [each for each in node.body if isinstance(each, ast.FunctionDef)]
            names.update(f"{node.name}.{method.name}" for method in methods)
    return names


def test_each_decision_is_found_in_the_module_that_the_page_names():
    """Guards against a page that sends a newcomer to a module of another job."""
    rows = _ROW.findall(PAGE.read_text(encoding="utf-8"))
    assert len(rows) >= FEWEST_ROWS
    for module, name in rows:
        assert name in defined_names(PACKAGE / module), f"{module}: {name}"
