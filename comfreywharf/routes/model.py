"""The operator's routes as typed values."""

from enum import Enum

import attrs

__all__ = ["CallerLimits", "GrantWay", "Part", "Route", "RouteTable", "RoutedService"]


class GrantWay(Enum):
    """How a service's backend servers are told which keys they hold.

    ``ORDERS`` are sent to the server, one for each range; ``HEARTBEATS`` are answered
    with a list of all ranges.
    """

    ORDERS = "orders"
    HEARTBEATS = "heartbeats"


@attrs.frozen(kw_only=True)
class Part:
    """The part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """How requests for one host and path prefix are treated.

    ``repeatable`` requests may run more than once; all others at most once for
    each caller's request id. ``max_sends`` bounds how many backend servers one
    request may be sent to. ``timeout_ms`` is the longest a caller is kept waiting,
    ``latency_target_ms`` the time within which an answer is worth most.
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
    """A service that routes lead to.

    One that is divided by number has a key from 0 to 65,535 in each request, and
    its backend servers hold their keys by grants, in its ``grant_way``.
    ``connections`` is what one backend server accepts from all together.
    """

    name: str
    divided_by_number: bool = False
    connections: int = 100
    health_path: str = "/"
    grant_way: GrantWay = attrs.field(default=GrantWay.ORDERS, converter=GrantWay)


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 << 20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of all routes, services and limits.

    Version 0 is the empty table that exists before the first one is known.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: CallerLimits = attrs.Factory(CallerLimits)
    _by_place: dict = attrs.field(init=False, eq=False, repr=False)
    _by_name: dict = attrs.field(init=False, eq=False, repr=False)

    @_by_place.default
    def _index_routes(self):
        return {(route.host, route.path_prefix): route for route in self.routes}

    @_by_name.default
    def _index_services(self):
        return {service.name: service for service in self.services}

    def service(self, name):
        """Return the `RoutedService` of a name, or ``None``."""
        return self._by_name.get(name)

    def find(self, host, path):
        """Return the route of a host with the longest prefix of a path, or ``None``.

        Prefixes begin and end with a slash, so that only the slashes of the path
        are tried: the cost grows with the path and not with the table.

        >>> part = Part(service="booking", weight=1)
        >>> route = Route(name="r", host="a.example", path_prefix="/b/",
        ...     parts=(part,), repeatable=True, timeout_ms=1000,
        ...     latency_target_ms=400, priority=1, max_sends=2)
        >>> table = RouteTable(version=1, routes=(route,))
        >>> table.find("a.example", "/b/c").name, table.find("a.example", "/bc")
        ('r', None)
        """
        end = path.rfind("/") + 1
        while end > 0:
            route = self._by_place.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
