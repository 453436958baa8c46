"""The protocols and limits of a node that runs on the platform."""

from functools import partial

import attrs
import gevent
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.callers.caller_server import CallerServer
from comfreywharf.daemon.connections.http import SingleSendClient
from comfreywharf.daemon.connections.wsgi import NodelayServer
from comfreywharf.daemon.operating.decisions import StdoutLineWriter
from comfreywharf.daemon.operating.operators import OperatorPort
from comfreywharf.daemon.ownership.grants_by_service import GrantsByService
from comfreywharf.daemon.ownership.heartbeat_grants import HeartbeatGrants
from comfreywharf.daemon.ownership.range_grants import RangeGrants
from comfreywharf.daemon.ownership.service_declarer import ServiceDeclarer
from comfreywharf.daemon.ports import Ports
from comfreywharf.daemon.records.follower import ReadOptions
from comfreywharf.daemon.servers.backend_lifecycle import BackendLifecycle
from comfreywharf.load import ByReportedLoad, ConcurrencyLimit, NearFirst
from comfreywharf.load.coldstart import ColdTerms
from comfreywharf.load.fairqueue import RankedQueue
from comfreywharf.ownership.holds import HoldTerms
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.placement import PlacementTuning
from comfreywharf.platform.backends import PlatformBackend, PlatformDialect
from comfreywharf.platform.callers import CallerApplication
from comfreywharf.platform.configuration import ConfigurationReader
from comfreywharf.platform.heartbeats import HOLD_LIST_LIMIT, HeartbeatPort
from comfreywharf.platform.store import Store, StoreLog
from comfreywharf.platform.unknown_names import UnknownNames
from comfreywharf.routes import GrantWay
from comfreywharf.routing import BurstTerms, RouteLimits

__all__ = ["PlatformPorts"]

IDENTIFY_TIMEOUT_S = 1.0
MAX_PROBE_BYTES = 64 * 1024
MAX_LOGGED_CHARS = 80
MISSED_HEARTBEATS = 1.4
"""After this many intervals without a heartbeat, the server's port is probed."""

REPLACE_WITNESS_AFTER_S = 1.0
"""Counted from the end of a witness's grant, so that a witness is replaced 2.5 s after
it was lost. On the platform, machines are lost for good, up to three within seconds; a
third loss before the first two are replaced leaves a node without a majority."""

RENEWAL_ROOM_S = 0.9
"""Two renewals of the lease, and one of the hold."""

WITNESSES = 5
"""Up to three machines are lost within two seconds. With three witnesses, every
twelfth node then loses two of them, and its keys are unavailable for seconds; with
five witnesses, a node loses its majority only if all three were its witnesses."""

STALE_AFTER_S = 10.0
"""The store is unavailable for up to 9 s; witnesses keep granting for that long."""

RETRY_SHARE = 0.9
"""The part of the platform's fraction of retries that nodes use. The rest is for
requests that wait before they reach a server, and so fall into a later window."""

RESENDS = 2
"""Servers refuse up to 55 in 100 requests for seconds, at any load. With two more
attempts each, seven in eight would be served; the retry budget bounds the number."""

PRESSURE = "pressure"
"""The contract of deployments in which callers compete for the services' capacity.
Servers are chosen by their load there, keys are placed by their servers' work and
speed, and levels of admission apply."""

WORK_SMOOTHING_S = 6.0
"""Where slices weigh work, a server with three slots and ten requests a second would
seem overloaded by chance with averages over 2 s. A sudden change is noticed at once."""

RELEASE_TIMEOUT_S = 5.0
"""How long a release waits until the server has finished its work on the range."""


