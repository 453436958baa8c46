"""Quarantine of requests that crash backend servers, or are suspected of it.

A request in flight when a backend server crashes becomes a suspect. The next time
it runs alone: an answer clears it. After a crash it is condemned, which means that it
is refused for `CONDEMNED_S`, since no other request can be the cause. Nodes inform
their peers by notices. Each crash has an id, so that a notice that is received twice
counts once.
"""

from enum import Enum

import attrs

__all__ = [
    "LIFTED",
    "SUSPECT",
    "Crash",
    "Notice",
    "Quarantine",
    "QuarantineEntry",
    "Standing",
]

SUSPECT = "suspect"
LIFTED = "lifted"
"""Kinds of notices; `Quarantine.apply_notice` describes their subject."""

WITH_OTHERS = 1.0
ALONE = 2.0
"""Values of a suspect's notice: whether it ran with others or alone at the crash."""

UNCONFIRMED = "here"
"""Crash id of a suspicion that is based on an unconfirmed crash; used on this node
only."""

SUSPECT_S = 60.0
"""Time after which a request without another crash is no longer a suspect."""

CONDEMNED_S = 600.0
"""Time for which a condemned request is refused."""

MAX_ENTRIES = 1024
"""Limit on the fingerprints kept. Suspects are evicted before condemned requests,
and among these the ones that expire first."""


