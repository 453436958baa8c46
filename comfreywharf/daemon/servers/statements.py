"""What a backend server states about itself in its answers."""

from enum import Enum

import attrs

from comfreywharf.load.serverload import ReportedLoad

__all__ = ["AnswerKind", "Statement"]


class AnswerKind(Enum):
    """The call that an answer is for: a request, an order, or a probe."""

    REQUEST = "request"
    ORDER = "order"
    PROBE = "probe"


@attrs.frozen(kw_only=True)
class Statement:
    """What one answer of a backend server states.

    ``limit_per_s`` is the limit that it names, in requests per second, and ``None`` if
    it names none; ``leaving`` is true if it says that it leaves. A limit that can't be
    read is in ``damaged_limit``, and says neither that there is a limit nor that there
    is none. ``load`` is the load that it reports, ``None`` if it reports none; one that
    can't be read is in ``damaged_load``.
    """

    limit_per_s: float | None = None
    damaged_limit: str | None = None
    leaving: bool = False
    load: ReportedLoad | None = None
    damaged_load: str | None = None
