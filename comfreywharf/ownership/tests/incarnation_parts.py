"""The parts of the worlds of `incarnation_model`: nodes, incarnations, and orders.

Each part can be copied, and has a key by which equal states are recognized.
"""

import copy
import functools

import attrs

from comfreywharf.ownership.holds import GrantAnswer, HoldBook, HoldTerms
from comfreywharf.ownership.process_tracker import ProcessTracker
from comfreywharf.records import Slice
from comfreywharf.records.state import ClusterState, Member

SERVICE = "booking"
SLICE_END = 1000
SLICE_RANGE = (SERVICE, 0, SLICE_END)
LEASE_TICKS = 2
TERMS = HoldTerms(
    lease_s=LEASE_TICKS,
    longest_s=LEASE_TICKS,
    slow_clock=0.0,
    renew_part=0.5,
    shortest_s=1,
)
NODE_NAMES = ("a", "b")
LONG_AGO = float("-inf")
UNAWAITED = 0


class Violation(Exception):
    """Two servers hold the key, or one takes it under no higher fence than another."""


@attrs.frozen(kw_only=True)
class Limits:
    """The bounds of a search. ``incarnations`` limits those at each address.

    Nodes that aren't ``detailed`` have no faults: their servers don't crash, no
    connection is reset, and each order is answered at once.
    """

    steps: int
    faults: int
    ticks: int = 4
    incarnations: tuple[int, int] = (3, 2)
    connections: int = 2
    detailed: tuple[str, ...] = NODE_NAMES
    restarts: bool = True


def other(name):
    """Return the other node."""
    return "b" if name == "a" else "a"


@functools.lru_cache(maxsize=1 << 16)
def fences(epoch, owner, standby, lease_epochs):
    """Return the fences of a slice's owner and of its taker, according to the fold."""
    members = {
        name: Member(
            node_id=name,
            incarnation=1,
            host="",
            caller_port=0,
            peer_port=0,
            operator_port=0,
            failure_domain="",
            region="",
            lease_epoch=lease_epoch,
        )
        for name, lease_epoch in zip(NODE_NAMES, lease_epochs, strict=True)
    }
    state = ClusterState(members=members)
    slice_ = Slice(start=0, end=SLICE_END, owner=owner, standby=standby, epoch=epoch)
    return state.fence(slice_), state.takeover_fence(slice_)


@functools.lru_cache(maxsize=1 << 12)
def slice_of(epoch):
    """Return the model's only slice, at an epoch."""
    return Slice(start=0, end=SLICE_END, owner="a", epoch=epoch)


@attrs.define(kw_only=True)
class OrderDelivery:
    """An order of a node: decided on, then sent on a connection."""

    order: object
    process: int
    serial: int
    connection: int = -1
    request_number: int = -1
    answer: GrantAnswer | None = None

    def copy(self):
        return copy.copy(self)


def copy_tracker(tracker):
    """Return an independent copy of a process tracker."""
    copied = type(tracker)()
    for name, value in vars(tracker).items():
        setattr(copied, name, value.copy() if hasattr(value, "copy") else value)
    return copied


def copy_hold(hold):
    """Return an independent copy of a hold."""
    return copy.copy(hold)


def copy_book(book):
    """Return an independent copy of a book."""
    copied = HoldBook(book.terms, book.unknown_until_s)
    copied._highest_fence = book._highest_fence
    copied._used_fence = book._used_fence
    copied._holds = {
        slice_id: copy_hold(hold) for slice_id, hold in book._holds.items()
    }
    copied._earlier = {
        service: [copy_hold(hold) for hold in holds]
        for service, holds in book._earlier.items()
    }
    copied._stopped = dict(book._stopped)
    return copied


def book_key(book, now):
    """Return a book as a hashable value."""
    earlier = sum(book._earlier.values(), [])
    return (
        book._highest_fence,
        book._used_fence,
        max(0, book.unknown_until_s - now),
        tuple(book._stopped.values()),
        tuple(hold_key(hold, now) for hold in book._holds.values()),
        tuple(hold_key(hold, now) for hold in earlier),
    )


