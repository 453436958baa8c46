"""Tests of bounds, of the comparison of figures with them, and of failed runs."""

import importlib
import math
import pkgutil

import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf_dev import bench
from comfreywharf_dev.bench.figures import (
    Bound,
    BoundError,
    Comparison,
    Figure,
    check_figures,
    read_bounds,
)
from comfreywharf_dev.bench.runner import run_benchmark

numbers = st.floats(allow_nan=False, allow_infinity=False)


@settings(derandomize=True, deadline=None)
@given(value=numbers, limit=numbers)
def test_both_comparisons_hold_only_for_equal_values(value, limit):
    """Both comparisons hold only if value and limit are equal; one always holds."""
    at_most = Bound(limit=limit, comparison=Comparison.AT_MOST).holds(value)
    at_least = Bound(limit=limit, comparison=Comparison.AT_LEAST).holds(value)
    assert at_most or at_least
    assert (at_most and at_least) == (value == limit)


def test_a_bound_without_its_figure_fails():
    """A benchmark fails if it no longer measures a figure that has a bound."""
    bounds = {"cost": Bound(limit=1.0, comparison=Comparison.AT_MOST)}
    (judged,) = check_figures("path", [], bounds)
    assert not judged.passed
    assert math.isnan(judged.figure.value)


def test_a_figure_without_a_bound_passes():
    """A figure without a bound passes at any value."""
    (judged,) = check_figures("path", [Figure(name="cost", value=9e9, unit="us")], {})
    assert judged.passed


@pytest.mark.parametrize("text", ["cost = 1", "[cost]\nbelow = 1", "[cost]"])
def test_an_invalid_comparison_raises_bound_error(tmp_path, text):
    """An invalid comparison raises an error that names the entry."""
    (tmp_path / "path.toml").write_text(text)
    with pytest.raises(BoundError, match="cost"):
        read_bounds(tmp_path, "path")


def test_an_exception_is_stored_and_fails_the_benchmark(tmp_path):
    """An exception in a benchmark is stored in its record and fails it."""

    def run():
        raise OSError("no such port")

    record = run_benchmark("path", run, bounds_folder=tmp_path)
    assert not record.passed
    assert "no such port" in record.error
    assert record.write(tmp_path).exists()


@pytest.mark.parametrize(
    "name", [module.name for module in pkgutil.iter_modules(bench.__path__)]
)
def test_every_benchmark_can_be_imported(name):
    """Importing every module detects names that the product no longer has."""
    importlib.import_module(f"{bench.__name__}.{name}")
