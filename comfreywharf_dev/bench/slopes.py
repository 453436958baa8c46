"""Straight lines through measured points."""

import attrs

__all__ = ["Line", "extrapolate", "fit_line"]


@attrs.frozen(kw_only=True)
class Line:
    """``value = base + slope * x``; ``residual`` is the largest absolute residual."""

    base: float
    slope: float
    residual: float

    def at(self, x):
        """Return the line's value at ``x``.

        >>> Line(base=1.0, slope=2.0, residual=0.0).at(3)
        7.0
        """
        return self.base + self.slope * x


def fit_line(points):
    """Return the least-squares line through points ``(x, y)``.

    Raises `ValueError` for fewer than two distinct x.

    >>> fit_line([(1, 3.0), (2, 5.0), (3, 7.0)]).slope
    2.0
    """
    count = len(points)
    if len({x for x, _ in points}) < 2:
        raise ValueError(f"points {points!r}; expected at least two distinct x")
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    residual = max(abs(y - base - slope * x) for x, y in points)
    return Line(base=base, slope=slope, residual=residual)


def extrapolate(points, x):
    """Return the larger of the line's value at ``x`` and the largest measured value.

    A cost that falls with size is an artefact of the measuring machine (more
    processes than cores), and a falling line would give far too low values at large
    sizes.

    >>> extrapolate([(1, 3.0), (2, 5.0)], 10)
    21.0
    >>> extrapolate([(1, 5.0), (2, 3.0)], 10)
    5.0
    """
    return max(fit_line(points).at(x), max(y for _, y in points))
