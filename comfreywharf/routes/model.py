"""The operator's routes as typed values."""

from enum import Enum

import attrs

__all__ = ["CallerLimits", "GrantWay", "Part", "Route", "RouteTable", "RoutedService"]


class GrantWay(Enum):
    """How a service's backend servers are notified of the keys that they hold.

    With ``ORDERS``, the server is sent an order for each range of keys. With
    ``HEARTBEATS``, each heartbeat of the server is answered with a list of all ranges.
    """

    ORDERS = "orders"
    HEARTBEATS = "heartbeats"


@attrs.frozen(kw_only=True)
class Part:
    """The share of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """How requests for one host and path prefix are handled.

    ``repeatable`` requests may run more than once; all others run at most once
    for each caller's request id. ``max_sends`` bounds to how many backend servers
    one request may be sent. ``timeout_ms`` is the longest time that a caller
    waits, ``latency_target_ms`` the time within which the operator wants answers.
    ``priority`` 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[Part, ...]
    repeatable: bool
    timeout_ms: int
    latency_target_ms: int
    priority: int
    max_sends: int


@attrs.frozen(kw_only=True)
class RoutedService:
    """A service that is the target of routes.

    If it is divided by number, each request has a key from 0 to 65,535, and its
    backend servers hold their keys by grants, which are made in its
    ``grant_way``. ``connections`` is how many connections one backend server
    accepts in total. A backend server is cold for ``cold_start_s`` after its start, and
    bears ``cold_requests_per_s`` meanwhile; 0 means that no such bound is known.
    """

    name: str
    divided_by_number: bool = False
    connections: int = 100
    health_path: str = "/"
    grant_way: GrantWay = attrs.field(default=GrantWay.ORDERS, converter=GrantWay)
    cold_requests_per_s: float = 0.0
    cold_start_s: float = 0.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on a caller's requests and connections.

    The header of a request may take ``header_timeout_ms`` to arrive; a connection
    without a request is closed after ``idle_timeout_ms``.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 << 20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of all routes, services and limits.

    Version 0 is the empty table that is used before the first one is received. Of two
    routes for one host and prefix, the one with the greater name is used, so that all
    nodes choose the same whatever the order of the routes.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: CallerLimits = attrs.Factory(CallerLimits)
    _by_prefix: dict = attrs.field(init=False, eq=False, repr=False)
    _by_name: dict = attrs.field(init=False, eq=False, repr=False)
    _longest_prefix: int = attrs.field(init=False, eq=False, repr=False)

    @_by_prefix.default
    def _index_routes(self):
        index = {(route.host, route.path_prefix): route for route in self.routes}
        if len(index) < len(self.routes):
            ordered = sorted(self.routes, key=lambda route: route.name)
            index = {(route.host, route.path_prefix): route for route in ordered}
        return index

    @_longest_prefix.default
    def _measure_prefixes(self):
        return max((len(route.path_prefix) for route in self.routes), default=0)

    @_by_name.default
    def _index_services(self):
        return {service.name: service for service in self.services}

    def service(self, name):
        """Return the `RoutedService` of a name, or ``None``."""
        return self._by_name.get(name)

    def find(self, host, path):
        """Return the route of a host with the longest prefix of a path, or ``None``.

        Prefixes begin and end with a slash, so that only prefixes of the path that
        end with a slash are looked up, and none longer than the longest in the table:
        the cost grows neither with the size of the table nor with a long path.

        >>> part = Part(service="booking", weight=1)
        >>> route = Route(name="r", host="a.example", path_prefix="/b/",
        ...     parts=(part,), repeatable=True, timeout_ms=1000,
        ...     latency_target_ms=400, priority=1, max_sends=2)
        >>> table = RouteTable(version=1, routes=(route,))
        >>> table.find("a.example", "/b/c").name, table.find("a.example", "/bc")
        ('r', None)
        """
        end = path.rfind("/", 0, self._longest_prefix) + 1
        while end > 0:
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
