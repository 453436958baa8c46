"""Format an event as one line of a log, and parse such a line.

A line reads ``E301 lease_lapsed node=booking-2 run=17 seq=9 clock=1234 key=value``.
A value is written without quotes if it is an integer or a plain word, and as a JSON
string or number otherwise. A value with blanks, quotes or line ends therefore can
neither break the line nor be mistaken for another field.

>>> line = format_line(Event(number=203, name="log_unreachable", node_id="n-1",
...     incarnation=7, sequence=2, clock=65536, fields={"error": "no answer"}))
>>> line
'E203 log_unreachable node=n-1 run=7 seq=2 clock=65536 error="no answer"'
>>> parse_line(line).unwrap().fields
{'error': 'no answer'}
"""

import json
import re

from returns.result import Failure, Result, Success

from comfreywharf.events.ring import Event

__all__ = ["format_line", "format_value", "parse_line"]

MAX_VALUE_CHARACTERS = 200
"""Longer texts are cut, as an error message may quote input of any length."""

_BARE = re.compile(r"[A-Za-z_][A-Za-z0-9_.:/@+-]*")
_LITERALS = {"true": True, "false": False, "null": None}
_HEAD = re.compile(r"(?:^|\] )E(?P<number>\d{3}) (?P<name>[a-z][a-z0-9_]*)(?= |$)")
_FIELD = re.compile(r' (?P<key>[a-z][a-z0-9_]*)=(?P<value>"(?:[^"\\]|\\.)*"|[^ "]+)')
_HEAD_KEYS = ("node", "run", "seq", "clock")


def format_line(event, repeats=0):
    """Return an event as one line.

    ``repeats`` is the number of lines for this kind of event that were left out
    since the last one; it is written if it isn't 0.
    """
    head = (event.node_id, event.incarnation, event.sequence, event.clock)
    pairs = [*zip(_HEAD_KEYS, head, strict=True), *event.fields.items()]
    if repeats:
        pairs.append(("repeats", repeats))
    text = " ".join(f"{key}={format_value(value)}" for key, value in pairs)
    return f"E{event.number:03d} {event.name} {text}"


def format_value(value):
    """Return a field's value as it is written in a line."""
    if isinstance(value, bool) or value is None or isinstance(value, int | float):
        return json.dumps(value)
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if _BARE.fullmatch(text) and text not in _LITERALS and text not in _NON_FINITE:
        return text
    return json.dumps(text)


_NON_FINITE = frozenset({"NaN", "Infinity"})


def parse_line(line) -> Result[Event, str]:
    """Return the event of a line, or a message that says why it can't be parsed.

    The prefix of the logging library is skipped.
    """
    head = _HEAD.search(line)
    if head is None:
        return Failure("no event number and name")
    fields = {}
    position = head.end()
    rest = line.rstrip("\r\n")
    while position < len(rest):
        match = _FIELD.match(rest, position)
        if match is None:
            return Failure(f"column {position + 1}: expected key=value")
        try:
            fields[match["key"]] = _unquote(match["value"])
        except ValueError:
            return Failure(
                f"column {position + 1}: found {match['value']!r}; expected a value"
            )
        position = match.end()
    missing = [key for key in _HEAD_KEYS if key not in fields]
    if missing:
        return Failure(f"missing fields: {', '.join(missing)}")
    fields.pop("repeats", None)
    node_id, incarnation, sequence, clock = (fields.pop(key) for key in _HEAD_KEYS)
    return Success(
        Event(
            number=int(head["number"]),
            name=head["name"],
            node_id=node_id,
            incarnation=incarnation,
            sequence=sequence,
            clock=clock,
            fields=fields,
        )
    )


def _unquote(text):
    if text not in _LITERALS and text not in _NON_FINITE and _BARE.fullmatch(text):
        return text
    return json.loads(text)
