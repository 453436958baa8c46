"""The list of all ranges that a backend server is to hold, sent in heartbeat answers.

A server that is assigned its keys in this way reports in each heartbeat which ranges it
holds and which it released. The answer lists the ranges that it is to hold, for a time
that counts from the sending of the heartbeat. `HoldLists` decides on the list, and
derives from each heartbeat which earlier lists were received. It uses no clock and no
sockets.
"""

import attrs

from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.records import numbers_in, range_of_numbers

__all__ = [
    "HeldRange",
    "HoldList",
    "HoldLists",
    "HoldReport",
    "HoldRow",
    "ListCapacity",
    "ReleasedRange",
    "Serving",
]

MIN_LEASE_FRACTION = 0.5
"""The fraction of the longest remaining lease that a new range's lease must reach. All
ranges of a list share one hold time, so that a shorter lease would shorten all."""

TIMELY_S = 0.9
"""The age of a heartbeat up to which its answer is in time. A server may drop an answer
that arrives a second after its heartbeat was sent."""

MAX_HANDOVERS = 256
"""The most handovers that are kept for next owners; older ones are rarely requested."""


@attrs.frozen(kw_only=True)
class HeldRange:
    """A range of numbers, first to last, that a server holds or still works on."""

    first: int
    last: int
    fence: int


@attrs.frozen(kw_only=True)
class ReleasedRange:
    """A range of numbers, first to last, that a server released, with its handover."""

    first: int
    last: int
    handover: str


@attrs.frozen(kw_only=True)
class HoldReport:
    """The part of a heartbeat that concerns keys.

    ``connection`` identifies the connection on which it came. ``arrived_s`` is the
    time of its arrival; the server counts a hold from the sending of the heartbeat,
    which was earlier.
    """

    service: str
    connection: object
    arrived_s: float
    held: tuple[HeldRange, ...] = ()
    released: tuple[ReleasedRange, ...] = ()


@attrs.frozen(kw_only=True)
class HoldRow:
    """A range of numbers, first to last, that a server is to hold."""

    first: int
    last: int
    fence: int
    handover: str = ""


@attrs.frozen(kw_only=True)
class HoldList:
    """All that a server is to hold, for ``hold_s`` after it sent its heartbeat."""

    rows: tuple[HoldRow, ...]
    hold_s: float


@attrs.frozen(kw_only=True)
class ListCapacity:
    """The size limit of an answer, and the size of a row without its handover.

    A longer answer doesn't count as an acknowledgement, and may not be applied.
    """

    max_bytes: int = 4000
    row_bytes: int = 28

    def used_bytes_with(self, row, used_bytes):
        """Return the bytes used with a further row, or ``None`` if it doesn't fit."""
        used_bytes += self.row_bytes + len(row.handover)
        return used_bytes if used_bytes <= self.max_bytes else None


@attrs.frozen(kw_only=True)
class Serving:
    """What a node may serve now, and which of its own slices it can't serve yet.

    ``served`` has ``(service, slice, fence, until_s)``; ``pending`` has
    ``(service, slice)`` whose fence the witnesses haven't acknowledged yet.
    ``lease_until_s`` is the end of the node's own lease.
    """

    served: tuple
    pending: tuple
    lease_until_s: float


@attrs.frozen
class _Candidate:
    start: int
    end: int
    fence: int
    until_s: float


@attrs.frozen
class _SentList:
    """The newest list: its connection, whether it was in time, and its ranges."""

    connection: object
    timely: bool
    candidates: tuple[_Candidate, ...]


