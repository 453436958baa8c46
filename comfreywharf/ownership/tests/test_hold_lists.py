"""Lists of ranges in answers to heartbeats."""

import attrs
import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from comfreywharf.ownership import hold_lists, listed_holds
from comfreywharf.ownership.hold_lists import HeldRange, HoldReport, HoldRow, Serving
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.ownership.tests.list_world import NUMBER_RANGES, TERMS, ListWorld
from comfreywharf.records import Slice, range_of_numbers

NOW_S = 100.0
UNTIL_S = NOW_S + 2.0


def make_slice(first=0, last=99):
    start, end = range_of_numbers(first, last)
    return Slice(start=start, end=end, owner="a")


def serving(*slices, fence=10, until_s=UNTIL_S, pending=()):
    served = tuple(("booking", slice_, fence, until_s) for slice_ in slices)
    return Serving(served=served, pending=pending, lease_until_s=until_s)


def report(connection="c", arrived_s=NOW_S, held=(), **fields):
    held = tuple(HeldRange(first=f, last=t, fence=n) for f, t, n in held)
    return HoldReport(
        service="booking",
        connection=connection,
        arrived_s=arrived_s,
        held=held,
        **fields,
    )


def make_lists():
    book = ListedHoldBook(TERMS)
    return hold_lists.HoldLists(book)


def rows(decided):
    return [(row.first, row.last, row.fence) for row in decided.rows]


def test_hold_counts_from_the_arrival_of_the_heartbeat():
    """Guards against a server that holds keys after its node's lease was taken over.

    An answer is delayed by 0.5 s. The node must not count the hold from the sending of
    the answer, and the server counts it from the sending of its heartbeat."""
    decided = make_lists().decide(report(), serving(make_slice()), NOW_S + 0.5)
    assert NOW_S + decided.hold_s * 1.02 <= UNTIL_S + 1e-9


def test_adjacent_ranges_with_one_fence_are_one_row():
    """Guards against answers of more than 4 KiB, which don't count as answers, for a
    server that holds hundreds of slices."""
    slices = [make_slice(n, n + 9) for n in (0, 10, 30, 20)]
    assert rows(make_lists().decide(report(), serving(*slices), NOW_S)) == [(0, 39, 10)]


def test_held_ranges_stay_listed_if_not_all_fit():
    """Guards against served keys that become unavailable in favour of others.

    There are more ranges than fit in an answer. Ranges that are left out are released,
    so that the choice must not change."""
    lists = make_lists()
    lists.capacity = hold_lists.ListCapacity(max_bytes=50, row_bytes=25)
    first = serving(make_slice(50, 59), make_slice(80, 89))
    lists.decide(report(), first, NOW_S)
    more = serving(make_slice(0, 9), make_slice(50, 59), make_slice(80, 89))
    assert rows(lists.decide(report(), more, NOW_S)) == [(50, 59, 10), (80, 89, 10)]


def test_range_refused_by_the_server_is_detected():
    """Guards against a range that is listed repeatedly and never served.

    The server has seen a higher fence on one of its keys, and shows this only by the
    ranges in its next heartbeat."""
    lists = make_lists()
    lists.decide(report(), serving(make_slice(), make_slice(100, 199)), NOW_S)
    after = report(arrived_s=NOW_S + 0.87, held=[(0, 99, 10)])
    assert lists.receive(after, NOW_S + 0.87)


@pytest.mark.parametrize("connection", ["c", "another"])
def test_a_lost_answer_is_no_refusal(connection):
    """Guards against leases that restart while answers to heartbeats are lost.

    The answer with a new range never arrives, so that the next heartbeat, on another
    connection, doesn't list the range."""
    lists = make_lists()
    lists.decide(report(), serving(make_slice()), NOW_S)
    after = report(connection=connection, arrived_s=NOW_S + 0.87)
    assert lists.receive(after, NOW_S + 0.87) is (connection == "c")


