"""Benchmarks with regression bounds; see docs/benchmarks.md.

A module of this package with a function ``run()`` is a benchmark of that name.
``run()`` returns `Figure` objects; ``bounds/NAME.toml`` holds the limits of figures.
"""

from comfreywharf_dev.bench.figures import CheckedFigure, Figure

__all__ = ["CheckedFigure", "Figure"]
