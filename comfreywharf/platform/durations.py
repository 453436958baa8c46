"""Durations in the platform's notation: a number with its unit."""

import re

__all__ = ["duration_s", "duration_text"]

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def duration_s(text):
    """Return a duration in seconds; raises `ValueError` for an invalid text.

    >>> duration_s("1500ms"), duration_s("2.5s")
    (1.5, 2.5)
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"found {text!r}; expected a number with ms or s")
    number = float(found[1])
    return number / 1000 if found[2] == "ms" else number


def duration_text(seconds):
    """Return seconds in the platform's notation, rounded down to milliseconds.

    >>> duration_text(1.2345)
    '1234ms'
    """
    return f"{int(seconds * 1000)}ms"
