"""Heartbeats and deregistrations of backend servers, decoded into typed values."""

import ipaddress
import re

import attrs
import orjson

from comfreywharf.daemon.servers.backend import Announcement
from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.ownership.hold_lists import HeldRange, ReleasedRange
from comfreywharf.platform.durations import duration_s
from comfreywharf.records import NUMBER_KEYS

__all__ = ["DamagedReport", "Heartbeat", "read_deregistration", "read_heartbeat"]

SPARE_CONNECTIONS = 8
"""Connections reserved for orders, beside the one that each slot may use."""

MAX_SLOTS = 65_536
MAX_SEQUENCE = 10**9
"""One heartbeat per millisecond for eleven days. A higher number is damaged: if it were
accepted, all later heartbeats of that server would be rejected as late."""

MAX_RANGES = 4096
"""How many ranges a heartbeat may list as held, and how many as released."""

MAX_FENCE = 2**63 - 1

MAX_COLD_S = 3600.0
"""A longer time until a server is warm is damaged: it would get hardly any requests."""

MAX_START_MS = 10**14
"""The year 5138, as a Unix time in milliseconds."""

_INSTANCE = re.compile(r"[!-.0-~]{1,128}")
_HANDOVER = re.compile(r"[!-~]{0,128}")
_PORT = re.compile(r"[0-9]{1,5}")
_STATES = ("ready", "draining")


class DamagedReport(ValueError):
    """A report that can't be decoded, or has a value out of bounds in ``field``.

    A damaged report is ignored: it changes nothing that is known of any server.
    """

    def __init__(self, field, found, expected):
        super().__init__(f"{field}: found {found!r:.80}; expected {expected}")
        self.field = field


@attrs.frozen(kw_only=True)
class Heartbeat:
    """One heartbeat. ``sequence`` counts the heartbeats of one incarnation.

    The server stays cold for ``cold_s`` after it was sent; 0 means that it is warm.
    ``held`` is ``None`` if the heartbeat doesn't list the keys that are held.
    ``field_names`` are the names of all its fields.
    """

    announcement: Announcement
    sequence: int
    leaving: bool
    cold_s: float = 0.0
    held: tuple[HeldRange, ...] | None = None
    released: tuple[ReleasedRange, ...] = ()
    field_names: frozenset[str] = frozenset()


def read_heartbeat(instance, body):
    """Return the `Heartbeat` in the bytes of a report; raises `DamagedReport`.

    Unused fields are checked as well: a sender that corrupts one field may have
    corrupted the others.
    """
    fields = _fields(body)
    host, port = _address(fields.get("address"))
    _text(fields, "zone")
    _text(fields, "version")
    cold_s = _duration(fields, "coldRemaining")
    if cold_s > MAX_COLD_S:
        raise DamagedReport("coldRemaining", cold_s, f"at most {MAX_COLD_S:.0f} s")
    slots = _integer(fields, "slots", MAX_SLOTS)
    if slots < 1:
        raise DamagedReport("slots", slots, "one or more")
    state = fields.get("state")
    if state not in _STATES:
        raise DamagedReport("state", state, " or ".join(_STATES))
    incarnation = _incarnation(instance, fields)
    announcement = Announcement(
        name=instance,
        service=_text(fields, "service"),
        host=host,
        port=port,
        slots=slots,
        connections=slots + SPARE_CONNECTIONS,
        checks_fences=True,
        instance=instance,
        born_ms=incarnation.started_ms,
    )
    return Heartbeat(
        announcement=announcement,
        sequence=_integer(fields, "sequence", MAX_SEQUENCE),
        leaving=state == "draining",
        cold_s=cold_s,
        held=_held(fields) if "holds" in fields else None,
        released=_released(fields) if "released" in fields else (),
        field_names=frozenset(fields),
    )


def _held(fields):
    """Return the held ranges; they overlap while work on an earlier grant goes on."""
    held = []
    for position, (first, last, fence) in _rows(fields, "holds"):
        if type(fence) is not int or not 0 <= fence <= MAX_FENCE:
            raise DamagedReport(position, fence, f"a fence from 0 to {MAX_FENCE}")
        held.append(HeldRange(first=first, last=last, fence=fence))
    return tuple(held)


def _released(fields):
    released = []
    for position, (first, last, handover) in _rows(fields, "released"):
        if not isinstance(handover, str) or not _HANDOVER.fullmatch(handover):
            raise DamagedReport(position, handover, "a handover of visible characters")
        released.append(ReleasedRange(first=first, last=last, handover=handover))
    return tuple(released)


def _rows(fields, name):
    """Yield ``(place, row)`` for each range of a list; raises `DamagedReport`."""
    rows = fields[name]
    if not isinstance(rows, list) or len(rows) > MAX_RANGES:
        raise DamagedReport(name, rows, f"a list of {MAX_RANGES} rows at most")
    for number, row in enumerate(rows):
        position = f"{name}[{number}]"
        if not isinstance(row, list) or len(row) != 3:
            raise DamagedReport(position, row, "three values")
        for value in row[:2]:
            if type(value) is not int or not 0 <= value < NUMBER_KEYS:
                raise DamagedReport(position, row, f"keys from 0 to {NUMBER_KEYS - 1}")
        if row[0] > row[1]:
            raise DamagedReport(position, row, "a first key that isn't above the last")
        yield position, row


def read_deregistration(instance, body):
    """Return the `ServerIncarnation` that leaves; raises `DamagedReport`.

    The body may be empty.
    """
    return _incarnation(instance, _fields(body) if body else {})


def _fields(body):
    try:
        fields = orjson.loads(body)
    except ValueError as error:
        raise DamagedReport("body", str(error), "JSON") from error
    if not isinstance(fields, dict):
        raise DamagedReport("body", fields, "an object")
    return fields


def _incarnation(instance, fields):
    if not _INSTANCE.fullmatch(instance):
        raise DamagedReport("id", instance, "visible characters")
    born_ms = fields.get("born")
    if born_ms is not None:
        born_ms = _integer(fields, "born", MAX_START_MS)
    return ServerIncarnation(instance, born_ms)


def _address(value):
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not _is_ip(host) or not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise DamagedReport("address", value, "IP:PORT")
    return host, int(port)


def _is_ip(text):
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _text(fields, name):
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise DamagedReport(name, value, "a text that isn't empty")
    return value


def _duration(fields, name):
    try:
        return duration_s(fields.get(name))
    except ValueError as error:
        expected = "a number with ms or s"
        raise DamagedReport(name, fields.get(name), expected) from error


def _integer(fields, name, maximum):
    """Return a whole number from 0 to ``maximum``; raises `DamagedReport`.

    Booleans and floats are rejected, although Python accepts them as numbers. If a
    start time or sequence number of another type were stored, comparing it with that of
    each later heartbeat could raise, and the node would lose track of the server.
    """
    value = fields.get(name)
    if type(value) is not int or not 0 <= value <= maximum:
        raise DamagedReport(name, value, f"a whole number from 0 to {maximum}")
    return value
