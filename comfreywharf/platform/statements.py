"""What a backend server states in the headers of its answers, as typed values."""

import re

from comfreywharf.daemon.servers.statements import Statement
from comfreywharf.load.ratelimit import MAX_LIMIT_PER_S
from comfreywharf.load.serverload import ReportedLoad

__all__ = ["read_statement"]

LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"
LOAD_HEADER = "x-instance-load"
LEAVING = "1"
MAX_LOGGED_CHARS = 80

_DECIMAL = re.compile(r"[0-9]{1,20}(\.[0-9]{0,20})?|\.[0-9]{1,20}")
_LOAD = re.compile(r"([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6})(?:,([0-9]{1,6}))?")


def read_statement(response):
    """Return the `Statement` in the headers of an answer.

    A header that comes twice is damaged. So is a limit that isn't a decimal number,
    and a load that isn't three or four whole numbers.
    """
    limit_per_s, damaged_limit = _read(response, LIMIT_HEADER, _limit_per_s)
    load, damaged_load = _read(response, LOAD_HEADER, _load)
    return Statement(
        limit_per_s=limit_per_s,
        damaged_limit=damaged_limit,
        leaving=response.get(LEAVING_HEADER) == LEAVING,
        load=load,
        damaged_load=damaged_load,
    )


def _read(response, header, parse):
    """Return ``(value, damaged)``; both are ``None`` without the header."""
    text = response.get(header)
    if text is None:
        return None, None
    value = parse(text) if isinstance(text, str) else None
    return value, str(text)[:MAX_LOGGED_CHARS] if value is None else None


def _limit_per_s(text):
    if not _DECIMAL.fullmatch(text):
        return None
    limit_per_s = float(text)
    return limit_per_s if limit_per_s <= MAX_LIMIT_PER_S else None


def _load(text):
    found = _LOAD.fullmatch(text)
    if found is None:
        return None
    running, waiting, slots = (int(number) for number in found.groups()[:3])
    work_percent = int(found[4] or 100)
    if not slots or not work_percent:
        return None
    return ReportedLoad(
        running=running, waiting=waiting, slots=slots, work_percent=work_percent
    )