class Standing(Enum):
    """How a request may run."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"


@attrs.frozen
class Notice:
    """A notice for the peers, and how long they need it."""

    kind: str
    subject: str
    value: float
    ttl_s: float


@attrs.frozen
class Crash:
    """The requests in flight when a backend server crashed, by fingerprint.

    ``alone`` is true if it was a single suspect that was run alone.
    """

    fingerprints: tuple[str, ...]
    alone: bool


@attrs.frozen(kw_only=True)
class QuarantineEntry:
    """A suspect or condemned request, as listed to operators."""

    fingerprint: str
    service: str
    standing: Standing
    crashes: int
    remaining_s: float


@attrs.define
class _Record:
    """The crashes during which a request was in flight.

    ``crashes`` holds for each crash id whether it ran alone. The ids in ``cleared``
    are ignored if a notice of them is received later.
    """

    service: str
    crashes: dict[str, float] = attrs.Factory(dict)
    cleared: set[str] = attrs.Factory(set)
    expires_s: float = 0.0

    @property
    def standing(self):
        if not self.crashes:
            return Standing.TRUSTED
        if ALONE in self.crashes.values():
            return Standing.CONDEMNED
        return Standing.SUSPECT


class Quarantine:
    """Suspect and condemned requests of all nodes, as one node has recorded them."""

    def __init__(self):
        self._records = {}

    def __len__(self):
        """Return how many fingerprints are kept, including expired ones."""
        return len(self._records)

    def standing(self, fingerprint, now_s):
        """Return how a request may run."""
        record = self._unexpired(fingerprint, now_s)
        return record.standing if record else Standing.TRUSTED

    def retry_after_s(self, fingerprint, now_s):
        """Return the time until a condemned request may run again, in seconds."""
        record = self._unexpired(fingerprint, now_s)
        return max(record.expires_s - now_s, 0.0) if record else 0.0

    def mark_suspect(self, fingerprint, service, now_s):
        """Make a request a suspect on this node only, without notices for peers."""
        self._add(fingerprint, service, UNCONFIRMED, WITH_OTHERS, now_s)

    def record_crash(self, crash_id, service, crash, now_s):
        """Record a `Crash` of this node's backend server; return the notices for peers.

        Only a suspect that was run alone is condemned. If a request merely happened
        to be the only one in flight, or was started before it became a suspect, the
        crash may have another cause.
        """
        value = ALONE if crash.alone else WITH_OTHERS
        notices = []
        for name in sorted(set(crash.fingerprints)):
            self._add(name, service, crash_id, value, now_s)
            subject = f"{name} {crash_id} {service}"
            notices.append(Notice(SUSPECT, subject, value, _ttl_s(value)))
        return notices

    def clear_suspect(self, fingerprint, now_s):
        """Clear a suspect that ran alone and was answered; return notices for peers."""
        if self.standing(fingerprint, now_s) is not Standing.SUSPECT:
            return []
        return self.lift(fingerprint, now_s)

    def lift(self, fingerprint, now_s):
        """Clear a fingerprint's crashes; return the notices for peers.

        It is called on an operator's order, and when a suspect was answered.
        """
        record = self._unexpired(fingerprint, now_s)
        if record is None or not record.crashes:
            return []
        crash_ids = ",".join(sorted(record.crashes))
        subject = f"{fingerprint} {crash_ids} {record.service}"
        self._clear_crashes(record, record.crashes)
        return [Notice(LIFTED, subject, 0.0, CONDEMNED_S)]

    def apply_notice(self, kind, subject, value, now_s):
        """Apply a notice received from a peer.

        The subject is ``FINGERPRINT CRASH_ID SERVICE``; in a notice of kind
        ``lifted`` the ids of all cleared crashes are separated by commas. These
        stay cleared if their own notices are received later. Raise a `ValueError`
        for a subject of another form.
        """
        fingerprint, crash_ids, service = subject.split(" ", 2)
        if kind == SUSPECT:
            value = ALONE if value >= ALONE else WITH_OTHERS
            self._add(fingerprint, service, crash_ids, value, now_s)
        elif kind == LIFTED:
            record = self._records.setdefault(fingerprint, _Record(service))
            record.expires_s = max(record.expires_s, now_s + CONDEMNED_S)
            self._clear_crashes(record, crash_ids.split(","))
            self._evict_excess(now_s)

    def list(self, now_s):
        """Return the entries that haven't expired, condemned ones first."""
        entries = [
            QuarantineEntry(
                fingerprint=name,
                service=record.service,
                standing=record.standing,
                crashes=len(record.crashes),
                remaining_s=record.expires_s - now_s,
            )
            for name, record in self._records.items()
            if record.crashes and record.expires_s > now_s
        ]
        entries.sort(key=lambda entry: (entry.standing.value, entry.fingerprint))
        return entries

    def _unexpired(self, fingerprint, now_s):
        if not self._records:
            return None
        record = self._records.get(fingerprint)
        if record is not None and record.expires_s <= now_s:
            del self._records[fingerprint]
            return None
        return record

    def _add(self, fingerprint, service, crash_id, value, now_s):
        record = self._unexpired(fingerprint, now_s)
        if record is None:
            record = self._records[fingerprint] = _Record(service)
        if crash_id == UNCONFIRMED:
            record.cleared.discard(UNCONFIRMED)
        if crash_id in record.cleared or crash_id in record.crashes:
            return
        record.crashes[crash_id] = value
        record.expires_s = max(record.expires_s, now_s + _ttl_s(value))
        self._evict_excess(now_s)

    def _clear_crashes(self, record, crash_ids):
        record.cleared.update(crash_ids)
        for crash_id in record.cleared:
            record.crashes.pop(crash_id, None)

    def _evict_excess(self, now_s):
        if len(self._records) <= MAX_ENTRIES:
            return
        expired = [n for n, r in self._records.items() if r.expires_s <= now_s]
        for name in expired:
            del self._records[name]
        if len(self._records) > MAX_ENTRIES:
            by_eviction_key = sorted(self._records, key=self._eviction_key)
            for name in by_eviction_key[: MAX_ENTRIES // 8]:
                del self._records[name]

    def _eviction_key(self, fingerprint):
        record = self._records[fingerprint]
        return record.standing is Standing.CONDEMNED, record.expires_s


def _ttl_s(value):
    return CONDEMNED_S if value >= ALONE else SUSPECT_S