def test_range_with_an_unacknowledged_fence_stays_listed():
    """Guards against keys that are briefly unavailable, and uncached, after a split.

    A slice is split, its halves wait for a round of the witnesses, and a heartbeat
    arrives in that time. Ranges that can't be served yet must stay in the list, since
    the server releases ranges that are left out."""
    lists = make_lists()
    lists.decide(report(), serving(make_slice()), NOW_S)
    halves = (("booking", make_slice(0, 49)), ("booking", make_slice(50, 99)))
    decided = lists.decide(report(), serving(pending=halves), NOW_S + 0.1)
    assert rows(decided) == [(0, 99, 10)]


def test_a_released_range_waits_for_an_answer_that_may_still_come():
    """Guards against two servers that hold a key.

    An answer that grants a range is late. The server abandons its connection and sends
    a heartbeat on another one, the range is moved away, and then the late answer is
    applied. A range that isn't reported as held may still be granted by such an
    answer."""
    lists = make_lists()
    lists.decide(report(), serving(make_slice()), NOW_S)
    start, end = range_of_numbers(0, 99)
    lists.book.stop("booking", start, end, 12, NOW_S + 0.9)
    lists.receive(report("another", NOW_S + 0.9), NOW_S + 0.9)
    assert lists.book.lost_until_s("booking", start, end) == pytest.approx(UNTIL_S)


def test_a_release_that_is_reported_twice_changes_nothing():
    """A handover is reported until it is acknowledged, and is passed on only once."""
    lists = make_lists()
    handovers = (hold_lists.ReleasedRange(first=0, last=99, handover="h"),)
    lists.receive(report(released=handovers), NOW_S)
    lists.receive(report(released=handovers), NOW_S + 0.1)
    assert lists.pop_handover(*range_of_numbers(0, 99)) == "h"
    assert lists.pop_handover(*range_of_numbers(0, 99)) == ""


def test_handover_is_sent_until_its_range_is_reported():
    """Guards against keys that are slow for seconds after a planned move.

    The answer that carries the handover is lost, so that the handover has to be sent
    again."""
    lists = make_lists()
    start, _ = range_of_numbers(0, 99)
    lists.book.take_handover(("booking", start), "h")
    expected_rows = (HoldRow(first=0, last=99, fence=10, handover="h"),)
    assert lists.decide(report(), serving(make_slice()), NOW_S).rows == expected_rows
    lists.receive(report("another", NOW_S + 0.9), NOW_S + 0.9)
    assert (
        lists.decide(report("another"), serving(make_slice()), NOW_S + 0.9).rows
        == expected_rows
    )
    lists.receive(report("another", NOW_S + 1, [(0, 99, 10)]), NOW_S + 1)
    decided = lists.decide(report("another"), serving(make_slice()), NOW_S + 1)
    assert decided.rows[0].handover == ""


def test_a_range_with_a_short_lease_doesnt_shorten_the_others():
    """Guards against the holds of all keys of a server ending after one lost heartbeat.

    A claim that has just begun ends soon, and a list has one hold time for all rows."""
    short = ("booking", make_slice(100, 199), 11, NOW_S + 0.2)
    both = serving(make_slice())
    both = attrs.evolve(both, served=(*both.served, short))
    decided = make_lists().decide(report(), both, NOW_S)
    assert rows(decided) == [(0, 99, 10)]


def test_only_keys_to_grant_or_release_count_as_changes():
    """After an early answer the node can't send another one until the next heartbeat.
    Only keys that have to be granted or released count as changes."""
    lists = make_lists()
    assert lists.has_changes(report(), serving(make_slice()), NOW_S)
    lists.decide(report(), serving(make_slice()), NOW_S)
    assert not lists.has_changes(report(), serving(make_slice(), fence=12), NOW_S + 0.1)
    assert lists.has_changes(report(), serving(), NOW_S + 0.1)
    lists.book.mark_not_held("booking", range_of_numbers(5, 5)[0] + 1)
    assert lists.has_changes(report(), serving(make_slice()), NOW_S + 0.1)


