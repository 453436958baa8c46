"""Decisions under load: admission, choice of servers, hot keys, quarantine.

Everything here is pure: no clock, no sockets, no greenlets; chance comes as a
`random.Random`. The shell is `comfreywharf.daemon.requests.load`.
"""

from comfreywharf.load.absences import Absences
from comfreywharf.load.choice import (
    DEFAULT_CHOOSER,
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
