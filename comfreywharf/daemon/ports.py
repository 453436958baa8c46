"""The external interfaces of a node: callers, operators, backend server and log.

The node's components don't depend on whether these use the protocols of
docs/interfaces-*.md or those of a platform. All that differs is behind `Ports`; a
platform implements its own.
"""

from abc import ABC, abstractmethod

import attrs

from comfreywharf.daemon.operating.decisions import discard_line
from comfreywharf.daemon.operating.operators import BackendPort, OperatorPort
from comfreywharf.daemon.own_callers import make_caller_server
from comfreywharf.daemon.ownership.fenced_grants import FencedGrants
from comfreywharf.daemon.records.follower import ReadOptions
from comfreywharf.daemon.records.logclient import LogClient
from comfreywharf.daemon.requests.wire import OwnDialect
from comfreywharf.daemon.servers.backend import Backend
from comfreywharf.load import DEFAULT_CHOOSER, ByReportedLoad, ConcurrencyLimit
from comfreywharf.load.callermemory import CallerBounds
from comfreywharf.load.fairqueue import FairQueue
from comfreywharf.ownership import LeaseTerms
from comfreywharf.placement import PlacementTuning
from comfreywharf.records import DEFAULT_RETRY_FRACTION
from comfreywharf.routing import RouteLimits

__all__ = ["OwnPorts", "Ports"]


class Ports(ABC):
    """The external interfaces of a node, and the constants that depend on them.

    - ``fenced``: backend servers stop work whose grant has ended.
    - ``remembers_answers``: answers are remembered for resends. It is false where each
      send of a caller has an id of its own.
    - ``check_port_after_s``: silence in seconds after which a backend server's port is
      checked.
    - ``lost_after_s``: silence in seconds after which a backend server is considered
      lost; ``None`` if silence alone is no reason.
    - ``removes_lost_nodes``: the planner removes nodes that are lost for long, and a
      node that was removed announces itself again.
    - ``retry_fraction``: how many retries are allowed, as a fraction of the requests
      of a service that routes lead to.
    - ``chooses_by_load``: nodes tell the load of their backend servers in replies, and
      choose servers of a service that isn't divided by key by it.
    - ``fleet_admission``: nodes refuse requests for an overloaded service where they
      arrive, by the admission levels that its servers' nodes state.
    - ``routes_apply_s``: the time in seconds within which a change of the routes has
      to be in force.
    - ``evacuate_s``: the time in seconds after an order to evacuate a failure domain
      from which on its backend servers may get nothing new.
    - ``caller_bounds``: the `CallerBounds` of a node's process.
    """

    fenced = False
    remembers_answers = True
    check_port_after_s = 0.4
    lost_after_s = 1.0
    placement = PlacementTuning()
    route_limits = RouteLimits()
    read_options = ReadOptions()
    removes_lost_nodes = False
    retry_fraction = DEFAULT_RETRY_FRACTION
    chooses_by_load = False
    fleet_admission = False
    routes_apply_s = float("inf")
    evacuate_s = 5.0
    caller_bounds = CallerBounds()

    @property
    @abstractmethod
    def dialect(self):
        """Return the `Dialect` of requests to backend servers."""

    @abstractmethod
    def make_log_client(self, node):
        """Return a node's client of the log service."""

    @abstractmethod
    def make_backend(self, node, announcement):
        """Return the `Backend` of an `Announcement` beside a node."""

    @abstractmethod
    def make_grants(self, node):
        """Return the object that keeps the backend server's grants up to date."""

    @abstractmethod
    def make_servers(self, node):
        """Return the servers for callers, operators and the backend server."""

    def make_line_writer(self):
        """Return the function that writes log lines about single requests."""
        return discard_line

    def lease_terms(self, settings):
        """Return the `LeaseTerms` of a node's settings."""
        return LeaseTerms(
            lease_s=settings.lease_ms / 1000, drift=settings.drift_per_mille / 1000
        )

    def make_limit(self, slots):
        """Return the `ConcurrencyLimit` of a backend server that has just started."""
        return ConcurrencyLimit(slots)

    def cold_terms(self, service):
        """Return the `ColdTerms` of a `RoutedService`; ``None`` if it states none."""
        return None

    def make_queue(self):
        """Return the `RequestQueue` in which requests wait for a slot."""
        return FairQueue()

    def make_chooser(self):
        """Return the `Chooser` among servers of a service that isn't divided by key."""
        return ByReportedLoad() if self.chooses_by_load else DEFAULT_CHOOSER()

    def backend_lost(self):
        """Handle the loss of the backend server."""
        return

    def server_leaves(self, server):
        """Handle that a `LeavingServer` leaves, if it is the one beside the node."""
        return

    def greenlets(self, node):
        """Return further functions to run in greenlets while the node runs."""
        return ()


class OwnPorts(Ports):
    """The external interfaces with the project's own protocols."""

    def __init__(self, settings):
        self._settings = settings
        self._dialect = OwnDialect()
        self.chooses_by_load = settings.choose_by_load
        self.fleet_admission = settings.fleet_admission
        self.placement = attrs.evolve(self.placement, by_work=settings.place_by_work)
        self.caller_bounds = CallerBounds(
            memory_bytes=settings.caller_memory_mb << 20,
            connections=settings.caller_connections,
            requests=settings.caller_requests,
        )

    @property
    def dialect(self):
        """Return the project's own dialect."""
        return self._dialect

    def make_log_client(self, node):
        """Return the client of the log service that the settings name."""
        return LogClient(self._settings.log.host, self._settings.log.port)

    def make_backend(self, node, announcement):
        """Return the announced backend server."""
        return Backend(announcement)

    def make_grants(self, node):
        """Return grants that are sent as one message, which replaces earlier ones."""
        return FencedGrants(node)

    def make_servers(self, node):
        """Return the servers of the three ports; they aren't started yet."""
        settings = self._settings
        return [
            make_caller_server(node, settings.host, settings.caller_port),
            OperatorPort(node).make_server(settings.host, settings.operator_port),
            BackendPort(node).make_server("127.0.0.1", settings.backend_port),
        ]
