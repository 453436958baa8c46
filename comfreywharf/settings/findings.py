"""Errors in an INI file: where, what was found, and what was expected."""

from difflib import get_close_matches

import attrs

__all__ = ["Finding", "suggest"]


@attrs.frozen(kw_only=True)
class Finding:
    """One error in a settings file.

    ``line`` counts from 1. For a missing key it is the line of the section's
    heading, or 0 if there is no such section. ``found`` is ``None`` if something
    is missing.

    >>> print(Finding(path="n.ini", line=3, section="node", key="host",
    ...               found="wharf", expected="an IP number"))
    n.ini:3: [node] host: found 'wharf'; expected an IP number
    """

    path: str
    line: int = 0
    section: str = ""
    key: str = ""
    found: str | None
    expected: str

    def __str__(self):
        position = f"{self.path}:{self.line}" if self.line else self.path
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        where = f"{section}{key}:" if section or key else ""
        found = "nothing" if self.found is None else repr(self.found)
        return f"{position}:{where} found {found}; expected {self.expected}"


def suggest(name, known):
    """Return a hint at the known name that is closest to ``name``, or "".

    >>> suggest("caler_port", ["caller_port", "peer_port"])
    "; did you mean 'caller_port'?"
    """
    close = get_close_matches(name, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""
