"""Decisions on granting ranges of keys to a backend server and on releasing them.

A backend server that checks fences runs a request only while it holds the key. It
holds a range from the arrival of a grant until the grant's time is over or the range
is released. `HoldBook` decides which grants are due, and from when on a range is
certainly no longer held. It uses no clock and no sockets.
"""

from enum import Enum

import attrs

from comfreywharf.ownership.work_times import WorkTimes

__all__ = [
    "NOTHING_HELD_S",
    "SLOW_CLOCK",
    "GrantAnswer",
    "GrantOrder",
    "HoldBook",
    "HoldTerms",
]

REFUSAL_PAUSE_S = 0.5
"""How long further refusals of requests for a range are ignored after one. A server
that refuses them all would otherwise get a grant with each request."""

NOTHING_HELD_S = float("-inf")
"""The end of all holds of a backend server that has certainly crashed. ``None`` stands
for an end that isn't known."""

MOST_WANTED_PART = 0.5
"""The largest part of the shortest lease that has to be left of a hold."""

SLOW_CLOCK = 0.02
"""The fraction by which a backend server's clock may run slow."""


class GrantAnswer(Enum):
    """The result of a grant.

    ``LOST`` means no answer: the grant may be applied now, later or never.
    ``UNSENT`` means that the grant wasn't sent: its target process may no longer be
    at the address, or all connections to it were in use.
    """

    TAKEN = "taken"
    OUTDATED = "outdated"
    REFUSED = "refused"
    LOST = "lost"
    UNSENT = "unsent"


@attrs.frozen(kw_only=True)
class HoldTerms:
    """The durations of holds.

    ``slow_clock`` is the fraction by which a backend server's clock may run slow;
    ``longest_s`` is the longest hold that it accepts, and ``shortest_s`` the
    shortest that is granted. A hold is renewed when less than ``renew_part`` of the
    shortest lease is left of it, or less than the work takes that may begin under it.
    """

    lease_s: float
    longest_s: float
    slow_clock: float = SLOW_CLOCK
    renew_part: float = 0.4
    shortest_s: float = 0.05


@attrs.frozen(kw_only=True)
class GrantOrder:
    """A grant to send now. ``slice_id`` is ``(service, slice start)``.

    ``until_s`` is the end of a hold that is granted at once. One that is granted
    later must be shorter, see `hold_s_at`.
    """

    slice_id: tuple[str, int]
    start: int
    end: int
    fence: int
    lease_until_s: float
    until_s: float
    hold_s: float
    handover: str
    terms: HoldTerms

    def hold_s_at(self, now_s):
        """Return the hold to grant at ``now_s``, or zero if it would be too short.

        Orders wait for one another. If a hold kept the length that was decided on,
        it would outlast the lease by that wait, and the next owner's server would
        hold the keys at the same time.
        """
        hold_s = _hold_s(self.terms, self.lease_until_s, now_s)
        return hold_s if hold_s >= self.terms.shortest_s else 0.0


def _hold_s(terms, lease_until_s, now_s):
    return min(lease_until_s - now_s, terms.longest_s) / (1 + terms.slow_clock)


@attrs.define(kw_only=True)
class _Hold:
    """A range that the backend server was granted, and the possible ends of it.

    ``taken_until_s`` is the end that counts as accepted by the server;
    ``possible_until_s`` is the latest end of all grants. ``lost_until_s`` is the end
    of grants whose answers were lost, and ``listed_until_s`` has the ends of lists in
    transit, by connection. ``taken_s`` is when the server last accepted a grant, and
    ``refused_s`` when it last refused a request for the range.
    """

    start: int
    end: int
    fence: int
    taken_until_s: float = float("-inf")
    taken_s: float = float("-inf")
    refused_s: float = float("-inf")
    possible_until_s: float = float("-inf")
    lost_until_s: float = float("-inf")
    listed_until_s: dict = attrs.Factory(dict)
    order_hold_s: float = 0.0
    order_pending: bool = False
    outdated: bool = False
    stopped_ranges: list = attrs.Factory(list)
    handover: str = ""

    @property
    def ends_s(self):
        return max(self.possible_until_s, self.unanswered_until_s)

    @property
    def unanswered_until_s(self):
        """Return until when a grant without an answer may still be applied."""
        return max([self.lost_until_s, *self.listed_until_s.values()])

    def confirmed_until_s(self, value):
        """Return until when the server has confirmed that this grant holds a key."""
        stopped = any(start <= value < end for start, end in self.stopped_ranges)
        inside = self.start <= value < self.end
        return self.taken_until_s if inside and not stopped else float("-inf")

    def ends_by_s(self, now_s):
        """Return until when the hold may last, including an order in transit.

        The order's time counts from its arrival, which may be as late as now. With
        the end as it was at the sending of the order, a standby's server would
        begin too early.
        """
        return (
            max(self.ends_s, now_s + self.order_hold_s)
            if self.order_pending
            else self.ends_s
        )

    def overlaps(self, start, end):
        return self.start < end and start < self.end