class ListsMachine(RuleBasedStateMachine):
    """Lost and late answers, restarts of the node and the server, moves, takeovers."""

    def __init__(self):
        super().__init__()
        self.world = ListWorld()

    @rule(duration_s=st.sampled_from([0.1, 0.5, 0.9, 2.1, 4.0]))
    def pass_time(self, duration_s):
        self.world.pass_time(duration_s)

    @rule()
    def renew(self):
        if not self.world.others or self.world.now_s < self.world.lease_until_s:
            self.world.renew()

    @rule(
        delay_s=st.sampled_from([0.0, 0.0, 0.3, 1.5]),
        answered=st.booleans(),
        kept=st.booleans(),
    )
    def heartbeat(self, delay_s, answered, kept):
        self.world.heartbeat(delay_s, answered, kept)

    @rule()
    def deliver_late_answer(self):
        self.world.deliver_late_answer()

    @rule(number_range=st.sampled_from(NUMBER_RANGES))
    def move_away(self, number_range):
        self.world.move_away(number_range)

    @rule(number_range=st.sampled_from(NUMBER_RANGES))
    def move_back(self, number_range):
        self.world.move_back(number_range)

    @rule()
    def take_over(self):
        self.world.take_over()

    @rule()
    def restart_server(self):
        self.world.restart_server()

    @rule()
    def restart_node(self):
        self.world.start_node()

    @invariant()
    def no_key_has_two_holders(self):
        self.world.check()


MACHINE_SETTINGS = settings(
    max_examples=400,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_no_key_has_two_holders_whatever_is_lost_or_late():
    """Each key has one holder, and its fences only increase."""
    run_state_machine_as_test(ListsMachine, settings=MACHINE_SETTINGS)


def _count_from_the_answer(monkeypatch):
    decide = hold_lists.HoldLists.decide

    def longer(self, report, serving, now_s):
        decided = decide(self, report, serving, now_s)
        return decided and attrs.evolve(decided, hold_s=decided.hold_s + 0.4)

    monkeypatch.setattr(hold_lists.HoldLists, "decide", longer)


def _count_every_list_as_received(monkeypatch):
    lists_received = ListedHoldBook.lists_received

    def all_lists_received(self, service, list_id, reported, now_s):
        for hold in self._holds_of(service):
            hold.listed_until_s.clear()
        lists_received(self, service, list_id, reported, now_s)

    monkeypatch.setattr(ListedHoldBook, "lists_received", all_lists_received)
    monkeypatch.setattr(
        hold_lists.HoldLists,
        "_same_connection",
        staticmethod(lambda sent, report: sent is not None),
    )


def _reuse_fences(monkeypatch):
    monkeypatch.setattr(
        listed_holds.ListedHoldBook, "has_used_fence", lambda self, fences: False
    )
    monkeypatch.setattr(
        listed_holds.ListedHoldBook, "process_changed", lambda self: None
    )


LOST = ("heartbeat", 0.0, False, False)
TAKEN = ("heartbeat", 0.0, True, True)
MECHANISMS = {
    "takeover at the end of the lease": (
        _count_from_the_answer,
        [TAKEN, ("pass_time", 2.05), ("take_over",)],
    ),
    "a late answer after a release": (
        _count_every_list_as_received,
        [
            ("pass_time", 3.0),
            ("renew",),
            LOST,
            ("pass_time", 0.9),
            ("move_away", NUMBER_RANGES[0]),
            LOST,
            ("deliver_late_answer",),
        ],
    ),
    "another incarnation": (_reuse_fences, [TAKEN, ("restart_server",), TAKEN]),
}


def run(events):
    """Run events in a new world, and check for two holders after each."""
    world = ListWorld()
    for name, *arguments in events:
        getattr(world, name)(*arguments)
        world.check()


@pytest.mark.parametrize("name", MECHANISMS)
def test_each_mechanism_is_needed(name, monkeypatch):
    """The events lead to a violation only if the mechanism is switched off."""
    switch_off, events = MECHANISMS[name]
    run(events)
    switch_off(monkeypatch)
    with pytest.raises(AssertionError):
        run(events)
