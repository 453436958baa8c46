"""Figures that benchmarks measure, and their comparison with bounds."""

import math
import tomllib
from enum import Enum
from pathlib import Path

import attrs

__all__ = [
    "Bound",
    "BoundError",
    "Comparison",
    "Figure",
    "CheckedFigure",
    "check_figures",
    "read_bounds",
]


class BoundError(ValueError):
    """An invalid entry in a file of bounds."""


class Comparison(Enum):
    """Whether a bound is an upper or a lower limit."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"


@attrs.frozen(kw_only=True)
class Figure:
    """One measured value.

    ``points`` are the measured pairs ``(x, y)`` from which the value is derived, for
    a plot; ``note`` explains the value in a sentence.

    >>> Figure(name="cost_ratio", value=1.4, unit="ratio").value
    1.4
    """

    name: str
    value: float
    unit: str
    note: str = ""
    points: tuple[tuple[float, float], ...] = ()


@attrs.frozen(kw_only=True)
class Bound:
    """The upper or lower limit of a figure."""

    limit: float
    comparison: Comparison

    def holds(self, value):
        """Return whether a value is within the bound; NaN never is.

        >>> Bound(limit=1.6, comparison=Comparison.AT_MOST).holds(1.7)
        False
        """
        if math.isnan(value):
            return False
        if self.comparison is Comparison.AT_MOST:
            return value <= self.limit
        return value >= self.limit


@attrs.frozen(kw_only=True)
class CheckedFigure:
    """A figure with its bound; ``passed`` is true if it has no bound."""

    benchmark: str
    figure: Figure
    bound: Bound | None
    passed: bool

    def line(self):
        """Return the result as a line of text."""
        figure = self.figure
        text = f"{self.benchmark}.{figure.name} = {figure.value:.4g} {figure.unit}"
        if self.bound is None:
            return text
        comparison = self.bound.comparison.value.replace("_", " ")
        verdict = "ok" if self.passed else "FAILED"
        return f"{text} ({comparison} {self.bound.limit:g}: {verdict})"


def read_bounds(folder, benchmark):
    """Return the bounds of a benchmark by figure; an empty dict if it has no file.

    Raises `BoundError` for an entry that doesn't have exactly one known comparison.
    """
    path = Path(folder) / f"{benchmark}.toml"
    if not path.exists():
        return {}
    with path.open("rb") as file:
        entries = tomllib.load(file)
    return {name: _bound(path, name, entry) for name, entry in entries.items()}


def _bound(path, name, entry):
    allowed = [comparison.value for comparison in Comparison]
    if (
        not isinstance(entry, dict)
        or len(entry) != 1
        or next(iter(entry)) not in allowed
    ):
        raise BoundError(f"{path}: [{name}] is {entry!r}; expected one of {allowed}")
    kind, limit = next(iter(entry.items()))
    return Bound(limit=float(limit), comparison=Comparison(kind))


def check_figures(benchmark, figures, bounds):
    """Return a `CheckedFigure` for each figure.

    A bound whose figure is missing counts as broken: otherwise a benchmark that no
    longer measures a figure would always pass.
    """
    judged = [_check_figure(benchmark, figure, bounds) for figure in figures]
    measured = {figure.name for figure in figures}
    for name in sorted(set(bounds) - measured):
        missing = Figure(name=name, value=math.nan, unit="", note="not measured")
        judged.append(_check_figure(benchmark, missing, bounds))
    return judged


def _check_figure(benchmark, figure, bounds):
    bound = bounds.get(figure.name)
    passed = bound is None or bound.holds(figure.value)
    return CheckedFigure(benchmark=benchmark, figure=figure, bound=bound, passed=passed)
