"""A model of two nodes and their servers, for an exhaustive search of its steps.

The model has one slice, two nodes, and for each node one address at which servers crash
and restart. The decisions are those of `ProcessTracker`, `HoldBook` and `ClusterState`
themselves. The daemon's handling of their results is modelled here, as are servers and
leases, the latter by an oracle that is as strict as the witnesses.

An order arrives when it is sent, and its hold counts from then on, even if the order is
applied later. Time advances in ticks; a lease lasts two of them. The heartbeat of a new
incarnation is received at any time after its start, or never. A missing heartbeat also
stands for a new incarnation that can't be distinguished from the earlier one, since it
uses the same name.

A server doesn't record the fence of a release: if it did, it would refuse an order that
arrives after a release under a higher fence. As with the witnesses, the lease of a
node's new process starts when that of the earlier one is over, and an earlier owner
releases a slice only if the witnesses of its lease have acknowledged the move.

A delay and a planned move count as faults as well. The number of faults is bounded, as
is that of steps. An order that is decided on, sent, applied and answered without delay
is one step without a fault.
"""

from comfreywharf.ownership.holds import GrantAnswer, HoldBook
from comfreywharf.ownership.process_tracker import ProcessTracker
from comfreywharf.ownership.tests.incarnation_events import NextEvents
from comfreywharf.ownership.tests.incarnation_parts import (
    LEASE_TICKS,
    LONG_AGO,
    NODE_NAMES,
    SERVICE,
    SLICE_RANGE,
    TERMS,
    UNAWAITED,
    Incarnation,
    Node,
    OrderDelivery,
    Violation,
    copy_book,
    fences,
    other,
    slice_of,
)

__all__ = ["World"]


