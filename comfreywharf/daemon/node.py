"""A node: its components, and the greenlets that run them."""

import time

import gevent
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.handler import PeerHandler
from comfreywharf.daemon.membership.evacuation_watch import EvacuationWatch
from comfreywharf.daemon.membership.gossip import Gossip
from comfreywharf.daemon.membership.notices import Notices
from comfreywharf.daemon.membership.peers import Peers
from comfreywharf.daemon.membership.relay_client import RelayClient
from comfreywharf.daemon.operating.decisions import Decisions
from comfreywharf.daemon.operating.metering import Meter
from comfreywharf.daemon.operating.reporter import Reporter
from comfreywharf.daemon.ownership.leases import Leases
from comfreywharf.daemon.ownership.load_reports import LoadReports
from comfreywharf.daemon.ownership.planner import Planner
from comfreywharf.daemon.ownership.witnessing import Witnessing
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.records.follower import (
    Follower,
    NotAcknowledged,
    new_record_id,
)
from comfreywharf.daemon.records.snapshots import SnapshotWriter
from comfreywharf.daemon.requests.dispatch import Dispatcher
from comfreywharf.daemon.requests.fleet_admission import FleetAdmission
from comfreywharf.daemon.requests.forwarder import Forwarder
from comfreywharf.daemon.requests.ingress import Ingress
from comfreywharf.daemon.requests.load import Load
from comfreywharf.daemon.requests.memory import NodeMemory
from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.daemon.stopping import stop_gracefully, stop_within
from comfreywharf.events.ownership import OwnershipTracker
from comfreywharf.load.callermemory import CallerMemory
from comfreywharf.membership import NodeFacts, NodeLifecycle, PauseDetector
from comfreywharf.membership.evacuations import Evacuations
from comfreywharf.membership.leaving import LeavingServer, LeavingServers
from comfreywharf.membership.predecessors import has_predecessor_ended
from comfreywharf.metrics import Metrics
from comfreywharf.ownership import MIN_WITNESSES
from comfreywharf.ownership.holds import NOTHING_HELD_S
from comfreywharf.records import NodeAnnounced
from comfreywharf.routing import MemoryLimits
from comfreywharf.ticks import sleep_to_tick
from comfreywharf.transport import PeerServer

__all__ = ["Node"]

BACKEND_CHECK_S = 0.1
LIFECYCLE_CHECK_S = 0.1
ANNOUNCE_RETRY_S = 0.5
"""Shortest pause before the node announces itself again after a failed append."""

STOP_MARGIN_S = 0.5
"""The part of a bounded stop's grace period that is kept free at its end."""

STOP_ANSWER_MARGIN_S = 0.1
"""How long before the end of a bounded stop the last answers to callers are due."""


