"""The catalogue of events, read from `catalogue.toml` in this package.

A number is never reused for another event. docs/events.md is generated from the
same file, and CI checks that every event reported by the code is in the catalogue
and that every event of the catalogue is reported by the code.
"""

import tomllib
from enum import Enum
from importlib.resources import files

import attrs

__all__ = ["CATALOGUE", "EventKind", "Severity", "kind_by_name"]


class Severity(Enum):
    """How urgently an operator has to react to an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen(kw_only=True)
class EventKind:
    """One kind of event: its number, name, severity, fields and meaning."""

    number: int
    name: str
    severity: Severity
    fields: tuple[str, ...]
    meaning: str
    action: str


def _load():
    text = files(__package__).joinpath("catalogue.toml").read_text("utf-8")
    kinds = [
        EventKind(
            number=entry["number"],
            name=entry["name"],
            severity=Severity(entry["severity"]),
            fields=tuple(entry["fields"]),
            meaning=entry["meaning"],
            action=entry.get("action", ""),
        )
        for entry in tomllib.loads(text)["event"]
    ]
    return {kind.name: kind for kind in kinds}


CATALOGUE = _load()


def kind_by_name(name):
    """Return the kind of event with a name; raise `KeyError` if it is unknown."""
    return CATALOGUE[name]
