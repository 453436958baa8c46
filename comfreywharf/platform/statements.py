"""What a backend server states in the headers of its answers, as typed values."""

import re

from comfreywharf.daemon.servers.statements import Statement
from comfreywharf.load.ratelimit import MAX_LIMIT_PER_S

__all__ = ["read_statement"]

LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"
LEAVING = "1"
MAX_LOGGED_CHARS = 80

_DECIMAL = re.compile(r"[0-9]{1,20}(\.[0-9]{0,20})?|\.[0-9]{1,20}")


def read_statement(response):
    """Return the `Statement` in the headers of an answer.

    A header that comes twice, or isn't a decimal number, is a damaged limit.
    """
    leaving = response.get(LEAVING_HEADER) == LEAVING
    text = response.get(LIMIT_HEADER)
    if text is None:
        return Statement(leaving=leaving)
    if isinstance(text, str) and _DECIMAL.fullmatch(text):
        limit_per_s = float(text)
        if limit_per_s <= MAX_LIMIT_PER_S:
            return Statement(limit_per_s=limit_per_s, leaving=leaving)
    damaged_limit = str(text)[:MAX_LOGGED_CHARS]
    return Statement(damaged_limit=damaged_limit, leaving=leaving)
