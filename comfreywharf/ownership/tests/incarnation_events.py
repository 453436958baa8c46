"""The events that may come next in a world of `incarnation_model`."""

from comfreywharf.ownership.tests.incarnation_parts import (
    LONG_AGO,
    NODE_NAMES,
    SLICE_RANGE,
    other,
)

__all__ = ["Event", "NextEvents"]


class Event:
    """A step: a method of the `World`, its arguments, and the faults it counts as.

    ``both`` says that it may change both nodes, not only the one in its arguments.
    """

    __slots__ = ("text", "method", "arguments", "fault", "both")

    def __init__(self, text, method, *arguments, fault=0, both=False):
        self.text = text
        self.method = method
        self.arguments = arguments
        self.fault = fault
        self.both = both


class NextEvents:
    """The events that may come next in a world, within the bounds of a search."""

    def __init__(self, world, limits):
        self._world = world
        self._limits = limits

    def __iter__(self):
        remaining_faults = self._limits.faults - self._world.faults
        for event in self._all():
            if event.fault <= remaining_faults and self._is_wanted(event):
                yield event

    def _is_wanted(self, event):
        name = event.arguments[0]
        if event.method == "restart" and not self._limits.restarts:
            return False
        faultless = name in NODE_NAMES and name not in self._limits.detailed
        return not faultless or not event.fault or event.method == "move"

    def _all(self):
        for name in NODE_NAMES:
            yield from self._node_events(name)
            yield from self._server_events(name)
            yield from self._lease_events(name)
        yield from self._move_events()
        if self._world.now < self._limits.ticks:
            yield from self._tick_events()

    def _node_events(self, name):
        node, incarnation = self._world.nodes[name], self._world.incarnations[name]
        if node.announced is not None:
            if incarnation and len(node.connections) < self._limits.connections:
                yield Event(
                    f"{name} connects to incarnation {incarnation.number}",
                    "connect",
                    name,
                )
            if not incarnation:
                yield Event(
                    f"{name}'s connection is refused by the port", "refused", name
                )
        if incarnation and node.announced != incarnation.number:
            yield Event(
                f"{name} receives the heartbeat of incarnation {incarnation.number}",
                "announce",
                name,
            )
        yield Event(f"{name}'s process restarts", "restart", name, fault=1)
        yield from self._connection_events(name)
        if self._world.may_push(name):
            yield from self._push_events(name)
        for index, delivery in enumerate(node.deliveries):
            yield from self._delivery_events(name, index, delivery)

    def _connection_events(self, name):
        for number in self._world.nodes[name].idle:
            text = f"{name}'s connection {number}"
            if self._world.leads_to_running(name, number):
                yield Event(f"{text} is reset", "close", name, number, fault=1)
            else:
                yield Event(f"{text} is found to have ended", "close", name, number)

    def _push_events(self, name):
        """Yield how far an order gets in one step, on each of the connections."""
        node = self._world.nodes[name]
        if not self._world.will_decide(name):
            yield Event(f"{name} requests a new lease", "push", name)
            return
        yield Event(f"{name} decides on an order", "push", name, fault=1)
        for number in node.idle:
            if not node.tracker.leads_to_process(number):
                continue
            target = node.connections[number]
            text = (
                f"{name} sends an order on connection {number} to incarnation {target}"
            )
            if not self._world.leads_to_running(name, number):
                yield Event(text, "push", name, number)
                continue
            yield Event(f"{text}, it is answered", "push", name, number, 3)
            yield Event(f"{text}, it is applied", "push", name, number, 2, fault=1)
            yield Event(text, "push", name, number, fault=1)

    def _delivery_events(self, name, index, delivery):
        node = self._world.nodes[name]
        if delivery.connection < 0:
            for number in node.idle:
                if node.tracker.leads_to_process(number):
                    target = node.connections[number]
                    text = (
                        f"{name} sends its order on connection {number} "
                        f"to incarnation {target}"
                    )
                    yield Event(text, "send", name, index, number)
            return
        if delivery.answer is not None:
            yield Event(f"{name} reads the answer", "answer", name, index)
        lost = f"{name} counts its order as lost"
        fault = int(self._world.leads_to_running(name, delivery.connection))
        yield Event(lost, "lose", name, index, fault=fault)

    def _server_events(self, name):
        incarnation = self._world.incarnations[name]
        if incarnation is None:
            yield Event(
                f"incarnation {self._world.latest_incarnation[name] + 1} "
                f"starts at {name}",
                "begin",
                name,
            )
            return
        if (
            self._world.latest_incarnation[name]
            < self._limits.incarnations[NODE_NAMES.index(name)]
        ):
            text = f"incarnation {incarnation.number} at {name} crashes"
            yield Event(text, "crash", name, fault=1)
        for index in range(len(incarnation.inbox)):
            text = f"incarnation {incarnation.number} at {name} applies an order"
            yield Event(text, "apply_order", name, index)

    def _lease_events(self, name):
        node, rival = self._world.nodes[name], other(name)
        if not node.held and node.announced is not None:
            earlier_until = (
                self._world.taker_barred_until[name] if node.restarted else LONG_AGO
            )
            if (
                max(self._world.node_barred_until[name], earlier_until)
                <= self._world.now
            ):
                yield Event(f"{name}'s lease restarts", "begin_lease", name)
        concerned = rival in (self._world.owner, self._world.previous)
        if concerned and self._world.owns(name) and not node.claims:
            if self._world.taker_barred_until[rival] <= self._world.now:
                yield Event(f"{name} claims {rival}'s lease", "claim", name, both=True)
        if self._world.owner == rival and self._world.claims(name):
            yield Event(f"{name}'s takeover is recorded", "record", name)

    def _move_events(self):
        owner, previous = self._world.owner, self._world.previous
        if not previous:
            text = f"the slice moves from {owner}"
            yield Event(text, "move", owner, fault=1)
        elif previous != owner and self._world.owns(owner):
            node = self._world.nodes[previous]
            if node.stopped != self._world.epoch and node.held:
                yield Event(f"{previous} stops for a release", "stop", previous)
            elif node.stopped != self._world.epoch:
                return
            elif not node.released and self._may_release(previous):
                yield Event(f"{previous}'s server releases", "release", previous)
            elif node.released and not self._awaits_lost(previous):
                yield Event(f"{owner} receives the release", "hand_over", previous)

    def _may_release(self, name):
        book = self._world.nodes[name].book
        if book.awaits_answer(*SLICE_RANGE):
            return False
        all_ended = self._world.now >= book.held_until_s(*SLICE_RANGE)
        return all_ended or (
            self._world.nodes[name].announced is not None
            and self._world.incarnations[name]
        )

    def _awaits_lost(self, name):
        return self._world.now < self._world.nodes[name].book.lost_until_s(*SLICE_RANGE)

    def _tick_events(self):
        renewing = tuple(name for name in NODE_NAMES if self._may_renew(name))
        yield Event("a tick, all leases renewed", "tick", renewing, both=True)
        for name in renewing:
            others = tuple(node for node in renewing if node != name)
            text = f"a tick, {name}'s lease isn't renewed"
            yield Event(text, "tick", others, both=True, fault=1)

    def _may_renew(self, name):
        return (
            self._world.nodes[name].held
            and self._world.node_barred_until[name] <= self._world.now
        )