class Node:
    """The process beside one backend server.

    It forwards callers' requests to the nodes that own their keys, and requests whose
    keys it owns to its backend server. The components refer to each other through it.

    ``process_start_s`` is when its process started, or a later time, in seconds on the
    boot clock. Grants of an earlier process of the node may last as if they had been
    given at that time.
    """

    def __init__(self, settings, ports=None, process_start_s=None):
        self.settings = settings
        self.process_start_s = (
            boottime_s() if process_start_s is None else process_start_s
        )
        self.ports = ports or OwnPorts(settings)
        self.incarnation = time.time_ns() // 1_000_000
        self.incarnation_chosen = Event()
        self.ended_predecessor = None
        self.first_named_offset = None
        self.lifecycle = NodeLifecycle()
        self.metrics = Metrics()
        self.reporter = Reporter(settings.node_id, self.incarnation, self.metrics)
        self.report = self.reporter.report
        self.events = self.reporter.events
        self.decisions = Decisions(self, self.ports.make_line_writer())
        self.backend = None
        client = self.ports.make_log_client(self)
        self.follower = Follower(
            client,
            settings.log_stream,
            self.report,
            settings.node_id,
            read_options=self.ports.read_options,
        )
        self.follower.subscribe(self._on_folded)
        self.follower.subscribe_loaded(self._report_config)
        self.follower.subscribe_loaded(self._on_loaded)
        self.snapshots = SnapshotWriter(settings.node_id, self.follower, self.report)
        self.routes = Routes(self.ports.retry_fraction)
        self.evacuations = Evacuations(self.ports.evacuate_s)
        self.evacuation_watch = EvacuationWatch(self)
        self.peers = Peers(self.follower, self.reporter, settings.failure_domain)
        self.notices = Notices()
        self.gossip = Gossip(self)
        if self.ports.read_options.relayed:
            self.follower.relay = RelayClient(self, self.ports.read_options.wait_s)
        self.leases = Leases(self)
        self.grants = self.ports.make_grants(self)
        self.witnessing = Witnessing(self, self.leases.terms)
        self.memory = NodeMemory(MemoryLimits())
        self.planner = Planner(self)
        self.load_reports = LoadReports(self)
        self.load = Load(self)
        self.load_reports.hot_keys = self.load.hot_keys
        self.load_reports.busy_fraction = self.load.busy_fraction
        self.load_reports.service_ms = self.load.service_ms
        self.load_reports.kind_times = self.load.kind_times
        self.load_reports.cold_requests_per_s = self.load.cold_requests_per_s
        self.load_reports.limit_per_s = lambda: self.load.rate_limit.limit_per_s
        self.forwarder = Forwarder(self)
        self.fleet_admission = FleetAdmission(self)
        self.caller_memory = CallerMemory(self.ports.caller_bounds)
        self.ingress = Ingress(self, Dispatcher(self, self.ports.route_limits))
        self.ownership = OwnershipTracker(settings.node_id)
        self.meter = Meter(self)
        self._last_heartbeat_s = float("-inf")
        self._port_refused = False
        self.leaving_backend = None
        self.leaving_servers = LeavingServers()
        self.stopping = False
        self.answers_until_s = float("inf")
        self._announcing = None
        self.closed_to_new_work = False
        self.finishing = False
        self._servers = [
            PeerServer(
                settings.host,
                settings.peer_port,
                PeerHandler(self),
                lambda address, error: self.report(
                    "bad_peer", address=str(address), error=str(error)
                ),
                self.reporter,
            ),
            *self.ports.make_servers(self),
        ]
        self._greenlets = []

    def start(self):
        """Listen on all ports and start the greenlets."""
        for server in self._servers:
            server.start()
        self.report("node_started", failure_domain=self.settings.failure_domain)
        self._greenlets = [
            gevent.spawn(self.reporter.run),
            gevent.spawn(self.meter.run),
            gevent.spawn(self.follower.run),
            gevent.spawn(self.gossip.run),
            gevent.spawn(self._write_snapshots),
            gevent.spawn(self._choose_incarnation),
            gevent.spawn(self.leases.run),
            gevent.spawn(self.grants.run),
            gevent.spawn(self.witnessing.run),
            gevent.spawn(self._watch_backend),
            gevent.spawn(self._run_lifecycle),
            gevent.spawn(self.ingress.watch.run),
            gevent.spawn(self.planner.run),
            gevent.spawn(self.load_reports.run),
            *map(gevent.spawn, self.ports.greenlets(self)),
        ]

    def _write_snapshots(self):
        if self.follower.log_keeps_newest:
            self.snapshots.run_for_planner(self.planner)
        else:
            self.snapshots.run()

    def _run_lifecycle(self):
        """Update this node's lifecycle state, and report pauses of the process."""
        pauses = PauseDetector(boottime_s(), LIFECYCLE_CHECK_S)
        reported_too_few = False
        while True:
            sleep_to_tick(LIFECYCLE_CHECK_S)
            paused_s = pauses.record_run(boottime_s())
            if paused_s is not None:
                self.report("node_was_paused", paused_s=round(paused_s, 3))
            transition = self.lifecycle.observe(self._facts())
            if transition:
                self.report("node_state", before=transition[0], after=transition[1])
            self._announce_if_removed()
            self.evacuation_watch.follow(boottime_s())
            members = len(self.follower.state.members)
            if self.lifecycle.state == "joining" and members < MIN_WITNESSES:
                if not reported_too_few:
                    self.report("too_few_nodes", members=members)
                reported_too_few = True

    def _announce_if_removed(self):
        """Announce the node again if the planner removed it after a long silence."""
        if not self.ports.removes_lost_nodes or not self.follower.usable:
            return
        known = self.settings.node_id in self.follower.state.members
        if known or self.backend is None or not self.incarnation_chosen.is_set():
            return
        if self._announcing is None or self._announcing.ready():
            self._announcing = gevent.spawn(self._announce)

    def _facts(self):
        member = self.follower.state.members.get(self.settings.node_id)
        return NodeFacts(
            caught_up=self.incarnation_chosen.is_set(),
            lease_held=self.leases.holds_lease(),
            superseded=self.leases.holder.phase == "superseded",
            draining=member is not None and member.draining,
        )

    def _choose_incarnation(self):
        """Choose this process's incarnation, once the log was read to its end.

        What the log says of this node then is still of its earlier process.

        A machine may be replaced by one whose clock is behind. With an incarnation
        from that clock alone, its announcement would be refused as that of an older
        process, and the node would never own anything again.
        """
        self.follower.caught_up.wait()
        state = self.follower.state
        member = state.members.get(self.settings.node_id)
        if member is None and not state.lineage:
            # No earlier process of this node has been a witness.
            self.first_named_offset = state.next_offset
        if member is not None:
            self.incarnation = max(self.incarnation, member.incarnation + 1)
        settings = self.settings
        if has_predecessor_ended(member, settings.host, settings.peer_port):
            self.ended_predecessor = member.incarnation
        self.incarnation_chosen.set()

    def stop(self, reason):
        """Stop: hand over all slices, finish running requests, then shut down."""
        stop_gracefully(self)
        self.lifecycle.stop()
        self.report("node_stopped", reason=reason)
        self.kill()

    def kill(self):
        """Stop at once, as a killed process would."""
        gevent.killall(self._greenlets)
        for server in self._servers:
            server.stop()

    @property
    def ready(self):
        """Return whether callers should send new work here."""
        known = self.routes.version > 0 and self.follower.caught_up.is_set()
        return known and not self.stopping

    def close_to_new_work(self):
        """Send the leaving backend server no new requests, even if the log is down."""
        self.closed_to_new_work = True
        self.leases.surrender("leaving", self.grants.held_until_s(boottime_s()))

    @property
    def accepts_requests(self):
        """Return whether new requests are still sent to the backend server."""
        closed = self.closed_to_new_work or self.finishing
        return not closed and not self.evacuation_watch.is_closed(boottime_s())

    @property
    def may_recover_lease(self):
        """Return whether the node may hold a lease: it has a server to serve with."""
        return self.backend is not None and not (
            self.stopping
            or self.closed_to_new_work
            or self.evacuation_watch.is_closed(boottime_s())
        )

    def stop_within(self, grace_s, caller_server):
        """Stop within ``grace_s`` seconds: hand over all slices, finish requests."""
        self.stopping = True
        end_s = boottime_s() + grace_s - STOP_MARGIN_S
        self.answers_until_s = end_s - STOP_ANSWER_MARGIN_S
        stop_within(self, caller_server, end_s)
        self.lifecycle.stop()
        self.report("node_stopped", reason="signal")

    def backend_announced(self, announcement):
        """Process an announcement of the backend server beside this node."""
        self._last_heartbeat_s = boottime_s()
        current = self.backend.announcement if self.backend else None
        if announcement == current:
            return
        if self.backend:
            self._replace_backend()
        self.grants.backend_changed()
        self.closed_to_new_work = False
        self._port_refused = False
        self.leaving_backend = None
        self.backend = self.ports.make_backend(self, announcement)
        self.report(
            "backend_announced",
            name=announcement.name,
            service=announcement.service,
            port=announcement.port,
        )
        self.load.backend_announced()
        if self.may_recover_lease:
            self.leases.recover()
        self._announcing = gevent.spawn(self._announce)

    def _watch_backend(self):
        """Detect a lost backend server, and give up its keys."""
        while True:
            sleep_to_tick(BACKEND_CHECK_S)
            silent_s = boottime_s() - self._last_heartbeat_s
            if self.backend is None:
                self._record_refused_as_ended(silent_s)
                continue
            self.load.probe_limit(boottime_s())
            limit_s = self.ports.lost_after_s
            if limit_s is not None and silent_s > limit_s:
                self.backend_lost("silent")
            elif silent_s > self.ports.check_port_after_s:
                self._check_port(self.backend)

    def _check_port(self, backend):
        """Give up a silent backend server if its port refuses connections.

        Another server may have been announced during the check. It must not be given
        up in place of the silent one: it would be recorded as ended for good.
        """
        if backend.refuses_connections() and backend is self.backend:
            self.backend_lost("refused")

    def _record_refused_as_ended(self, silent_s):
        """Record a server that refused connections and has been silent since as ended.

        Otherwise its successor would be used only after it has answered a query for
        its instance id, and it may have no connection available for that.
        """
        if self._port_refused and silent_s > self.ports.check_port_after_s:
            self._port_refused = False
            self.ports.backend_lost()

    def backend_refused(self, backend):
        """Give up a backend server whose port refuses connections.

        Unlike one that is also silent, it isn't recorded as ended: it is used again
        after its next heartbeat, if it answers by then. While an answer of it is
        pending, it may only have closed its port, so it is kept; the next grant that
        is due checks again.
        """
        if backend is not self.backend or (
            backend.awaits_answer and self.leaving_backend is None
        ):
            return
        self._port_refused = True
        self._give_up_backend("refused")

    def record_heartbeat(self):
        """Record a heartbeat of a server that was given up because its port refused.

        The server is queried for its instance id, and may have no connection
        available for a while. If it counted as silent in the meantime, it would be
        recorded as ended for good and get no more work.
        """
        self._last_heartbeat_s = boottime_s()

    def backend_leaves(self, server):
        """Record that the backend server, a `LeavingServer`, leaves."""
        self.leaving_backend = server
        self.report("backend_leaves", name=server.incarnation.instance)

    def record_statement(self, incarnation, kind, statement):
        """Apply what an answer of an incarnation of the backend server states."""
        if self.backend is None or self.backend.announcement.incarnation != incarnation:
            return
        self.load.record_limit(kind, statement, boottime_s())
        self.load.server_load.record_statement(kind, statement, boottime_s())
        if statement.leaving:
            self.ports.server_leaves(LeavingServer(incarnation, boottime_s()))

    def backend_lost(self, reason):
        """Give up the keys of a backend server that no longer serves."""
        if self.backend is not None:
            self.ports.backend_lost()
            self._give_up_backend(reason)

    def _replace_backend(self):
        """Give up a backend server that another instance has replaced.

        Where each range is granted separately, the new instance accepts a range only
        with a higher fence, which needs a new lease. Elsewhere the next grants message
        replaces all earlier ones; giving up the lease would only hand the keys to
        the standbys for a second or two.
        """
        if self.ports.fenced:
            self._give_up_backend("replaced")
        else:
            self.backend.close()

    def _give_up_backend(self, reason):
        backend, self.backend = self.backend, None
        self.report("backend_lost", name=backend.announcement.name, reason=reason)
        backend.close()
        self.load.reset_admission()
        if reason == "refused" and self._has_ended(backend):
            self.grants.backend_ended()
            held_until_s = NOTHING_HELD_S
        else:
            # A server that is only silent may continue to work on the keys that it
            # was granted, and a replaced one's successor may have been granted them.
            held_until_s = self.grants.held_until_s(boottime_s())
        self.leases.surrender("backend lost", held_until_s)

    def _has_ended(self, backend):
        """Return whether a backend server whose port refuses has ended.

        A leaving server closes its port and its idle connections first, and finishes
        its requests. If it were considered ended, it would work on keys that the next
        owner's server is granted. A crash closes all connections of the process, so
        that no answer is pending on an open one.
        """
        return self.leaving_backend is None and not backend.awaits_answer

    def _announce(self):
        """Record this node and the backend server beside it in the log."""
        announcement = self.backend.announcement
        self.incarnation_chosen.wait()
        while self.backend and self.backend.announcement == announcement:
            record = NodeAnnounced(
                record_id=new_record_id(),
                node_id=self.settings.node_id,
                incarnation=self.incarnation,
                host=self.settings.host,
                caller_port=self.settings.caller_port,
                peer_port=self.settings.advertised_peer_port or self.settings.peer_port,
                operator_port=self.settings.operator_port,
                failure_domain=self.settings.failure_domain,
                region=self.settings.region,
                service=announcement.service,
                checks_fences=announcement.checks_fences,
                slots=announcement.slots,
                connections=announcement.connections,
            )
            try:
                self.follower.append(record)
                return
            except NotAcknowledged as error:
                gevent.sleep(max(ANNOUNCE_RETRY_S, error.retry_after_s))

    def _on_folded(self, record, result):
        state = self.follower.state
        if state.config.offset == state.next_offset - 1:
            self._report_config()
        if result.changed:
            self.report(
                "slices_assigned",
                count=len(result.changed),
                offset=state.next_offset - 1,
            )
        for change in self.ownership.changes_by_record(state, record, result):
            self._report_ownership(change, state.next_offset - 1)

    def _report_ownership(self, change, offset):
        self.metrics.slices_changed(change.service, change.gained, change.count)
        if change.gained:
            self.report(
                "slices_gained",
                service=change.service,
                count=change.count,
                peer=change.peer,
                owned=change.owned,
                offset=offset,
            )
        else:
            self.report(
                "slices_lost",
                service=change.service,
                count=change.count,
                peer=change.peer,
                owned=change.owned,
                offset=offset,
            )

    def _on_loaded(self):
        """Report the slices that a loaded snapshot gave to this node or took away."""
        state = self.follower.state
        for change in self.ownership.changes_by_snapshot(state):
            self._report_ownership(change, state.next_offset - 1)

    def _report_config(self):
        config = self.follower.state.config
        self.report("config_in_force", version=config.version, offset=config.offset)
