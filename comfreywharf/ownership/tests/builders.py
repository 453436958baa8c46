"""A simulated cluster for tests of ownership: nodes, clocks, messages and a log.

Nothing here decides on ownership. The simulation carries messages between the agents
and witnesses of the product, which may arrive late, twice, reordered or not at all,
and records what each node was allowed to forward until when.
"""

import itertools

import attrs

from comfreywharf.ownership.tests.sim_node import DOMAINS, DRIFT, SERVICE, SimNode
from comfreywharf.records import (
    ClusterState,
    ConfigPatched,
    PlannerTermStarted,
    ServiceConfig,
    SliceMove,
    SlicesMoved,
    fold,
    key_hash,
)

__all__ = ["SERVICE", "Violation", "World", "make_world", "owners_in_turn"]

STEP_S = 0.05
SHORT_S = 0.1


class Violation(AssertionError):
    """Two nodes may serve one key, or run requests for it, at the same time."""


@attrs.frozen
class Forwarded:
    """A request that a backend server may run until a point in real time."""

    node_id: str
    key: bytes
    until_real_s: float


@attrs.define(eq=False)
class Message:
    """A message in transit; ``deliver`` passes it to the target node."""

    source: str
    target: str
    deliver: object
    due_real_s: float


class World:
    """Nodes, the log, the network between them, and the forwarded requests.

    In a ``fenced`` world a backend server holds what it is granted, and may run
    requests for it, until the grant's time is over or the range is released.
    """

    def __init__(self, node_ids, rates, fenced=False, domains=None):
        self.fenced = fenced
        self.longest_lease_s = 0.0
        self.real_s = 0.0
        self.log = []
        self.log_up = True
        self.messages = []
        self.waiting_appends = []
        self.cuts = set()
        self.slow_s = {}
        self.forwarded = []
        self._ids = itertools.count()
        self.nodes = {}
        domains = domains or [DOMAINS[index % 3] for index in range(len(node_ids))]
        for node_id, rate, domain in zip(node_ids, rates, domains, strict=True):
            self.nodes[node_id] = SimNode(self, node_id, rate, domain)

    def add_node(self, node_id, domain):
        """Add a node that starts now."""
        self.nodes[node_id] = SimNode(self, node_id, 1.0, domain)

    def declare(self, service, slices, longest_lease_ms=0):
        """Declare a service, and start a planner's term for `move`."""
        self.longest_lease_s = longest_lease_ms / 1000
        config = ServiceConfig(
            name=service, slices=slices, longest_lease_ms=longest_lease_ms
        )
        patch = ConfigPatched(
            record_id="config",
            base_version=0,
            services={service: config},
            author="operator",
        )
        first = next(iter(self.nodes))
        term = PlannerTermStarted(record_id="term", node_id=first, base_term=0)
        self.log += [patch, term]

    def make_id(self):
        return f"record-{next(self._ids)}"

    def append(self, node, record):
        """Send a record to the log; it may be appended much later, or never."""
        if not node.appends:
            return
        self.waiting_appends.append(record)
        if self.log_up:
            self.append_waiting()

    def append_waiting(self):
        self.log += self.waiting_appends
        self.waiting_appends = []

    def send(self, source, target, deliver):
        """Send a message, unless the link is cut; a slow sender's arrives later."""
        if (source, target) in self.cuts or target not in self.nodes:
            return
        due_real_s = self.real_s + self.slow_s.get(source, 0.0)
        self.messages.append(Message(source, target, deliver, due_real_s))

    def deliver(self, message):
        """Deliver a message; a frozen process reads it once it continues."""
        node = self.nodes[message.target]
        if node.frozen:
            message.due_real_s = self.real_s + STEP_S
            self.messages.append(message)
            return
        message.deliver(node)

    def deliver_due(self):
        for _ in range(6):
            due = [m for m in self.messages if m.due_real_s <= self.real_s]
            if not due:
                return
            self.messages = [m for m in self.messages if m.due_real_s > self.real_s]
            for message in due:
                self.deliver(message)

    def run(self, duration_s, folds=50):
        """Run all nodes that aren't frozen for a while."""
        for _ in range(round(duration_s / STEP_S)):
            self.real_s += STEP_S
            if self.log_up:
                self.append_waiting()
            for node in self.nodes.values():
                if not node.frozen and node.reads_log and self.log_up:
                    node.fold_some(folds)
            for node in self.nodes.values():
                node.tick()
            self.deliver_due()
            self.check()

    def folded_log(self):
        """Return the fold of the whole log."""
        state = ClusterState()
        for offset, record in enumerate(self.log):
            fold(state, offset, record)
        return state

    def role(self, name, key):
        """Return the node that has a role for a key according to the whole log."""
        state = self.folded_log()
        slice_ = state.slice_at(SERVICE, key_hash(key))
        watched = slice_.previous or slice_.owner
        witnesses = state.members[watched].witnesses
        taken = {slice_.owner, slice_.standby, slice_.previous, *witnesses}
        other = min(set(self.nodes) - taken, default=slice_.owner)
        named = {
            "owner": slice_.owner,
            "standby": slice_.standby,
            "previous": slice_.previous,
            "other": other,
            **{f"witness{index}": node for index, node in enumerate(witnesses)},
        }
        return named[name] or other

    def witnesses_of(self, key):
        """Return the witnesses of a key's owner according to the whole log."""
        state = self.folded_log()
        owner = state.slice_at(SERVICE, key_hash(key)).owner
        return state.members[owner].witnesses

    def request(self, node_id, key, wanted_s=SHORT_S):
        """Try a request at a node; record what the node may forward."""
        node = self.nodes[node_id]
        if node.frozen or not node.caught_up or not node.backend_up:
            return False
        now_s = node.now_s()
        table = node.agent.table
        right = table.right_to_serve(node.state, SERVICE, key, now_s, wanted_s)
        if right.reason is not None:
            return False
        right = table.begin_request(right)
        if not right.covered and not self._cover(node, key, right):
            table.finish_request(right)
            return False
        until_s = self._held_until_s(node, right) if self.fenced else right.deadline_s
        until_real_s = self.real_s + (until_s - node.now_s()) / node.rate
        self._record_forwarded(Forwarded(node_id, key, until_real_s))
        return True

    def _held_until_s(self, node, right):
        """Return when the grant ends under which a backend server runs a request."""
        serving = node.agent.table.serving(node.state, node.now_s())
        return next(
            until_s
            for _, slice_, _, until_s in serving
            if slice_.start == right.slice_start
        )

    def held_until_s(self, node):
        """Return when the last grant ends that a node's server has, by its clock."""
        ends_real_s = [
            f.until_real_s for f in self.forwarded if f.node_id == node.node_id
        ]
        left_s = max(ends_real_s, default=self.real_s) - self.real_s
        return node.now_s() + left_s * node.rate

    def released(self, node_id, slice_key):
        """Register that a node's backend server no longer holds a slice.

        Without fences a release doesn't end requests that were forwarded before it.
        """
        if not self.fenced:
            return
        slice_map = self.nodes[node_id].state.slices[slice_key.service]
        self.forwarded = [
            f
            for f in self.forwarded
            if f.node_id != node_id
            or slice_map.at_hash(key_hash(f.key)).start != slice_key.start
        ]

    def _cover(self, node, key, right):
        """Send a long deadline to the witnesses; return whether they received it.

        The daemon does the same before it forwards such a request.
        """
        node.tick(forced=True)
        self.deliver_due()
        now_s = node.now_s()
        again = node.agent.table.right_to_serve(
            node.state, SERVICE, key, now_s, right.deadline_s - now_s
        )
        return again.reason is None and again.covered and again.fence == right.fence

    def _record_forwarded(self, new):
        self.forwarded = [f for f in self.forwarded if f.until_real_s > self.real_s]
        for old in self.forwarded:
            if old.key == new.key and old.node_id != new.node_id:
                raise Violation(
                    f"{new.node_id} serves {new.key!r} at {self.real_s:.2f} s, but "
                    f"requests at {old.node_id} may run until {old.until_real_s:.2f} s"
                )
        self.forwarded.append(new)

    def check(self):
        """Raise `Violation` if two nodes may serve one key now."""
        for key in KEYS:
            for node_id in self.nodes:
                self.request(node_id, key, wanted_s=0.001)

    def served(self, key):
        """Return whether some node serves a key now."""
        return any(self.request(node_id, key, 0.001) for node_id in self.nodes)


