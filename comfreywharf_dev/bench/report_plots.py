"""Plots of the report, as SVG text."""

import io

import matplotlib
from matplotlib.figure import Figure as Canvas

__all__ = ["bar_plot", "line_plot"]

WIDTH_IN, HEIGHT_IN = 6.4, 3.4
COLOURS = ("#1b6ca8", "#d1803c", "#5b8c5a", "#8a5a8c", "#9a9a9a", "#c0504d")
LIMIT_COLOUR = "#b00020"
BAR_SHARE = 0.8

# Keep text as text, so that it can be searched and read by screen readers, and keep
# ids the same in every run.
matplotlib.rcParams["svg.fonttype"] = "none"
matplotlib.rcParams["svg.hashsalt"] = "comfreywharf"
matplotlib.rcParams["font.size"] = 9


def bar_plot(title, unit, categories, series):
    """Return grouped bars: ``series`` maps a name to a value for each category.

    A value of ``None`` leaves a gap.
    """
    canvas, axes = _canvas(title, unit)
    width = BAR_SHARE / max(1, len(series))
    for index, (name, values) in enumerate(series.items()):
        positions = [
            n - BAR_SHARE / 2 + (index + 0.5) * width for n in range(len(values))
        ]
        heights = [value or 0.0 for value in values]
        drawn = axes.bar(positions, heights, width, label=name, color=_colour(index))
        labels = ["" if value is None else f"{value:.3g}" for value in values]
        axes.bar_label(drawn, labels, padding=2, fontsize=7)
    axes.set_xticks(range(len(categories)), categories)
    axes.margins(y=0.15)
    if len(series) > 1:
        _legend(axes)
    return _svg(canvas)


def line_plot(title, x_label, unit, series, limit=None):
    """Return lines: ``series`` maps a name to points ``(x, y)``."""
    canvas, axes = _canvas(title, unit)
    for index, (name, points) in enumerate(series.items()):
        ordered = sorted(points)
        axes.plot(
            [x for x, _ in ordered],
            [y for _, y in ordered],
            marker="o",
            markersize=3,
            linewidth=1.3,
            label=name,
            color=_colour(index),
        )
    if limit is not None:
        axes.axhline(
            limit, color=LIMIT_COLOUR, linewidth=1, linestyle="--", label="limit"
        )
    axes.set_xlabel(x_label)
    axes.set_ylim(bottom=0)
    if len(series) > 1 or limit is not None:
        _legend(axes)
    return _svg(canvas)


def _canvas(title, unit):
    canvas = Canvas(figsize=(WIDTH_IN, HEIGHT_IN), layout="constrained")
    axes = canvas.subplots()
    axes.set_title(title, loc="left", fontsize=10)
    axes.set_ylabel(unit)
    axes.grid(axis="y", color="#dddddd", linewidth=0.6)
    axes.set_axisbelow(True)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    return canvas, axes


def _legend(axes):
    axes.legend(fontsize=8, frameon=False, loc="upper left", bbox_to_anchor=(1.0, 1.0))


def _colour(index):
    return COLOURS[index % len(COLOURS)]


def _svg(canvas):
    buffer = io.StringIO()
    canvas.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]