def hold_key(hold, now):
    """Return a hold as a hashable value."""
    return (
        hold.fence,
        max(0, hold.taken_until_s - now),
        max(0, hold.possible_until_s - now),
        max(0, hold.lost_until_s - now),
        hold.order_hold_s if hold.order_pending else 0,
        hold.order_pending,
        hold.outdated,
    )


@attrs.define(kw_only=True)
class Incarnation:
    """One process of a server. ``inbox`` has ``(serial, fence, until)`` of orders."""

    number: int
    highest_seen_fence: int = -1
    highest_held_fence: int = -1
    held_until: float = LONG_AGO
    inbox: tuple = ()

    def copy(self):
        return copy.copy(self)

    def key(self, now):
        return (
            self.highest_seen_fence,
            self.highest_held_fence,
            max(0, self.held_until - now),
            tuple((s, fence, max(0, until - now)) for s, fence, until in self.inbox),
        )


@attrs.define(kw_only=True)
class Node:
    """A node: its lease, its book, and its connections to its server.

    ``connections`` maps each connection to the incarnation to which it leads.
    ``announced`` is the announced incarnation, or ``None`` while the server counts as
    lost.
    """

    book: HoldBook
    tracker: ProcessTracker = attrs.Factory(ProcessTracker)
    connections: dict = attrs.Factory(dict)
    deliveries: list = attrs.Factory(list)
    reached_process: object = None
    announced: int | None = 1
    held: bool = True
    lease_until: float = LEASE_TICKS
    lease_epoch: int = 0
    unreleased_fence: int = -1
    claims: bool = False
    stopped: int = -1
    released: bool = False
    restarted: bool = False
    cached_key: tuple = (None, None)

    def copy(self):
        return Node(
            book=copy_book(self.book),
            tracker=copy_tracker(self.tracker),
            connections=dict(self.connections),
            deliveries=[delivery.copy() for delivery in self.deliveries],
            reached_process=self.reached_process,
            announced=self.announced,
            held=self.held,
            lease_until=self.lease_until,
            lease_epoch=self.lease_epoch,
            unreleased_fence=self.unreleased_fence,
            claims=self.claims,
            stopped=self.stopped,
            released=self.released,
            restarted=self.restarted,
        )

    def key(self, now):
        """Return the state as a hashable value.

        It is cached, since few steps change a node.
        """
        if self.cached_key[0] != now:
            self.cached_key = (now, self._key(now))
        return self.cached_key[1]

    def _key(self, now):
        return (
            self.announced,
            None
            if self.reached_process is None
            else self.reached_process == self.tracker.process,
            self.held,
            max(0, self.lease_until - now),
            self.lease_epoch,
            self.unreleased_fence,
            self.claims,
            self.stopped,
            self.released,
            self.restarted,
            book_key(self.book, now),
            self._tracker_key(),
            tuple(self.connections.items()),
            tuple(self._delivery_key(delivery, now) for delivery in self.deliveries),
        )

    def _tracker_key(self):
        opened = [(moment, c) for c, moment in self.tracker._opened.items()]
        sent = [
            (delivery.request_number, -delivery.serial) for delivery in self.deliveries
        ]
        order = tuple(number for _, number in sorted(opened + sent))
        return order, frozenset(self.tracker._confirmed)

    def _delivery_key(self, delivery, now):
        order = delivery.order
        return (
            delivery.serial,
            delivery.process == self.tracker.process,
            delivery.connection,
            delivery.answer and delivery.answer.value,
            order.fence,
            order.lease_until_s - now,
            order.until_s - now,
            order.hold_s,
        )

    @property
    def idle(self):
        """Return the connections on which no answer is awaited."""
        busy = [delivery.connection for delivery in self.deliveries]
        return [number for number in self.connections if number not in busy]
