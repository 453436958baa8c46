"""Print tables for people and JSON for scripts."""

import sys

import orjson

from comfreywharf.cli.client import converter

__all__ = ["count_of", "print_to_stderr", "show", "table", "yes_no"]


def table(headings, rows):
    """Return rows as lines with aligned columns; numbers are right-aligned.

    >>> print(table(["node", "slices"], [["booking-1", 12]]))
    node       slices
    booking-1      12
    """
    texts = [[_text(cell) for cell in row] for row in rows]
    widths = [
        max(len(column[0]), *map(len, column[1:]), 0)
        for column in zip(headings, *texts, strict=True)
    ]
    right_aligned = [
        bool(rows) and all(isinstance(row[index], int | float) for row in rows)
        for index in range(len(headings))
    ]
    lines = [_line(headings, widths, right_aligned)]
    lines += [_line(row, widths, right_aligned) for row in texts]
    return "\n".join(lines)


def show(document, as_json, text):
    """Print the document as JSON if ``as_json``, and the text otherwise."""
    if as_json:
        options = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
        print(orjson.dumps(converter.unstructure(document), option=options).decode())
    else:
        print(text)


def print_to_stderr(message):
    """Print a message to standard error, apart from the output."""
    print(f"comfreywharf: {message}", file=sys.stderr)


def yes_no(value):
    """Return a Boolean as ``yes`` or ``no``."""
    return "yes" if value else "no"


def count_of(number, noun):
    """Return a number with its noun in the singular or plural.

    >>> count_of(1, "service"), count_of(2, "service")
    ('1 service', '2 services')
    """
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def _text(cell):
    if isinstance(cell, bool):
        return yes_no(cell)
    if isinstance(cell, float):
        return f"{cell:.1f}"
    return str(cell) if cell != "" else "-"


def _line(cells, widths, right_aligned):
    aligned = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(cells, widths, right_aligned, strict=True)
    ]
    return "  ".join(aligned).rstrip()