KEYS = (b"vesta", b"ilze", b"arvids")


def make_world(count=5, slices=4, fenced=False, longest_lease_ms=0):
    """Return a world whose nodes hold their leases and own the slices."""
    node_ids = [f"node-{index}" for index in range(1, count + 1)]
    rates = [1.0 + DRIFT * (index % 2) for index in range(count)]
    world = World(node_ids, rates, fenced)
    world.declare(SERVICE, slices, longest_lease_ms)
    world.run(1.0 + 2.0 * longest_lease_ms / 1000)
    owners_in_turn(world)
    world.run(2.0)
    return world


def owners_in_turn(world):
    """Give the slices to the nodes in turn, each with the next node as standby."""
    node_ids = list(world.nodes)
    slices = world.nodes[node_ids[0]].state.slices[SERVICE].slices
    moves = [
        SliceMove(
            service=SERVICE,
            start=slice_.start,
            base_epoch=slice_.epoch,
            owner=node_ids[index % len(node_ids)],
            standby=node_ids[(index + 1) % len(node_ids)],
        )
        for index, slice_ in enumerate(slices)
    ]
    move(world, moves)


def move(world, moves):
    """Append a planner's record."""
    record = SlicesMoved(record_id=world.make_id(), term=1, moves=tuple(moves))
    world.waiting_appends.append(record)
    if world.log_up:
        world.append_waiting()