@attrs.define
class HoldBook:
    """The grants of one backend server, by ``slice_id``.

    All times are by the node's clock. A hold that the server measures by a slow
    clock ends later by `HoldTerms.slow_clock`. The order's ``hold_s`` is shorter by
    as much, so that the hold still ends by ``until_s``.

    ``work_times`` are the `WorkTimes` of the server's requests.

    ``_earlier`` has the replaced holds that may last, by service; ``_stopped`` has the
    highest fence under which a slice is no longer granted.

    Until ``unknown_until_s`` the server may hold any range from an earlier process
    of this node, which left no record of its grants.

    Once another process of the server may be at the address, no fence is used again
    that any order carried before. Otherwise that process would hold keys under a
    fence of its predecessor, and late orders for the two couldn't be distinguished.
    """

    terms: HoldTerms
    unknown_until_s: float = float("-inf")
    work_times: WorkTimes = attrs.Factory(WorkTimes)
    _highest_fence: int = -1
    _used_fence: int = -1
    _holds: dict = attrs.Factory(dict)
    _earlier: dict = attrs.Factory(dict)
    _stopped: dict = attrs.Factory(dict)
    _handovers: dict = attrs.Factory(dict)

    def clear(self):
        """Drop all holds: the backend server crashed, and a new one holds nothing."""
        self._used_fence = self._highest_fence
        self.unknown_until_s = float("-inf")
        self._holds.clear()
        self._earlier.clear()
        self._stopped.clear()

    def process_changed(self):
        """Register that another process of the server may be at the address.

        It may also be the same process, so that its holds count until they end.
        """
        self._used_fence = self._highest_fence
        for slice_id, hold in self._holds.items():
            self._earlier.setdefault(slice_id[0], []).append(hold)
        self._holds.clear()

    @property
    def highest_fence(self):
        """Return the highest fence of all orders so far."""
        return self._highest_fence

    def has_used_fence(self, fences):
        """Return whether an earlier process may have used one of these fences."""
        return any(fence <= self._used_fence for fence in fences)

    def take_handover(self, slice_id, handover):
        """Store an earlier holder's handover for the next grant of a slice."""
        if handover:
            self._handovers[slice_id] = handover

    def due_orders(self, served, now_s):
        """Return a `GrantOrder` for each slice whose grant is missing or ends soon.

        ``served`` yields ``(service, slice, fence, until_s)`` for what this node
        may serve.
        """
        orders = []
        for service, slice_, fence, until_s in served:
            order = self._order(
                (service, slice_.start), slice_.end, fence, until_s, now_s
            )
            if order is not None:
                orders.append(order)
        return orders

    def _order(self, slice_id, end, fence, until_s, now_s):
        if self.is_stopped(slice_id, fence):
            return None
        hold = self._holds.get(slice_id)
        if hold is None or hold.fence < fence:
            hold = self._begin(slice_id, end, fence, now_s)
        if hold.order_pending or hold.outdated:
            return None
        if hold.taken_until_s - now_s > self._renew_below_s():
            return None
        hold_s = _hold_s(self.terms, until_s, now_s)
        if hold_s < self.terms.shortest_s or until_s <= hold.taken_until_s:
            return None
        hold.order_pending = True
        hold.order_hold_s = hold_s * (1 + self.terms.slow_clock)
        self._highest_fence = max(self._highest_fence, fence)
        hold.possible_until_s = max(hold.possible_until_s, until_s)
        return GrantOrder(
            slice_id=slice_id,
            start=slice_id[1],
            end=end,
            fence=fence,
            lease_until_s=until_s,
            until_s=now_s + hold_s,
            hold_s=hold_s,
            handover=self._handovers.get(slice_id, ""),
            terms=self.terms,
        )

    def _renew_below_s(self):
        shortest_s = self.terms.renew_part * self.terms.lease_s
        return max(shortest_s, self.work_times.long_s)

    def is_stopped(self, slice_id, fence):
        """Return whether a slice is no longer granted under a fence."""
        return fence <= self._stopped.get(slice_id, -1) or fence <= self._used_fence

    def _begin(self, slice_id, end, fence, now_s):
        """Begin a hold; the slice's earlier one may continue over another range."""
        earlier = self._earlier.setdefault(slice_id[0], [])
        earlier[:] = [hold for hold in earlier if hold.ends_s > now_s]
        if slice_id in self._holds:
            earlier.append(self._holds[slice_id])
        hold = self._holds[slice_id] = self._make_hold(slice_id[1], end, fence)
        return hold

    @staticmethod
    def _make_hold(start, end, fence):
        return _Hold(start=start, end=end, fence=fence)

    def _holds_of(self, service):
        current = [
            hold for slice_id, hold in self._holds.items() if slice_id[0] == service
        ]
        return current + self._earlier.get(service, [])

    def _overlapping(self, service, start, end):
        """Return every hold that overlaps a range.

        A slice that was just split off is still held as a part of the whole. A
        lookup by its own ``slice_id`` would find no hold, and the next owner's server
        would be granted the slice while this one holds it.
        """
        return [hold for hold in self._holds_of(service) if hold.overlaps(start, end)]

    def answered(self, order, answer, now_s):
        """Register the answer to an order, or the loss of that answer."""
        hold = self._hold_for(order)
        if hold is None:
            return
        hold.order_pending = False
        if answer is GrantAnswer.TAKEN:
            hold.taken_until_s = max(hold.taken_until_s, order.until_s)
            hold.taken_s = now_s
            self._handovers.pop(order.slice_id, None)
        elif answer is GrantAnswer.OUTDATED:
            hold.outdated = True
        elif answer is GrantAnswer.LOST:
            # The order may still be applied seconds from now, after a release
            # that was sent later. Only the end of its time ends it for certain.
            slack = 1 + self.terms.slow_clock
            hold.lost_until_s = max(hold.lost_until_s, now_s + order.hold_s * slack)

    def request_refused(self, slice_id, fence, sent_s, now_s):
        """Register that the server refused a request for a key of a slice as not held.

        Return whether the slice counts as not held now. It doesn't if the request was
        sent before the latest grant was accepted, or if that was refused just before.
        """
        hold = self._holds.get(slice_id)
        if hold is None or hold.fence != fence or sent_s <= hold.taken_s:
            return False
        if now_s - hold.refused_s < REFUSAL_PAUSE_S:
            return False
        hold.refused_s = now_s
        hold.taken_until_s = float("-inf")
        return True

    def _hold_for(self, order):
        """Return the hold of an order, or ``None`` after a `clear`."""
        service, start = order.slice_id
        holds = [self._holds.get(order.slice_id), *self._earlier.get(service, [])]
        for hold in holds:
            if hold and (hold.start, hold.fence) == (start, order.fence):
                return hold
        return None

    def awaits_answer_at(self, slice_id):
        """Return whether an answer to the latest grant of a slice is awaited."""
        hold = self._holds.get(slice_id)
        return hold is not None and hold.order_pending

    def awaits_answer(self, service, start, end):
        """Return whether an answer to a grant that overlaps a range is awaited.

        If the range were released before that grant arrives, the server would hold
        it again, for a whole hold and at the same time as the next owner's server.
        """
        return any(h.order_pending for h in self._overlapping(service, start, end))

    def holds(self, slice_id, fence, now_s):
        """Return whether a grant under this fence may be long enough for a request.

        It has to last for `HoldTerms.shortest_s`, and for as long as nearly every
        request takes.
        """
        left_s = self._left_s(slice_id, fence, now_s)
        return left_s > self._wanted_s(self.work_times.short_s)

    def holds_for_typical_work(self, slice_id, fence, now_s):
        """Return whether a grant under this fence lasts for a typical request."""
        left_s = self._left_s(slice_id, fence, now_s)
        return left_s > self._wanted_s(self.work_times.mean_s)

    def _wanted_s(self, work_s):
        """Return how much of a hold has to be left to begin work of a length.

        It is never more than a renewed hold has, however long work seems to take:
        without requests nothing could correct the estimate.
        """
        most_s = MOST_WANTED_PART * self.terms.lease_s
        return max(self.terms.shortest_s, min(work_s, most_s))

    def _left_s(self, slice_id, fence, now_s):
        hold = self._holds.get(slice_id)
        if hold is None or hold.fence != fence:
            return 0.0
        return hold.taken_until_s - now_s

    def earlier_process_granted(self, until_s):
        """Register that grants of an earlier process of this node may last longer."""
        self.unknown_until_s = max(self.unknown_until_s, until_s)

    def stop(self, service, start, end, fence, now_s):
        """Stop granting a range under its present fence; return that fence.

        ``None`` means that nothing is held there. ``fence`` is the fence of the
        move that takes the range away. It is used for the release if an earlier
        process of this node may have granted the range under another fence.
        """
        holds = self._overlapping(service, start, end)
        if not holds and now_s >= self.unknown_until_s:
            return None
        if now_s >= self.unknown_until_s:
            fence = max(hold.fence for hold in holds)
        for hold in holds:
            hold.stopped_ranges.append((start, end))
        slice_id = (service, start)
        self._stopped[slice_id] = max(fence, self._stopped.get(slice_id, -1))
        return fence

    def granted_above(self, service, start, end, fence):
        """Return whether any part of a range was granted under a higher fence."""
        return any(h.fence > fence for h in self._overlapping(service, start, end))

    def lost_until_s(self, service, start, end):
        """Return until when a grant whose answer was lost may still take effect."""
        holds = self._overlapping(service, start, end)
        return max((hold.unanswered_until_s for hold in holds), default=float("-inf"))

    def held_until_s(self, service, start, end):
        """Return until when a range may be held if it isn't released."""
        holds = self._overlapping(service, start, end)
        return max([hold.ends_s for hold in holds] + [self.unknown_until_s])

    def all_held_until_s(self, now_s):
        """Return until when the server may hold any range."""
        holds = list(self._holds.values()) + sum(self._earlier.values(), [])
        ends_s = [hold.ends_by_s(now_s) for hold in holds]
        return max([*ends_s, self.unknown_until_s, now_s])
