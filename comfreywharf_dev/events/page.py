"""Write docs/events.md from the catalogue."""

from pathlib import Path

from comfreywharf.events import CATALOGUE

__all__ = ["EVENTS_PAGE", "events_page", "main"]

EVENTS_PAGE = "docs/events.md"

GROUP_TITLES = {
    1: "1xx: the node",
    2: "2xx: log service and configuration",
    3: "3xx: ownership",
    4: "4xx: requests",
    5: "5xx: backend servers",
    6: "6xx: planner",
}

HEAD = """\
# Events

Whatever a node has to tell an operator is an event with a number that never
changes. A node writes each event as one line to its standard error, by
absl.logging, and keeps the last ones in memory for the
[time line](timeline.md). This page says what each one means and what to do.

    E203 log_unreachable node=booking-2 run=1764700 seq=9 clock=11 error="no answer"

`node`, `run` and `seq` name the node, the start of its process and the place
among that process's events; `clock` orders events over nodes. A value that
isn't a number or a plain word is a JSON string, so that `parse_line` of
`comfreywharf.events` reads each line back. `request_id` is the same at every
node that a request passed. Keys, paths and bodies are people's records and are
never written.

A kind of event that comes too often is held back, after 20 lines, to one line
in two seconds; the next line then counts in `repeats` what was left out.

This page is made from `comfreywharf/events/catalogue.toml` by
`python -m comfreywharf_dev.events.page`, and `make test` checks that it is
up to date and that the code reports exactly these events.
"""


def events_page(kinds):
    """Return the page's text for kinds of events."""
    parts = [HEAD]
    for group, title in GROUP_TITLES.items():
        members = sorted(
            (kind for kind in kinds if kind.number // 100 == group),
            key=lambda kind: kind.number,
        )
        if members:
            parts.append(f"## {title}\n")
            parts += [_entry(kind) for kind in members]
    return "\n".join(parts)


def _entry(kind):
    fields = ", ".join(f"`{field}`" for field in kind.fields) or "none"
    lines = [
        f"### E{kind.number} {kind.name}",
        "",
        f"{kind.meaning}",
        "",
        f"- Severity: {kind.severity.value}",
        f"- Fields: {fields}",
    ]
    if kind.action:
        lines.append(f"- What to do: {kind.action}")
    return "\n".join(lines) + "\n"


def main():
    """Write the page."""
    root = Path(__file__).parents[2]
    text = events_page(CATALOGUE.values())
    (root / EVENTS_PAGE).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