class World:
    """The state, and the events that may come next.

    `after` returns the world after an event, or raises `Violation`.
    """

    def __init__(self):
        self.now = 0
        self.offset = 3
        self.epoch, self.owner, self.previous = 0, "a", ""
        self.nodes = {}
        self.incarnations = {}
        self.latest_incarnation = {"a": 1, "b": 1}
        self.highest_crashed_fence = -1
        self.faults = 0
        # Until when the witnesses refuse each node's lease to a taker, and until
        # when they refuse it to the node itself because of a taker.
        self.taker_barred_until = {"a": LEASE_TICKS, "b": LEASE_TICKS}
        self.node_barred_until = {"a": LONG_AGO, "b": LONG_AGO}
        for epoch, name in enumerate(NODE_NAMES, 1):
            node = self.nodes[name] = Node(book=HoldBook(TERMS), lease_epoch=epoch)
            node.tracker.opened(1)
            node.connections[1] = 1
            self.incarnations[name] = Incarnation(number=1)

    def copy(self, names):
        """Return a copy in which these nodes and their servers may change."""
        copied = type(self).__new__(type(self))
        vars(copied).update(vars(self))
        copied.nodes = dict(self.nodes)
        copied.incarnations = dict(self.incarnations)
        copied.latest_incarnation = dict(self.latest_incarnation)
        copied.taker_barred_until = dict(self.taker_barred_until)
        copied.node_barred_until = dict(self.node_barred_until)
        for name in names:
            copied.nodes[name] = self.nodes[name].copy()
            if self.incarnations[name]:
                copied.incarnations[name] = self.incarnations[name].copy()
        return copied

    def after(self, event):
        """Return the world after an event."""
        names = NODE_NAMES if event.both else event.arguments[:1]
        world = self.copy(names)
        world.faults += event.fault
        getattr(world, event.method)(*event.arguments)
        return world

    # What a node may serve, according to `OwnershipTable`.

    def owns(self, name):
        node = self.nodes[name]
        return node.held and self.now < node.lease_until

    def fences(self):
        epochs = tuple(self.nodes[name].lease_epoch for name in NODE_NAMES)
        return fences(self.epoch, self.owner, other(self.owner), epochs)

    def claims(self, name):
        return self.nodes[name].claims and self.owns(name)

    def serving_fence(self, name):
        """Return the fence under which a node may serve the slice, or ``None``."""
        node = self.nodes[name]
        if not self.owns(name):
            return None
        release_not_awaited = self.previous in ("", name) or self.claims(name)
        if self.owner == name:
            return self.fences()[0] if release_not_awaited else None
        if self.previous == name and node.unreleased_fence >= 0:
            return node.unreleased_fence
        return self.fences()[1] if release_not_awaited and self.claims(name) else None

    def served(self, name):
        fence = self.serving_fence(name)
        if fence is None:
            return []
        until = self.nodes[name].lease_until
        return [(SERVICE, slice_of(self.epoch), fence, until)]

    def events(self, limits):
        """Return what may happen next."""
        return NextEvents(self, limits)

    def leads_to_running(self, name, number):
        """Return whether a connection leads to the running incarnation."""
        incarnation = self.incarnations[name]
        return (
            incarnation is not None
            and incarnation.number == self.nodes[name].connections[number]
        )

    # Events of a node, as in `RangeGrants` and its connection pool.

    def connect(self, name):
        node = self.nodes[name]
        if not node.tracker.process:
            for number in node.idle:
                self._end_connection(name, number)
        number = _lowest_unused(node.connections)
        node.connections[number] = self.incarnations[name].number
        node.tracker.opened(number)
        self._answer_unsent(name)

    def close(self, name, number):
        self._end_connection(name, number)
        self._answer_unsent(name)

    def _end_connection(self, name, number):
        node = self.nodes[name]
        node.connections.pop(number, None)
        node.tracker.closed(number)

    def _answer_unsent(self, name):
        """Answer the unsent orders whose target process is no longer known."""
        node = self.nodes[name]
        for delivery in list(node.deliveries):
            if delivery.connection < 0 and delivery.process != node.tracker.process:
                node.deliveries.remove(delivery)
                node.book.answered(delivery.order, GrantAnswer.UNSENT, self.now)

    def may_push(self, name):
        """Return whether `push` would do anything."""
        node = self.nodes[name]
        if not node.tracker.process or self.serving_fence(name) is None:
            return False
        if node.reached_process not in (None, node.tracker.process):
            return True
        served = self.served(name)
        if node.book.has_used_fence(fence for _, _, fence, _ in served):
            return True
        return bool(copy_book(node.book).due_orders(served, self.now))

    def will_decide(self, name):
        """Return whether `push` would decide on an order."""
        node = self.nodes[name]
        book = copy_book(node.book)
        if node.reached_process not in (None, node.tracker.process):
            book.process_changed()
        served = self.served(name)
        barred = book.has_used_fence(fence for _, _, fence, _ in served)
        return not barred and bool(book.due_orders(served, self.now))

    def push(self, name, number=None, stages=1):
        """Do what `RangeGrants.push` does once a process is reached.

        The order is sent on a connection, applied and answered at once, or only the
        first ``stages`` of these happen.
        """
        node = self.nodes[name]
        if node.reached_process not in (None, node.tracker.process):
            node.book.process_changed()
        node.reached_process = node.tracker.process
        served = self.served(name)
        if node.book.has_used_fence(fence for _, _, fence, _ in served):
            self._restart_lease(name)
            return
        for order in node.book.due_orders(served, self.now):
            serial = _lowest_unused([delivery.serial for delivery in node.deliveries])
            process = node.tracker.process
            node.deliveries.append(
                OrderDelivery(order=order, process=process, serial=serial)
            )
            if number is not None:
                self._send_at_once(name, number, stages)

    def _send_at_once(self, name, number, stages):
        node, incarnation = self.nodes[name], self.incarnations[name]
        index = len(node.deliveries) - 1
        self.send(name, index, number)
        if stages > 1:
            self.apply_order(name, len(incarnation.inbox) - 1)
        if stages > 2:
            self.answer(name, index)

    def hold_of(self, order):
        """Return the hold that an order grants if it is sent now."""
        return order.hold_s_at(self.now)

    def send(self, name, index, number):
        node, incarnation = self.nodes[name], self.incarnations[name]
        delivery = node.deliveries[index]
        hold = self.hold_of(delivery.order)
        if not hold:
            node.book.answered(delivery.order, GrantAnswer.REFUSED, self.now)
            del node.deliveries[index]
            return
        delivery.connection = number
        delivery.request_number = node.tracker.request_sent()
        if incarnation and incarnation.number == node.connections[number]:
            arrived = (delivery.serial, delivery.order.fence, self.now + hold)
            incarnation.inbox = (*incarnation.inbox, arrived)

    def lose(self, name, index):
        node = self.nodes[name]
        delivery = node.deliveries.pop(index)
        self._end_connection(name, delivery.connection)
        node.book.answered(delivery.order, GrantAnswer.LOST, self.now)
        self._leave_orders(name, delivery.serial)
        self._answer_unsent(name)

    def _leave_orders(self, name, serial=None):
        """Mark an order, or all of them, as no longer awaiting an answer."""
        incarnation = self.incarnations[name]
        if incarnation:
            incarnation.inbox = tuple(
                (UNAWAITED, *entry[1:]) if serial in (None, entry[0]) else entry
                for entry in incarnation.inbox
            )

    def _reset_backend(self, name):
        """Start with a new object for the server, which has no connections."""
        node = self.nodes[name]
        node.tracker = ProcessTracker()
        node.connections = {}
        node.deliveries = []
        if node.reached_process is not None:
            node.reached_process = "another"
        self._leave_orders(name)

    def answer(self, name, index):
        node = self.nodes[name]
        delivery = node.deliveries.pop(index)
        node.tracker.answered(delivery.connection, delivery.request_number)
        node.book.answered(delivery.order, delivery.answer, self.now)
        if delivery.answer is GrantAnswer.OUTDATED:
            self._restart_lease(name)

    def refused(self, name):
        node = self.nodes[name]
        self._reset_backend(name)
        node.announced = None
        node.book.clear()
        self._surrender(name, LONG_AGO)

    def announce(self, name):
        node = self.nodes[name]
        if node.announced is not None:
            self._reset_backend(name)
            self._surrender(name, node.book.all_held_until_s(self.now))
        node.announced = self.incarnations[name].number

    def restart(self, name):
        """Restart a node's process; the earlier one left no record of its grants."""
        node, incarnation = self.nodes[name], self.incarnations[name]
        unknown_until = self.now + TERMS.lease_s * (1 + TERMS.slow_clock)
        node.book = HoldBook(TERMS, unknown_until_s=unknown_until)
        self._reset_backend(name)
        node.reached_process = None
        node.announced = incarnation.number if incarnation else None
        node.held = node.claims = node.released = False
        node.restarted = True
        node.unreleased_fence = node.stopped = -1

    # Events of servers, and the rule.

    def crash(self, name):
        self.highest_crashed_fence = max(
            self.highest_crashed_fence, self.incarnations[name].highest_held_fence
        )
        self.incarnations[name] = None

    def begin(self, name):
        self.latest_incarnation[name] += 1
        self.incarnations[name] = Incarnation(number=self.latest_incarnation[name])

    def apply_order(self, name, index):
        incarnation = self.incarnations[name]
        serial, fence, until = incarnation.inbox[index]
        incarnation.inbox = (
            *incarnation.inbox[:index],
            *incarnation.inbox[index + 1 :],
        )
        answer = GrantAnswer.OUTDATED
        if incarnation.highest_seen_fence <= fence:
            answer = GrantAnswer.TAKEN
            incarnation.highest_seen_fence = fence
            if until > self.now:
                self._take(name, incarnation, fence, until)
        for delivery in self.nodes[name].deliveries:
            if delivery.serial == serial:
                delivery.answer = answer

    def _take(self, name, incarnation, fence, until):
        rival = self.incarnations[other(name)]
        if rival and self.now < rival.held_until:
            raise Violation(
                f"incarnation {rival.number} at {other(name)} holds the key as well"
            )
        other_fence = max(
            self.highest_crashed_fence, rival.highest_held_fence if rival else -1
        )
        if fence <= other_fence:
            raise Violation(
                f"taken under fence {fence}; another incarnation had {other_fence}"
            )
        incarnation.held_until = until
        incarnation.highest_held_fence = max(incarnation.highest_held_fence, fence)

    # Events of leases and of the slice.

    def _record(self):
        self.offset += 1
        return self.offset - 1

    def _surrender(self, name, held_until):
        node = self.nodes[name]
        self.taker_barred_until[name] = held_until
        if node.claims:
            self.node_barred_until[other(name)] = held_until
        node.held = node.claims = False

    def _restart_lease(self, name):
        self._surrender(name, self.nodes[name].book.all_held_until_s(self.now))

    def begin_lease(self, name):
        node = self.nodes[name]
        node.held, node.restarted = True, False
        node.lease_until = self.taker_barred_until[name] = self.now + LEASE_TICKS
        node.lease_epoch = self._record()
        node.unreleased_fence = -1

    def claim(self, name):
        node, rival = self.nodes[name], self.nodes[other(name)]
        node.claims = True
        rival.held = rival.claims = False
        self.node_barred_until[other(name)] = node.lease_until

    def record(self, name):
        self.epoch, self.owner = self._record(), name
        if self.previous == name:
            self.previous = ""

    def move(self, before):
        fence = self.fences()[0]
        self.epoch, self.owner, self.previous = self._record(), other(before), before
        node = self.nodes[before]
        node.unreleased_fence = fence
        node.released = False

    def stop(self, name):
        node = self.nodes[name]
        node.stopped, node.released, node.unreleased_fence = self.epoch, False, -1
        if node.book.stop(*SLICE_RANGE, 2 * self.epoch, self.now) is None:
            self.hand_over(name)

    def release(self, name):
        node, incarnation = self.nodes[name], self.incarnations[name]
        node.released = True
        if self.now < node.book.held_until_s(*SLICE_RANGE):
            incarnation.held_until = LONG_AGO

    def hand_over(self, name):
        self.previous = ""

    def tick(self, renewing):
        for name in NODE_NAMES:
            node = self.nodes[name]
            if name in renewing:
                node.lease_until = self.taker_barred_until[name] = (
                    self.now + 1 + LEASE_TICKS
                )
                if node.claims:
                    self.node_barred_until[other(name)] = node.lease_until
        self.now += 1
        for name in NODE_NAMES:
            # A claim ends with the lease of its taker.
            if not self.owns(name):
                self.nodes[name].claims = False

    # The state as a value.

    def key(self):
        """Return a key by which equal worlds are recognized.

        Times count from now, and past times are equal. Only the order of events
        counts, and numbers of connections and orders are reused.
        """
        now = self.now
        return (
            now,
            self.faults,
            self.offset,
            self.epoch,
            self.owner,
            self.previous,
            self.highest_crashed_fence,
            *(max(0, time - now) for time in self.taker_barred_until.values()),
            *(max(0, time - now) for time in self.node_barred_until.values()),
            *self.latest_incarnation.values(),
            *(node.key(now) for node in self.nodes.values()),
            *(
                incarnation and incarnation.key(now)
                for incarnation in self.incarnations.values()
            ),
        )


def _lowest_unused(numbers):
    """Return the lowest unused number."""
    number = 1
    while number in numbers:
        number += 1
    return number
