"""Exchange log records, snapshots, routes and notices with peers."""

import math
import random

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.pool import Pool

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.membership.record_packing import (
    RecordPackingError,
    pack_records,
    unpack_records,
)
from comfreywharf.daemon.records.logclient import complete_at_s
from comfreywharf.daemon.records.snapshots import encode_yielding
from comfreywharf.membership.evacuations import NO_VERSION
from comfreywharf.membership.gossip import (
    SPARE_PARTNERS,
    GossipInterval,
    PartnerChooser,
    choose_partners,
    push_count,
)
from comfreywharf.membership.relays import RelayedAge
from comfreywharf.records.snapshots import SnapshotAssembler
from comfreywharf.routes import RouteTableError, UpdateForm
from comfreywharf.transport import CallError
from comfreywharf.transport.gen.ttypes import (
    ExchangeReply,
    ExchangeRequest,
)

__all__ = ["Gossip"]

EXCHANGE_TIMEOUT_S = 1.0
LONG_POLL_MARGIN_S = 0.4
"""Added to the wait of a long poll for the time-out of its call."""

MAX_LONG_POLL_S = 5.0
"""Upper bound for how long a peer's request is held while there is no news."""

MAX_CONCURRENT = 8
REACH_TIMEOUT_S = 0.4
"""How long `Gossip.reachable_members` waits for the answers of all members."""
MAX_REPORTED_AGE_S = 3600.0
"""Higher ages of records or routes are sent as unknown."""

PUSH_GAP_S = 0.05
"""Pause between two rounds of pushes, so that a burst of news is sent together."""

MAX_REPLY_BYTES = 256 * 1024
"""Limit for the records in one reply; a node further behind repeats its request at
once."""

MAX_SNAPSHOT_BYTES = 3 << 20
"""Limit for a snapshot in one reply, below the maximum size of a thrift frame."""

MAX_REPORTED_ROUTES = 256
"""How many pairs of peer and cause are remembered, for which unreadable routes were
reported."""

SNAPSHOT_OFFSET = -1
"""The offset under which a reply carries the parts of a snapshot."""


