"""A model of a node, its server that is granted ranges by lists, and a second node.

The node decides with the product's `HoldLists` and `ListedHoldBook`. The transport of
heartbeats and answers, the server's incarnations and its slow clock, the lease and the
other node are modelled here. All times are by one clock; the server's holds end later
because of its slow clock.
"""

import attrs

from comfreywharf.ownership.hold_lists import (
    HeldRange,
    HoldLists,
    HoldReport,
    ReleasedRange,
    Serving,
)
from comfreywharf.ownership.holds import HoldTerms
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.records import Slice, range_of_numbers

__all__ = ["TERMS", "ListWorld"]

TERMS = HoldTerms(lease_s=2.0, longest_s=10.0)
SLOWNESS = 1.02
SERVICE = "booking"
NUMBER_RANGES = ((0, 99), (100, 199))
LATEST_ANSWER_S = 6.0


@attrs.define
class Answer:
    """A list in transit, and the heartbeat that requested it."""

    rows: tuple
    hold_s: float
    sent_s: float
    incarnation: int
    connection: int
    keep: tuple = ()


@attrs.define
class Server:
    """A server's current incarnation: its holds and the fences that it has seen."""

    incarnation: int = 1
    connection: int = 1
    held: dict = attrs.Factory(dict)
    seen: dict = attrs.Factory(dict)
    released: list = attrs.Factory(list)

    def holds(self, number_range, now_s):
        """Return the fence under which a number range is held, or ``None``."""
        fence, until_s = self.held.get(number_range, (None, float("-inf")))
        return fence if now_s < until_s else None

    def take(self, answer, now_s):
        """Apply a list."""
        if answer.incarnation != self.incarnation:
            return
        listed = {
            number_range: row
            for row in answer.rows
            for number_range in NUMBER_RANGES
            if row.first <= number_range[0] and number_range[1] <= row.last
        }
        until_s = answer.sent_s + answer.hold_s * SLOWNESS
        for number_range in NUMBER_RANGES:
            row = listed.get(number_range)
            if row is None:
                if self.holds(number_range, now_s) is not None:
                    self.released.append((number_range, f"h{now_s}"))
                self.held.pop(number_range, None)
            elif row.fence >= self.seen.get(number_range, -1):
                self.seen[number_range] = row.fence
                self.held[number_range] = (row.fence, until_s)