@attrs.define
class HoldLists:
    """Decide on the lists for one backend server.

    ``capacity`` limits the size of one answer.
    """

    book: ListedHoldBook
    capacity: ListCapacity = attrs.Factory(ListCapacity)
    _sent: _SentList | None = None
    _handovers: list = attrs.Factory(list)
    _release_wanted: bool = False

    def server_restarted(self):
        """Reset the state after the server restarted."""
        self._sent = None
        self._handovers.clear()

    def receive(self, report, now_s):
        """Process a report; return whether a range of the last list was refused.

        A server refuses a range for which it has seen a higher fence, and shows this
        only by not listing the range.
        """
        reported = [range_of_numbers(held.first, held.last) for held in report.held]
        for held in report.held:
            hashes = range_of_numbers(held.first, held.last)
            self.book.adopt(report.service, *hashes, held.fence, now_s)
        known = [*self._handovers, *report.released]
        self._handovers = list(dict.fromkeys(known))[-MAX_HANDOVERS:]
        sent = self._sent
        if not self._same_connection(sent, report):
            return False
        self.book.lists_received(report.service, report.connection, reported, now_s)
        reported_rows = {(held.first, held.last, held.fence) for held in report.held}
        return sent.timely and not all(
            self._is_settled(candidate, report, reported_rows, now_s)
            for candidate in sent.candidates
        )

    @staticmethod
    def _same_connection(sent, report):
        """Return whether a report came on the connection that carried the last list."""
        return sent is not None and sent.connection == report.connection

    def _is_settled(self, candidate, report, reported_rows, now_s):
        """Return whether a listed range was accepted, or needn't be held any more."""
        numbers = numbers_in(candidate.start, candidate.end)
        if numbers is None or (*numbers, candidate.fence) in reported_rows:
            return True
        if self.book.is_stopped((report.service, candidate.start), candidate.fence):
            return True
        if now_s >= candidate.until_s:
            return True
        return any(
            held.fence == candidate.fence and _overlap(held, *numbers)
            for held in report.held
        )

    def release(self):
        """Have the next heartbeat answered at once, so that it releases a range."""
        self._release_wanted = True

    def pop_handover(self, start, end):
        """Return the newest handover of a range, and drop the others within it."""
        numbers = numbers_in(start, end)
        if numbers is None:
            return ""
        found = [
            released for released in self._handovers if _overlap(released, *numbers)
        ]
        inside = [
            released
            for released in found
            if numbers[0] <= released.first and released.last <= numbers[1]
        ]
        self._handovers = [
            released for released in self._handovers if released not in inside
        ]
        return found[-1].handover if found else ""

    def has_changes(self, report, serving, now_s):
        """Return whether the next list would grant or release any key."""
        if self._release_wanted:
            return True
        candidates = self._candidates(report.service, serving, now_s)
        if not all(
            self.book.holds_key(report.service, candidate.start, now_s)
            for candidate in candidates
        ):
            return True
        listed = self._sent.candidates if self._sent else ()
        starts = {candidate.start for candidate in candidates}
        return any(
            now_s < old.until_s
            and old.start not in starts
            and not any(
                candidate.start <= old.start < candidate.end for candidate in candidates
            )
            for old in listed
        )

    def decide(self, report, serving, now_s):
        """Return the `HoldList` to answer with now, or ``None`` to send no list."""
        self._release_wanted = False
        candidates = self._candidates(report.service, serving, now_s)
        ends_s = [candidate.until_s for candidate in candidates] or [
            serving.lease_until_s
        ]
        terms = self.book.terms
        longest_s = min(min(ends_s) - report.arrived_s, terms.longest_s)
        hold_s = longest_s / (1 + terms.slow_clock)
        until_s = report.arrived_s + longest_s
        if until_s < now_s + terms.shortest_s:
            return None
        listed = [attrs.evolve(candidate, until_s=until_s) for candidate in candidates]
        rows = self._fill(report, listed, now_s)
        self._sent = _SentList(
            connection=report.connection,
            timely=now_s < report.arrived_s + TIMELY_S,
            candidates=tuple(candidate for candidate, _ in rows),
        )
        return HoldList(rows=_joined([row for _, row in rows]), hold_s=hold_s)

    def _fill(self, report, candidates, now_s):
        """Return ``(candidate, row)`` of ranges that fit, and record them as listed."""
        rows, used_bytes = [], 0
        for candidate in candidates:
            row = self._row(report.service, candidate)
            used_with_it = row and self.capacity.used_bytes_with(row, used_bytes)
            if not used_with_it:
                continue
            used_bytes = used_with_it
            rows.append((candidate, row))
            self._list(report, candidate, row, now_s)
        return rows

    def _row(self, service, candidate):
        numbers = numbers_in(candidate.start, candidate.end)
        if numbers is None:
            return None
        handover = self.book.handover_for((service, candidate.start))
        first, last = numbers
        return HoldRow(first=first, last=last, fence=candidate.fence, handover=handover)

    def _list(self, report, candidate, row, now_s):
        slice_id = (report.service, candidate.start)
        self._handovers = [
            released
            for released in self._handovers
            if not _overlap(released, row.first, row.last)
        ]
        self.book.listed(
            slice_id,
            candidate.end,
            candidate.fence,
            report.connection,
            candidate.until_s,
            now_s,
        )

    def _candidates(self, service, serving, now_s):
        """Return the ranges to list; those that are already held come first."""
        candidates = [
            _Candidate(slice_.start, slice_.end, fence, until_s)
            for name, slice_, fence, until_s in serving.served
            if name == service and not self.book.is_stopped((name, slice_.start), fence)
        ]
        for name, slice_ in serving.pending:
            if name == service:
                kept = self.book.held_parts(name, slice_.start, slice_.end, now_s)
                candidates += [
                    _Candidate(*found, serving.lease_until_s) for found in kept
                ]
        longest_s = max(
            (candidate.until_s - now_s for candidate in candidates), default=0.0
        )
        held, others = [], []
        for candidate in candidates:
            if self.book.holds_key(service, candidate.start, now_s):
                held.append(candidate)
            elif candidate.until_s - now_s >= MIN_LEASE_FRACTION * longest_s:
                others.append(candidate)
        return held + others


def _overlap(one, first, last):
    """Return whether a range of numbers overlaps the one from first to last."""
    return one.first <= last and first <= one.last


def _joined(rows):
    """Return the rows with adjacent ones joined if their fences are equal.

    Rows with a handover aren't joined. Joining keeps the answer short, since an
    answer that is too long doesn't count as an acknowledgement.
    """
    joined = []
    for row in sorted(rows, key=lambda row: row.first):
        last = joined[-1] if joined else None
        alike = last and (last.fence, last.handover) == (row.fence, row.handover)
        if alike and not row.handover and last.last + 1 == row.first:
            joined[-1] = attrs.evolve(last, last=row.last)
        else:
            joined.append(row)
    return tuple(joined)