class Gossip:
    """Exchange news with random peers, at an interval and when there is news.

    Most exchanges are with peers in the node's own failure domain.

    News are log records, routes and notices that a peer doesn't have yet. The peers
    are the members in the folded state. A node without any, for instance because it
    starts while the log is down, uses the seeds of its settings.
    """

    def __init__(self, node, rng=None):
        self._node = node
        self._rng = rng or random.Random(node.settings.node_id)
        self._partner_chooser = PartnerChooser(self._rng)
        self._exchange_interval = GossipInterval()
        self._push_due = Event()
        self._calls = Pool(MAX_CONCURRENT)
        self._encoding = BoundedSemaphore()
        self._snapshot = []
        self._snapshot_offset = -1
        self._reported_routes = set()
        self._seeds = {
            (seed.host, seed.port): node.peers.client_at(seed.host, seed.port)
            for seed in node.settings.seeds
        }
        node.notices.on_new_notice(self.push_soon)
        self._changed = Event()
        node.follower.subscribe(lambda record, result: self._wake())
        node.follower.subscribe_loaded(self._wake)
        node.routes.subscribe(lambda table: self._wake())
        node.evacuations.subscribe(lambda change: self._wake())

    def push_soon(self):
        """Schedule a push of news to some peers as soon as possible."""
        self._exchange_interval.shorten()
        self._push_due.set()

    def push_to(self, node_ids):
        """Push news to the given peers at once; return the greenlets that do so.

        Random selection leaves out some peers, which receive the news by a later
        exchange. That is too late for news that affects the next request.
        """
        clients = [self._node.peers.client(node_id) for node_id in node_ids]
        return [
            gevent.spawn(self._try_exchange, client) for client in clients if client
        ]

    def run(self):
        """Exchange news until the greenlet is killed."""
        while True:
            if self._push_due.wait(self._exchange_interval.wait_s(self._rng)):
                self._push_due.clear()
                self._push()
                gevent.sleep(PUSH_GAP_S)
            else:
                self._exchange_with(1)

    def answer(self, request, now_s):
        """Return the reply to a peer's `ExchangeRequest`."""
        node = self._node
        node.notices.receive(request.notices, now_s)
        self._pull_if_behind(request)
        if request.wait_ms:
            self._await_news(request, now_s + request.wait_ms / 1000)
            now_s = boottime_s()
        known = frozenset(notice.notice_id for notice in request.notices)
        records = self._records_for(request.next_offset)
        routes, update = self._routes_for(request)
        version, domains = self._evacuations_for(request)
        return ExchangeReply(
            next_offset=node.follower.state.next_offset,
            records=pack_records(records) if records else b"",
            notices=node.notices.to_send(now_s, known),
            event_clock=0,
            routes_version=node.routes.version,
            routes=routes,
            routes_update=update,
            log_age_ms=_age_ms(now_s - node.follower.confirmed_s),
            routes_age_ms=_age_ms(node.routes.age_s(now_s)),
            evacuations_version=version,
            evacuated_domains=domains,
        )

    def _routes_for(self, request):
        """Return the table for a peer that reads no updates, and else the update."""
        form = UpdateForm.named(request.routes_form)
        if form is UpdateForm.NONE:
            return self._node.routes.document_after(request.routes_version), None
        update = self._node.routes.update_after(request.routes_version, form)
        return b"", update or None

    def _evacuations_for(self, request):
        """Return the version of the evacuations, and the domains if a peer needs them.

        Both are ``None`` while this node knows none.
        """
        evacuations = self._node.evacuations
        if not evacuations.is_known:
            return None, None
        if evacuations.version <= _evacuations_version(request):
            return evacuations.version, None
        return evacuations.version, sorted(evacuations.domains)

    def _await_news(self, request, until_s):
        """Wait until there is anything that a peer doesn't have."""
        until_s = min(until_s, boottime_s() + MAX_LONG_POLL_S)
        node = self._node
        while (
            node.follower.state.next_offset <= request.next_offset
            and node.routes.version <= request.routes_version
            and node.evacuations.version <= _evacuations_version(request)
            and (left_s := until_s - boottime_s()) > 0
        ):
            self._changed.wait(left_s)

    def _wake(self):
        self._changed.set()
        self._changed.clear()

    def reachable_members(self):
        """Return the members that answer an exchange within `REACH_TIMEOUT_S`."""
        exchanges = {}
        for node_id in self._node.follower.state.members:
            client = self._node.peers.client(node_id)
            if client is not None and node_id != self._node.settings.node_id:
                exchanges[node_id] = gevent.spawn(self._try_exchange, client)
        gevent.joinall(list(exchanges.values()), REACH_TIMEOUT_S)
        return {node_id for node_id, task in exchanges.items() if task.value}

    def _try_exchange(self, client):
        """Exchange once; return whether the peer answered."""
        try:
            self._exchange(client)
        except CallError:
            return False
        return True

    def _pull_if_behind(self, request):
        """Exchange with a peer that has more records, if the log is unreachable."""
        follower = self._node.follower
        if follower.reachable or request.next_offset <= follower.state.next_offset:
            return
        if not self._calls.full():
            self._calls.spawn(self._exchange_with_first, [self._sender_client(request)])

    def _sender_client(self, request):
        """Return the client for the sender of a request, even if it isn't a member.

        A node that starts while the log is unreachable has no members yet. Without
        the records of its peers it would refuse every request until the log is back.
        """
        client = self._node.peers.client(request.node_id)
        if client is not None:
            return client
        return self._node.peers.client_at(request.host, request.peer_port)

    def _records_for(self, next_offset):
        replica = self._node.follower.replica
        news = replica.records_for_peer(next_offset, MAX_REPLY_BYTES)
        if news is not None:
            return news
        return [(SNAPSHOT_OFFSET, data) for data in self._snapshot_parts()]

    def _snapshot_parts(self):
        """Return the parts of a snapshot that the retained records continue.

        One encoding serves many peers, for as long as the records that follow it are
        retained: a peer receives those with its next request.
        """
        replica = self._node.follower.replica
        if self._snapshot_offset < replica.recent.first or not self._snapshot:
            with self._encoding:
                if self._snapshot_offset < replica.recent.first or not self._snapshot:
                    self._snapshot, self._snapshot_offset = encode_yielding(
                        replica.state
                    )
        if sum(map(len, self._snapshot)) > MAX_SNAPSHOT_BYTES:
            return []
        return self._snapshot

    def _push(self):
        self._exchange_with(push_count(len(self._node.follower.state.members)))

    def _exchange_with(self, count):
        clients = self._partners(count)
        for number in range(min(count, len(clients))):
            spares = clients[count:] if number == 0 else []
            self._calls.spawn(self._exchange_with_first, [clients[number], *spares])

    def _partners(self, count):
        """Return the clients of ``count`` peers, then those of spares."""
        near, far = self._peers_by_distance()
        if near or far:
            chosen = self._partner_chooser.choose(near, far, count)
            clients = [self._node.peers.client(node_id) for node_id in chosen]
            return [client for client in clients if client is not None]
        chosen = choose_partners(self._seeds, count + SPARE_PARTNERS, self._rng)
        return [self._seeds[address] for address in chosen]

    def _peers_by_distance(self):
        """Return the other members in the node's own failure domain, and the rest."""
        settings = self._node.settings
        near, far = [], []
        for node_id, member in self._node.follower.state.members.items():
            if node_id != settings.node_id:
                is_near = member.failure_domain == settings.failure_domain
                (near if is_near else far).append(node_id)
        return near, far

    def _exchange_with_first(self, clients):
        """Exchange with the first peer that answers.

        With a failure domain cut off, many peers don't answer. If the node waited for
        its next interval after each of them, a change of the configuration could take
        longer than the 8 s that it may take.
        """
        for client in clients:
            try:
                self._exchange_until_caught_up(client)
                return
            except CallError:
                continue

    def _exchange_until_caught_up(self, client):
        """Exchange with a peer, and repeat while it has further records."""
        follower = self._node.follower
        before = follower.state.next_offset
        while self._exchange(client):
            self._exchange_interval.shorten()
        if follower.reachable:
            self._exchange_interval.lengthen()
            return
        # Without the log, records arrive only from peers, so they are also pushed to
        # further peers. With pulls alone, a record that one node out of 640 has would
        # take more than half of the 8 s that a change may take.
        self._exchange_interval.shorten()
        if follower.state.next_offset > before:
            self.push_soon()

    def long_poll(self, client, wait_s):
        """Exchange with a peer that answers once it has news, or after ``wait_s``.

        Return the age of this node's fold and routes as a `RelayedAge`, derived from
        the ages that the peer reports for its own. Return ``None`` if the peer reports
        no age for its records, or if records below its next offset are missing here.
        """
        reply, _ = self._call_exchange(client, wait_s)
        if reply.log_age_ms < 0 or not self._node.follower.has_all_below(
            reply.next_offset
        ):
            return None
        if reply.evacuations_version is None:
            # The peer's routes may be current, but not what it says of evacuations.
            return RelayedAge(reply.log_age_ms / 1000, math.inf)
        return RelayedAge(reply.log_age_ms / 1000, _age_s(reply.routes_age_ms))

    def _exchange(self, client):
        """Exchange once; return whether the peer has further records for this node."""
        reply, advanced = self._call_exchange(client)
        return advanced and self._node.follower.state.next_offset < reply.next_offset

    def _call_exchange(self, client, wait_s=0.0):
        """Exchange once; return the reply, and whether it had new records."""
        node = self._node
        request = ExchangeRequest(
            node_id=node.settings.node_id,
            incarnation=node.incarnation,
            next_offset=node.follower.state.next_offset,
            notices=node.notices.to_send(boottime_s()),
            event_clock=0,
            routes_version=node.routes.version,
            routes_form=node.routes.form,
            evacuations_version=node.evacuations.version
            if node.evacuations.is_known
            else None,
            wait_ms=int(wait_s * 1000),
            host=node.settings.host,
            peer_port=node.settings.advertised_peer_port or node.settings.peer_port,
        )
        sent_s = boottime_s()
        timeout_s = wait_s + LONG_POLL_MARGIN_S if wait_s else EXCHANGE_TIMEOUT_S
        reply = client.call("exchange", request, timeout_s=timeout_s)
        node.notices.receive(reply.notices, boottime_s())
        answered_s = earliest_answer_s(request, reply, sent_s)
        self._apply_operators_news(reply, client, answered_s)
        advanced = self._fold_records(_records_in(reply))
        if reply.log_age_ms >= 0 and node.follower.has_all_below(reply.next_offset):
            # The peer's fold matched the log ``log_age_ms`` before its answer.
            node.follower.confirm(answered_s - reply.log_age_ms / 1000)
        return reply, advanced

    def _apply_operators_news(self, reply, client, answered_s):
        """Apply a peer's evacuations and routes if newer, in this order.

        Record when both were confirmed as current. The reported age counts from the
        answer, which came at ``answered_s`` or later.
        """
        routes = self._node.routes
        source = f"{client.host}:{client.port}"
        if reply.evacuated_domains is not None:
            self._node.evacuation_watch.apply(
                reply.evacuations_version, reply.evacuated_domains, source
            )
        try:
            applied = _apply_routes_of(reply, routes)
        except RouteTableError as error:
            self._report_unreadable_routes(source, error)
            return
        if applied:
            self._node.report("routes_in_force", version=routes.version, source=source)
        has_all = (
            routes.version >= reply.routes_version
            and reply.evacuations_version is not None
        )
        if reply.routes_age_ms >= 0 and has_all:
            routes.confirm(answered_s - reply.routes_age_ms / 1000)

    def _report_unreadable_routes(self, source, error):
        """Count unreadable routes, and report them once for each peer and cause."""
        self._node.metrics.unreadable_routes_received()
        cause = (source, str(error))
        if cause not in self._reported_routes:
            if len(self._reported_routes) >= MAX_REPORTED_ROUTES:
                self._reported_routes.clear()
            self._reported_routes.add(cause)
            self._node.report("unreadable_routes", peer=source, error=str(error))

    def _fold_records(self, records):
        """Fold a peer's records, or its snapshot; return whether any was new."""
        follower = self._node.follower
        assembler = SnapshotAssembler()
        advanced = False
        for offset, data in records:
            if offset == SNAPSHOT_OFFSET:
                assembler.add(data)
            else:
                advanced |= follower.fold_next(offset, data)
        if assembler.newest is not None:
            advanced |= follower.load(assembler.newest)
        return advanced