class PlatformPorts(Ports):
    """The platform's protocols; see `Ports`."""

    fenced = True
    remembers_answers = False
    lost_after_s = None
    removes_lost_nodes = True
    placement = PlacementTuning(
        warm_up_s=3.0,
        smoothing_s=2.0,
        first_nodes_wait_s=2.0,
        report_s=0.5,
        hot_window_s=1.0,
        cheap_moves=True,
        scale_by_speed=True,
    )
    read_options = ReadOptions(wait_s=1.0, pause_s=0.1, relayed=True)

    def __init__(self, settings):
        self._settings = settings
        self._dialect = PlatformDialect()
        self.store = Store(settings.store)
        if PRESSURE in settings.contracts:
            self.placement = attrs.evolve(
                self.placement, by_work=True, smoothing_s=WORK_SMOOTHING_S
            )
        self.check_port_after_s = MISSED_HEARTBEATS * settings.heartbeat_interval_s
        self.retry_fraction = RETRY_SHARE * settings.retry_fraction
        self.route_limits = RouteLimits(
            total_hold_s=0.3,
            retry_burst=BurstTerms(
                fleet_retries=settings.extra_retries,
                window_s=settings.retry_window_s,
            ),
            resends=RESENDS,
        )
        self.fleet_admission = PRESSURE in settings.contracts
        self.routes_apply_s = settings.routes_apply_s
        self.evacuate_s = settings.evacuate_s
        self.chooses_by_load = PRESSURE in settings.contracts
        self.caller_bounds = settings.caller_bounds
        self.caller_server = None
        self.lifecycle = None
        self._routes = None
        self._unknown_names = None

    @property
    def dialect(self):
        """Return the platform's dialect."""
        return self._dialect

    def make_log_client(self, node):
        """Return the client of the record log in the store."""
        self._unknown_names = UnknownNames(node.report, node.metrics)
        self.store.unknown_names = self._unknown_names
        self.store.eras.report_damaged = lambda text: node.report(
            "damaged_log_era", found=text[:MAX_LOGGED_CHARS]
        )
        return StoreLog(self.store)

    def make_backend(self, node, announcement):
        """Return the announced backend server."""
        return PlatformBackend(
            announcement,
            lambda: self._health_path(announcement.service),
            self._unknown_names,
            partial(node.record_statement, announcement.incarnation),
        )

    def _health_path(self, name):
        """Return the path for probes of a service's servers; any answer counts."""
        service = self._routes.table.service(name) if self._routes else None
        return service.health_path if service else "/"

    def make_grants(self, node):
        """Return the grants, which each service receives in its configured way."""
        settings = self._settings
        terms = HoldTerms(
            lease_s=settings.node.lease_ms / 1000,
            longest_s=settings.longest_hold_s,
        )
        book = ListedHoldBook.of_new_process(terms, node.process_start_s)
        book.work_times = node.leases.work_times
        interval_s = settings.heartbeat_interval_s
        implementations = {
            GrantWay.ORDERS: RangeGrants(node, book, RELEASE_TIMEOUT_S),
            GrantWay.HEARTBEATS: HeartbeatGrants(
                node, book, interval_s, HOLD_LIST_LIMIT
            ),
        }
        return GrantsByService(node, implementations)

    def make_servers(self, node):
        """Return the servers, not started yet."""
        settings = self._settings
        self._routes = node.routes
        application = CallerApplication(node, settings.service, settings.routes_apply_s)
        self.caller_server = CallerServer(
            settings.callers.host,
            settings.callers.port,
            application,
            application.limits,
            application.waits_for_earlier_requests,
            node.caller_memory,
        )
        self.lifecycle = BackendLifecycle(node, settings.drain_s)
        operators = OperatorPort(node)
        return [
            self.caller_server,
            HeartbeatPort(
                node,
                self.lifecycle,
                settings.heartbeats,
                settings.service,
                self._unknown_names,
            ),
            _ready_server(node, settings.ready),
            operators.make_server(settings.node.host, settings.node.operator_port),
        ]

    def make_line_writer(self):
        """Return standard output, which the platform collects."""
        return StdoutLineWriter()

    def lease_terms(self, settings):
        """Return lease terms with which lost witnesses are replaced soon."""
        return attrs.evolve(
            super().lease_terms(settings),
            replace_witness_after_s=REPLACE_WITNESS_AFTER_S,
            stale_after_s=STALE_AFTER_S,
            witnesses=WITNESSES,
            renewal_room_s=RENEWAL_ROOM_S + self._settings.grant_interval_s,
        )

    def make_chooser(self):
        """Return a choice of members that saves traffic between zones."""
        return ByReportedLoad() if self.chooses_by_load else NearFirst()

    def make_limit(self, slots):
        """Return a constant limit of ``slots``, without ramp-up and without reduction.

        A cold server is slow at any load, and a server that refuses requests although
        it has slots does so at any load as well.
        """
        return ConcurrencyLimit(slots, ramp_up=False, cut_on_refusal=False)

    def cold_terms(self, service):
        """Return the `ColdTerms` of a service whose cold servers need a bound."""
        if service is None or not service.cold_requests_per_s:
            return None
        return ColdTerms(
            requests_per_s=service.cold_requests_per_s,
            overage=self._settings.cold_overage,
            extra_requests=self._settings.cold_extra_requests,
        )

    def make_queue(self):
        """Return a queue by priority; on the platform, no key can use up the slots."""
        return RankedQueue()

    def backend_lost(self):
        """Report to the lifecycle that the backend server is lost."""
        self.lifecycle.record_end()

    def server_leaves(self, server):
        """Tell the lifecycle that a server leaves; it ignores one of another node."""
        self.lifecycle.record_leaving(server.incarnation, server.since_s)

    def greenlets(self, node):
        """Return the functions that read the configuration and declare its services."""
        reader = ConfigurationReader(
            self.store, node, self._settings.zones, self._unknown_names
        )
        return (reader.run, ServiceDeclarer(node).run)

    def identify(self, node, announcement):
        """Return the instance id that answers at an address, or an empty text."""
        service = node.routes.table.service(announcement.service)
        if service is None:
            return ""
        client = SingleSendClient(
            announcement.host,
            announcement.port,
            concurrency=1,
            connect_timeout_s=IDENTIFY_TIMEOUT_S,
        )
        try:
            with gevent.Timeout(IDENTIFY_TIMEOUT_S):
                response = client.request("GET", service.health_path)
                response.read_whole(MAX_PROBE_BYTES)
            return response.get("x-instance-id", "")
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            return ""
        finally:
            client.close()


def _ready_server(node, address):
    def answer(environ, start_response):
        ready = node.ready
        status = "200 OK" if ready else "503 Service Unavailable"
        body = b"ready\n" if ready else b"not ready\n"
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    return NodelayServer(address.host, address.port, answer)
