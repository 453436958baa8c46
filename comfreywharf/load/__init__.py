"""Decisions under load: admission, choice of servers, hot keys, quarantine.

Nothing here reads a clock or uses sockets or greenlets; randomness comes from a
`random.Random` argument. `comfreywharf.daemon.requests.load` calls these
functions and carries out their decisions.
"""

from comfreywharf.load.absences import Absences
from comfreywharf.load.choice import (
    DEFAULT_CHOOSER,
    ByReportedLoad,
    Chooser,
    LeastInFlight,
    NearFirst,
    RoundRobin,
    TwoChoices,
)
from comfreywharf.load.crashes import CrashWatch
from comfreywharf.load.ejection import Ejector
from comfreywharf.load.fairqueue import Ticket
from comfreywharf.load.fingerprints import fingerprint
from comfreywharf.load.hotkeys import HotKeys
from comfreywharf.load.limits import ConcurrencyLimit
from comfreywharf.load.members import MemberLoad
from comfreywharf.load.quarantine import Crash, Quarantine, QuarantineEntry, Standing

__all__ = [
    "Absences",
    "ByReportedLoad",
    "DEFAULT_CHOOSER",
    "Chooser",
    "ConcurrencyLimit",
    "Crash",
    "CrashWatch",
    "Ejector",
    "HotKeys",
    "LeastInFlight",
    "MemberLoad",
    "Quarantine",
    "QuarantineEntry",
    "NearFirst",
    "RoundRobin",
    "Standing",
    "Ticket",
    "TwoChoices",
    "fingerprint",
]
