"""Holds of a backend server that is granted ranges by lists in heartbeat answers.

Each heartbeat of the server requests a list and reports what the server holds. A list
contains all that the server is to hold; ranges that are left out are released.
"""

import attrs

from comfreywharf.ownership.holds import HoldBook

__all__ = ["ListedHoldBook"]

NEVER_S = float("-inf")


@attrs.define
class ListedHoldBook(HoldBook):
    """A `HoldBook` in which lists grant ranges as well as orders do.

    A list is in transit until the next report arrives on the connection that carried
    it, since the server sends there only after it has read the earlier answer. A list
    on a connection that the server abandoned may arrive late, and counts until its
    time is over.
    """

    @classmethod
    def of_new_process(cls, terms, now_s):
        """Return the book of a process that starts.

        No grant of an earlier process lasts for longer than its lease.
        """
        unknown_s = terms.lease_s * (1 + terms.slow_clock)
        return cls(terms, unknown_until_s=now_s + unknown_s)

    def listed(self, slice_id, end, fence, list_id, until_s, now_s):
        """Register that a list which is sent now grants a slice until ``until_s``.

        The list carries the slice's handover. ``list_id`` is its connection.
        """
        hold = self._holds.get(slice_id)
        if hold is None or hold.fence < fence or hold.end != end:
            hold = self._begin(slice_id, end, fence, now_s)
        self._highest_fence = max(self._highest_fence, fence)
        hold.listed_until_s[list_id] = until_s
        hold.possible_until_s = max(hold.possible_until_s, until_s)
        hold.taken_until_s = until_s
        hold.handover = self.handover_for(slice_id)

    def handover_for(self, slice_id):
        """Return an earlier holder's handover for the next grant of a slice."""
        return self._handovers.get(slice_id, "")

    def lists_received(self, service, list_id, reported, now_s):
        """Register that the lists on a connection arrived, and which ranges are held.

        ``reported`` are half-open ranges of hashes that the server holds.
        """
        exact_ranges = set(reported)
        for hold in self._holds_of(service):
            if hold.listed_until_s.pop(list_id, None) is not None:
                self._handover_received((service, hold.start), hold)
            if (hold.start, hold.end) in exact_ranges:
                continue
            if hold.unanswered_until_s > now_s or hold.order_pending:
                continue
            if not any(hold.overlaps(start, end) for start, end in reported):
                hold.possible_until_s = hold.taken_until_s = NEVER_S

    def _handover_received(self, slice_id, hold):
        if hold.handover and self._handovers.get(slice_id) == hold.handover:
            del self._handovers[slice_id]

    def adopt(self, service, start, end, fence, now_s):
        """Register a range that an earlier process of this node granted."""
        self._highest_fence = max(self._highest_fence, fence)
        if now_s >= self.unknown_until_s:
            # What the server still holds by then was granted by this process.
            return
        if any(h.fence >= fence for h in self._overlapping(service, start, end)):
            return
        hold = self._make_hold(start, end, fence)
        hold.possible_until_s = self.unknown_until_s
        self._earlier.setdefault(service, []).append(hold)

    def process_changed(self):
        """Treat all grants to an earlier incarnation of the server as unconfirmed."""
        super().process_changed()
        for holds in self._earlier.values():
            for hold in holds:
                hold.taken_until_s = NEVER_S

    def mark_not_held(self, service, value):
        """Treat a key as not held until it is granted again."""
        for hold in self._holds_of(service):
            if hold.start <= value < hold.end:
                hold.taken_until_s = NEVER_S

    def holds_key(self, service, value, now_s, slice_start=None):
        """Return whether the server holds a key under any fence, and for long enough.

        That is for at least `HoldTerms.shortest_s`. A hold ends with the lease that
        it is based on, so that no other server holds the key. A new fence for the key
        comes with the next list and doesn't affect this. The hold of the
        slice that starts at ``slice_start`` is checked first, since it mostly is the
        right one.
        """
        likely = self._holds.get(
            (service, value if slice_start is None else slice_start)
        )
        ends_by_s = now_s + self.terms.shortest_s
        if likely is not None and likely.confirmed_until_s(value) > ends_by_s:
            return True
        ends_s = [hold.confirmed_until_s(value) for hold in self._holds_of(service)]
        return max(ends_s, default=NEVER_S) > ends_by_s

    def held_parts(self, service, start, end, now_s):
        """Return ``(start, end, fence)`` of each held part of a range."""
        found = []
        holds = self._overlapping(service, start, end)
        for hold in sorted(holds, key=lambda hold: -hold.fence):
            first, past_end = max(start, hold.start), min(end, hold.end)
            if hold.taken_until_s <= now_s or hold.fence <= self._used_fence:
                continue
            if _overlaps_any(first, past_end, hold.stopped_ranges) or _overlaps_any(
                first, past_end, found
            ):
                continue
            found.append((first, past_end, hold.fence))
        return found


def _overlaps_any(start, end, ranges):
    return any(start < past_end and first < end for first, past_end, *_ in ranges)
