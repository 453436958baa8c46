"""Loads of a service without keys that servers of another service call while they work.

Each is one deployment's: its machines, servers and kinds of request.
"""

import attrs

__all__ = ["CALL_LOADS", "CallLoad"]


@attrs.frozen(kw_only=True)
class CallLoad:
    """The servers of a called service, and the requests for it.

    Runs at ``senders`` nodes in ``domains`` begin ``runs_per_s``; a fraction
    ``calling`` of them makes ``calls_each`` calls of ``call_s`` at once, and fails if
    one fails. ``uploads_per_s`` of ``upload_s`` come from callers. A ``slow_fraction``
    of the time, a server's machine works ``slow_factor`` times as long, in spells of
    ``slow_spell_s``. A ``long_fraction`` of the requests takes ``long_factor`` times as
    long. Runs arrive in clumps of ``clump`` in the mean. Answers are wanted within
    ``call_target_s`` and ``upload_target_s``, if these are known.
    """

    name: str
    senders: int
    domains: int
    servers: int
    slots: int
    runs_per_s: float
    calls_each: int
    call_s: float
    call_deadline_s: float
    uploads_per_s: float = 0.0
    upload_s: float = 0.2
    upload_deadline_s: float = 3.0
    calling: float = 0.7
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    slow_fraction: float = 0.0
    slow_factor: float = 1.0
    slow_spell_s: float = 0.4
    clump: float = 1.0
    long_fraction: float = 0.0
    long_factor: float = 7.0
    call_target_s: float | None = None
    upload_target_s: float | None = None


CALL_LOADS = (
    CallLoad(
        name="workshop, shifted",
        senders=89,
        domains=3,
        servers=11,
        slots=3,
        runs_per_s=345.0,
        calls_each=2,
        call_s=0.040,
        call_deadline_s=0.751,
        uploads_per_s=45.5,
        upload_s=0.190,
        upload_deadline_s=3.553,
        slow_fraction=0.2,
        slow_factor=3.0,
        clump=2.0,
    ),
    CallLoad(
        name="workshop, grown",
        senders=76,
        domains=3,
        servers=14,
        slots=5,
        runs_per_s=835.0,
        calls_each=1,
        call_s=0.0433,
        call_deadline_s=0.726,
        uploads_per_s=110.0,
        upload_s=0.211,
        upload_deadline_s=2.5,
    ),
    CallLoad(
        name="media, grown",
        senders=61,
        domains=4,
        servers=12,
        slots=4,
        runs_per_s=841.0,
        calls_each=2,
        call_s=0.030,
        call_deadline_s=0.593,
        uploads_per_s=118.0,
        upload_s=0.140,
        upload_deadline_s=3.210,
    ),
    CallLoad(
        name="licences, grown",
        senders=83,
        domains=3,
        servers=26,
        slots=5,
        runs_per_s=690.0,
        calls_each=1,
        call_s=0.050,
        call_deadline_s=0.528,
        uploads_per_s=244.0,
        upload_s=0.267,
        upload_deadline_s=1.571,
        speeds=(0.6, 1.0, 1.4),
    ),
    CallLoad(
        name="archive, uneven",
        senders=70,
        domains=3,
        servers=28,
        slots=3,
        runs_per_s=250.0,
        calls_each=1,
        call_s=0.040,
        call_deadline_s=0.765,
        uploads_per_s=50.0,
        upload_s=0.540,
        upload_deadline_s=4.408,
        upload_target_s=1.5,
        speeds=(0.5, 0.75, 1.0, 1.25, 1.5),
        slow_fraction=0.2,
        slow_factor=3.0,
        long_fraction=1 / 30,
    ),
)
