"""Exhaustive searches of a model of servers that crash and restart.

Each search covers every sequence of events within its bounds: ``CRASHES`` 7 steps,
17,698 states; ``LOSSES`` 8 steps, 5,092; ``RESTARTS`` 8 steps, 15,123;
``BOTH_NODES`` 5 steps, 8,335.

Three mechanisms aren't needed within the bounds of ``CRASHES``: no violation is
found with any one of them switched off.

- `HoldBook.clear` bars used fences. Here, the lease always restarts after it.
- `ProcessTracker.opened` drops older connections. Here, the tracker registers each
  connection when it is accepted, so that an older one leads to a crashed process, which
  takes no orders.
- ``unknown_until_s``. Here, a node's new process gets the lease only when that of its
  predecessor is over, and releases nothing before.
"""

from unittest import mock

import pytest

from comfreywharf.ownership.holds import HoldBook
from comfreywharf.ownership.process_tracker import ProcessTracker
from comfreywharf.ownership.tests.incarnation_model import World
from comfreywharf.ownership.tests.incarnation_parts import LONG_AGO, Limits
from comfreywharf.ownership.tests.incarnation_search import search

CRASHES = Limits(steps=7, faults=2, incarnations=(3, 1), detailed=("a",))
LOSSES = Limits(
    steps=8, faults=3, ticks=2, incarnations=(1, 1), connections=1, restarts=False
)
RESTARTS = Limits(steps=8, faults=3, ticks=2, incarnations=(1, 1), connections=1)
BOTH_NODES = Limits(steps=5, faults=2)


def describe(found):
    """Return the result of a search as the lines of a message."""
    return "\n".join([found.violation, *found.events, f"{found.states} states"])


def confirm_all(self, connection, request_number):
    self._confirmed.update(self._opened)


def leads_to_process_if_open(self, connection):
    return connection in self._opened


def process_changed_without_holds(self):
    self._used_fence = self._highest_fence
    self._holds.clear()


def process_changed_without_barring(self):
    for slice_id, hold in self._holds.items():
        self._earlier.setdefault(slice_id[0], []).append(hold)
    self._holds.clear()


def surrender_at_once(self, name):
    self._surrender(name, LONG_AGO)


def hold_as_decided(self, order):
    return order.hold_s


def never_awaited(self, *service_range):
    return LONG_AGO


def no_answer_awaited(self, *service_range):
    return False


MECHANISMS = {
    "an answer confirms by the order of events": (
        CRASHES,
        (ProcessTracker, "answered", confirm_all),
    ),
    "a new connection is unconfirmed": (
        CRASHES,
        (ProcessTracker, "leads_to_process", leads_to_process_if_open),
    ),
    "a changed process bars used fences": (
        CRASHES,
        (HoldBook, "process_changed", process_changed_without_barring),
    ),
    "a changed process keeps its holds": (
        CRASHES,
        (HoldBook, "process_changed", process_changed_without_holds),
    ),
    "a surrender reports holds": (
        CRASHES,
        (World, "_restart_lease", surrender_at_once),
    ),
    "a release waits for lost orders": (
        LOSSES,
        (HoldBook, "lost_until_s", never_awaited),
    ),
    "a release waits for orders in transit": (
        LOSSES,
        (HoldBook, "awaits_answer", no_answer_awaited),
    ),
    "a hold is sized when it is sent": (
        LOSSES,
        (World, "hold_of", hold_as_decided),
    ),
}


@pytest.mark.parametrize(
    "limits",
    [
        pytest.param(CRASHES, id="crashes"),
        pytest.param(LOSSES, id="losses"),
        pytest.param(RESTARTS, id="restarts"),
        pytest.param(BOTH_NODES, id="both"),
    ],
)
def test_no_sequence_of_events_violates_sole_ownership(limits):
    """Guards against two servers that hold a key, and against an incarnation that holds
    it under a fence that another one had. The message has the shortest sequence of
    events that leads to such a violation."""
    found = search(limits)
    assert not found.violation, describe(found)


@pytest.mark.parametrize("name", MECHANISMS)
def test_search_finds_a_violation_without_each_mechanism(name):
    """With one mechanism switched off, a sequence of events ends in a violation."""
    limits, (owner, method, instead) = MECHANISMS[name]
    with mock.patch.object(owner, method, instead):
        found = search(limits)
    assert found.violation, describe(found)