@attrs.define
class ListWorld:
    """The state of one node and its server; each method is one event."""

    now_s: float = 100.0
    epoch: int = 1
    own_ranges: dict = attrs.Factory(
        lambda: {number_range: 2 for number_range in NUMBER_RANGES}
    )
    others: dict = attrs.Factory(dict)
    lease_until_s: float = 102.0
    server: Server = attrs.Factory(Server)
    in_transit: list = attrs.Factory(list)
    releasing: dict = attrs.Factory(dict)
    fences: dict = attrs.Factory(dict)
    book: ListedHoldBook = None
    lists: HoldLists = None

    def __attrs_post_init__(self):
        self.start_node()

    def start_node(self):
        """Start the node's process, or restart it while its server keeps running."""
        self.book = ListedHoldBook.of_new_process(TERMS, self.now_s)
        self.lists = HoldLists(self.book)
        self.releasing.clear()
        self.epoch += 1
        self.own_ranges = {
            number_range: 2 * self.epoch for number_range in self.own_ranges
        }

    def pass_time(self, duration_s):
        """Advance the time, without a renewal of the lease."""
        self.now_s += duration_s

    def renew(self):
        """Have the witnesses renew the lease."""
        self.lease_until_s = self.now_s + TERMS.lease_s

    def serving(self):
        """Return what the node may serve now."""
        if self.now_s >= self.lease_until_s:
            return None
        served = tuple(
            (SERVICE, self._slice(number_range), fence, self.lease_until_s)
            for number_range, fence in self.own_ranges.items()
        )
        if self.book.has_used_fence(fence for _, _, fence, _ in served):
            self.begin_lease()
            return None
        return Serving(served=served, pending=(), lease_until_s=self.lease_until_s)

    @staticmethod
    def _slice(number_range):
        start, end = range_of_numbers(*number_range)
        return Slice(start=start, end=end, owner="a")

    def begin_lease(self):
        """Start a new lease, with higher fences."""
        self.epoch += 1
        self.own_ranges = {
            number_range: 2 * self.epoch for number_range in self.own_ranges
        }

    def heartbeat(self, delay_s, answered, kept):
        """Send a heartbeat; its answer arrives if ``answered``, or stays in transit.

        ``kept`` is false if the server closes the connection afterwards.
        """
        report = HoldReport(
            service=SERVICE,
            connection=(self.server.incarnation, self.server.connection),
            arrived_s=self.now_s + delay_s,
            held=tuple(
                HeldRange(first=number_range[0], last=number_range[1], fence=fence)
                for number_range, (fence, until_s) in self.server.held.items()
                if self.now_s < until_s
            ),
            released=tuple(
                ReleasedRange(
                    first=number_range[0], last=number_range[1], handover=handover
                )
                for number_range, handover in self.server.released
            ),
        )
        sent_s = self.now_s
        self.now_s += delay_s
        if self.lists.receive(report, self.now_s):
            self.begin_lease()
        serving = self.serving()
        decided = serving and self.lists.decide(report, serving, self.now_s)
        if decided:
            answer = Answer(
                rows=decided.rows,
                hold_s=decided.hold_s,
                sent_s=sent_s,
                incarnation=self.server.incarnation,
                connection=self.server.connection,
            )
            if answered:
                self._take(answer)
            else:
                self.in_transit.append(answer)
        if not kept or not answered:
            self.server.connection += 1
        self._end_releases()

    def deliver_late_answer(self):
        """Apply a late answer; it has no effect if its time is over."""
        if self.in_transit:
            self._take(self.in_transit.pop(0))

    def _take(self, answer):
        before = {
            number_range: self.server.holds(number_range, self.now_s)
            for number_range in NUMBER_RANGES
        }
        self.server.take(answer, self.now_s)
        for number_range in NUMBER_RANGES:
            fence = self.server.holds(number_range, self.now_s)
            if fence is not None and fence != before[number_range]:
                self._record_fence(
                    number_range, fence, ("server", self.server.incarnation)
                )

    def _record_fence(self, number_range, fence, holder):
        for other, known in self.fences.get(number_range, {}).items():
            assert other == holder or fence > known, (
                number_range,
                fence,
                holder,
                self.fences,
            )
        known = self.fences.setdefault(number_range, {})
        known[holder] = max(fence, known.get(holder, -1))

    def move_away(self, number_range):
        """Have the planner assign a number range to the other node."""
        if number_range not in self.own_ranges or number_range in self.releasing:
            return
        del self.own_ranges[number_range]
        self.epoch += 1
        start, end = range_of_numbers(*number_range)
        fence = self.book.stop(SERVICE, start, end, 2 * self.epoch, self.now_s)
        self.releasing[number_range] = fence
        self.lists.release()
        self._end_releases()

    def _end_releases(self):
        """Grant the other node's server what this node's server no longer holds."""
        for number_range, fence in list(self.releasing.items()):
            start, end = range_of_numbers(*number_range)
            service_range = (SERVICE, start, end)
            held = fence is not None and not self.book.granted_above(
                *service_range, fence
            )
            if held and self.now_s < self.book.held_until_s(*service_range):
                continue
            if self.now_s < self.book.lost_until_s(*service_range):
                continue
            del self.releasing[number_range]
            self._grant_other(number_range)

    def _grant_other(self, number_range):
        self.epoch += 1
        self.others[number_range] = 2 * self.epoch
        self._record_fence(number_range, 2 * self.epoch, "other")

    def move_back(self, number_range):
        """Have the other node's server release a number range to this node."""
        if number_range in self.others:
            del self.others[number_range]
            self.epoch += 1
            self.own_ranges[number_range] = 2 * self.epoch

    def take_over(self):
        """Have the other node claim everything, once the lease is over."""
        if self.now_s < self.lease_until_s:
            return
        self.releasing.clear()
        for number_range in list(self.own_ranges):
            del self.own_ranges[number_range]
            self._grant_other(number_range)

    def restart_server(self):
        """Restart the server under the same id."""
        self.server = Server(incarnation=self.server.incarnation + 1)
        self.lists.server_restarted()
        self.book.process_changed()

    def check(self):
        """Raise `AssertionError` where a key has two holders."""
        for number_range in self.others:
            fence = self.server.holds(number_range, self.now_s)
            assert fence is None, f"{number_range} has two holders at {self.now_s}"