def earliest_answer_s(request, reply, sent_s):
    """Return the earliest time at which a peer can have answered an exchange.

    A peer without news answers when the wait of the request ends. If its age counted
    from the sending of the request, each level of relays would add a second to the age
    of the data, and relays of the third level would appear outdated.
    """
    has_news = (
        reply.next_offset > request.next_offset
        or reply.routes_version > request.routes_version
        or _evacuations_version(reply) > _evacuations_version(request)
    )
    return complete_at_s(sent_s, request.wait_ms / 1000, has_news)


def _evacuations_version(message):
    """Return the version that a peer knows; a peer of an earlier build tells none."""
    version = message.evacuations_version
    return NO_VERSION if version is None else version


def _apply_routes_of(reply, routes):
    """Apply the routes in a reply, if any; return whether they were newer.

    Raises `RouteTableError` if an update can't be applied.
    """
    if reply.routes_update:
        return routes.apply_update(reply.routes_update)
    return bool(reply.routes) and routes.apply_document(reply.routes)


def _records_in(reply):
    """Return the records in a reply; raises `CallError` if they are unreadable."""
    if not reply.records:
        return []
    try:
        return unpack_records(reply.records)
    except RecordPackingError as error:
        raise CallError(f"exchange: unreadable records: {error}", sent=True) from error


def _age_s(age_ms):
    return age_ms / 1000 if age_ms >= 0 else math.inf


def _age_ms(age_s):
    """Return an age in ms for a message, or -1 if above `MAX_REPORTED_AGE_S`."""
    return -1 if age_s > MAX_REPORTED_AGE_S else max(0, math.ceil(age_s * 1000))
