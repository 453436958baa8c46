"""What a backend server holds that is told so by lists, in answers to its heartbeats.

It asks for each list by a heartbeat, and says in it what it holds. A list names all
that it is to hold, so that what is left out is released.
"""

import attrs

from comfreywharf.ownership.holds import HoldBook

__all__ = ["ListedHoldBook"]

NEVER_S = float("-inf")


@attrs.define
class ListedHoldBook(HoldBook):
    """A `HoldBook` of which lists may grant as well as orders.

    A list is on its way until its server is heard again on the connection that carried
    it: the server sends there only after it has read the answer before. A list on a
    connection that the server left may come late, and counts until its time is over.
    """

    @classmethod
    def of_new_process(cls, terms, now_s):
        """Return the book of a process that begins.

        An earlier one that was killed granted nothing for longer than its lease.
        """
        unknown_s = terms.lease_s * (1 + terms.slow_clock)
        return cls(terms, unknown_until_s=now_s + unknown_s)

    def listed(self, place, end, fence, list_id, until_s, now_s):
        """Take note that a list which is sent now grants a place until a time.

        It carries the place's handover. ``list_id`` names the connection.
        """
        hold = self._holds.get(place)
        if hold is None or hold.fence < fence or hold.end != end:
            hold = self._begin(place, end, fence, now_s)
        self._highest_fence = max(self._highest_fence, fence)
        hold.listed_until_s[list_id] = until_s
        hold.maybe_until_s = max(hold.maybe_until_s, until_s)
        hold.taken_until_s = until_s
        hold.handover = self.handover_for(place)

    def handover_for(self, place):
        """Return what an earlier holder handed over for the next grant of a place."""
        return self._handovers.get(place, "")

    def settle(self, service, list_id, reported, now_s):
        """Take note that the lists on a connection came, and what is held after them.

        ``reported`` are ranges of hashes: the first one, and the one behind the last.
        """
        whole = set(reported)
        for hold in self._of(service):
            if hold.listed_until_s.pop(list_id, None) is not None:
                self._handover_came((service, hold.start), hold)
            if (hold.start, hold.end) in whole:
                continue
            if hold.unheard_until_s > now_s or hold.asking:
                continue
            if not any(hold.overlaps(start, end) for start, end in reported):
                hold.maybe_until_s = hold.taken_until_s = NEVER_S

    def _handover_came(self, place, hold):
        if hold.handover and self._handovers.get(place) == hold.handover:
            del self._handovers[place]

    def adopt(self, service, start, end, fence, now_s):
        """Take note of a range that an earlier process of this node granted."""
        self._highest_fence = max(self._highest_fence, fence)
        if now_s >= self.unknown_until_s:
            # What it holds beyond that time this process granted itself.
            return
        if any(h.fence >= fence for h in self._overlapping(service, start, end)):
            return
        hold = self._make_hold(start, end, fence)
        hold.maybe_until_s = self.unknown_until_s
        self._earlier.setdefault(service, []).append(hold)

    def process_changed(self):
        """Count on nothing that an earlier life of the server was granted."""
        super().process_changed()
        for holds in self._earlier.values():
            for hold in holds:
                hold.taken_until_s = NEVER_S

    def doubt(self, service, value):
        """Count on no grant of a key until it is granted once more."""
        for hold in self._of(service):
            if hold.start <= value < hold.end:
                hold.taken_until_s = NEVER_S

    def has(self, service, value, now_s, near=None):
        """Return whether the server has a key for a while, under whatever fence.

        A hold ends with the lease that it rested on, so that nobody else has the key. A
        new fence for the same key comes with the next list, and changes nothing of it.
        The hold that begins at ``near`` is looked at first: mostly it is the one.
        """
        likely = self._holds.get((service, value if near is None else near))
        ends_by_s = now_s + self.terms.shortest_s
        if likely is not None and likely.gives_until_s(value) > ends_by_s:
            return True
        ends_s = [hold.gives_until_s(value) for hold in self._of(service)]
        return max(ends_s, default=NEVER_S) > ends_by_s

    def kept(self, service, start, end, now_s):
        """Return ``(start, end, fence)`` of what the server has in a range for now."""
        found = []
        holds = self._overlapping(service, start, end)
        for hold in sorted(holds, key=lambda hold: -hold.fence):
            first, behind = max(start, hold.start), min(end, hold.end)
            if hold.taken_until_s <= now_s or hold.fence <= self._used_fence:
                continue
            if _meets(first, behind, hold.given_away) or _meets(first, behind, found):
                continue
            found.append((first, behind, hold.fence))
        return found


def _meets(start, end, ranges):
    return any(start < behind and first < end for first, behind, *_ in ranges)
