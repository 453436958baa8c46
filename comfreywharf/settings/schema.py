"""The keys that a section may have, and the check of a document against them."""

import attrs

from comfreywharf.settings.findings import suggest
from comfreywharf.settings.kinds import Kind

__all__ = ["Key", "check_names", "read_keys"]


@attrs.frozen
class Key:
    """One key of a section: its kind, and whether it may be missing."""

    name: str
    kind: Kind
    required: bool = False


def check_names(document, known):
    """Add a finding for each section with an unknown name."""
    for name in document.sections:
        if name not in known:
            listed = ", ".join(f"[{other}]" for other in known)
            document.add_finding(
                f"one of {listed}{suggest(name, known)}", f"[{name}]", section=name
            )


def read_keys(document, section, keys):
    """Return the valid values of a section by key; the others add findings."""
    entries = {}
    if section in document.sections:
        entries = document.sections[section].entries
    names = [key.name for key in keys]
    for name in entries:
        if name not in names:
            expected = f"one of {', '.join(names)}{suggest(name, names)}"
            document.add_finding(expected, name, section, name)
    values = {}
    for key in keys:
        entry = entries.get(key.name)
        if entry is None:
            if key.required:
                document.add_finding(key.kind.expected, None, section, key.name)
            continue
        try:
            values[key.name] = key.kind.read(entry.value)
        except ValueError:
            document.add_finding(key.kind.expected, entry.value, section, key.name)
    return values
