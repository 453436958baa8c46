"""Formatting of numbers for pages."""

__all__ = ["show"]


def show(number):
    """Return a number with three significant digits and separated thousands.

    >>> show(11250.0), show(0.03127), show(640), show(494.53)
    ('11,250', '0.0313', '640', '495')
    """
    if abs(number) >= 100:
        return f"{round(number):,}"
    return f"{number:.3g}"
