"""What a node meets at its edges, behind one interface for each place it runs in.

The node's parts don't know whether callers, backend servers and the log speak the
protocols of docs/interfaces-*.md or those of a platform. What differs stands
behind `Ports`; a platform brings its own.
"""

from abc import ABC, abstractmethod

from comfreywharf.daemon.operating.decisions import no_lines
from comfreywharf.daemon.operating.operators import BackendPort, OperatorPort
from comfreywharf.daemon.owning.fenced_grants import FencedGrants
from comfreywharf.daemon.recording.follower import ReadOptions
from comfreywharf.daemon.recording.logclient import LogClient
from comfreywharf.daemon.requests.wire import OwnDialect
from comfreywharf.daemon.servers.backend import Backend
from comfreywharf.load import DEFAULT_CHOOSER, ConcurrencyLimit
from comfreywharf.load.admission import RetryAfter
from comfreywharf.load.fairqueue import FairQueue
from comfreywharf.ownership import LeaseTerms
from comfreywharf.placement import PlacementTuning
from comfreywharf.records import DEFAULT_RETRY_FRACTION
from comfreywharf.routing import RouteLimits

__all__ = ["OwnPorts", "Ports"]


class Ports(ABC):
    """The edges of a node.

    ``fenced`` says that backend servers stop work whose grant ended. Where
    ``remembers`` is false, each send of a caller has an id of its own, so that no
    answer need be remembered for a resend. A backend server that wasn't heard for
    ``doubt_s`` is tried; one that wasn't for ``silent_s`` counts as lost, unless
    that is ``None``. Of the requests of a service that routes lead to,
    ``retry_fraction`` more may be retries. Whose request the backend server itself
    refused is told to come back after ``refused_retry_after_ms``. A change of the
    routes is to be in force within ``routes_apply_s``.
    """

    fenced = False
    remembers = True
    doubt_s = 0.4
    silent_s = 1.0
    placement = PlacementTuning()
    route_limits = RouteLimits()
    read_pace = ReadOptions()
    retry_after = RetryAfter()
    removes_lost = False
    retry_fraction = DEFAULT_RETRY_FRACTION
    refused_retry_after_ms = 1000
    routes_apply_s = float("inf")

    @property
    @abstractmethod
    def dialect(self):
        """Return the `Dialect` in which backend servers are asked."""

    @abstractmethod
    def make_log_client(self):
        """Return the client of the log service."""

    @abstractmethod
    def make_backend(self, announcement):
        """Return the `Backend` that an `Announcement` names."""

    @abstractmethod
    def make_grants(self, node):
        """Return what keeps the grants of the backend server up to date."""

    @abstractmethod
    def make_servers(self, node):
        """Return the servers for callers, operators and the backend server."""

    def make_lines(self):
        """Return what writes the lines on single requests."""
        return no_lines

    def lease_terms(self, settings):
        """Return the `LeaseTerms` of a node's settings."""
        return LeaseTerms(
            lease_s=settings.lease_ms / 1000, drift=settings.drift_per_mille / 1000
        )

    def make_limit(self, slots):
        """Return the `ConcurrencyLimit` of a backend server that has just begun."""
        return ConcurrencyLimit(slots)

    def make_queue(self):
        """Return the `RequestQueue` in which requests wait for a slot."""
        return FairQueue()

    def make_chooser(self):
        """Return the `Chooser` among servers of a service that isn't divided by key."""
        return DEFAULT_CHOOSER()

    def backend_lost(self):
        """Take note that the backend server is gone."""
        return

    def greenlets(self, node):
        """Return further functions that run as long as the node does."""
        return ()


class OwnPorts(Ports):
    """The project's own protocols."""

    def __init__(self, settings):
        self._settings = settings
        self._dialect = OwnDialect()

    @property
    def dialect(self):
        """Return the project's own dialect."""
        return self._dialect

    def make_log_client(self):
        """Return the client of the log service that the settings name."""
        return LogClient(self._settings.log.host, self._settings.log.port)

    def make_backend(self, announcement):
        """Return the announced backend server."""
        return Backend(announcement)

    def make_grants(self, node):
        """Return the grants as one message that replaces those before it."""
        return FencedGrants(node)

    def make_servers(self, node):
        """Return the three ports of a node; they aren't started yet."""
        settings = self._settings
        return [
            node.ingress.make_server(settings.host, settings.caller_port),
            OperatorPort(node).make_server(settings.host, settings.operator_port),
            BackendPort(node).make_server("127.0.0.1", settings.backend_port),
        ]
