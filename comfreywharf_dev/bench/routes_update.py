"""Size of what a relay sends to one member for a new version of the routes."""

import attrs

from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.routes import Part, Route, RoutedService, RouteTable, UpdateForm
from comfreywharf_dev.bench.figures import Figure

__all__ = ["run"]

ROUTES = 2000


def run():
    """Change tables of 2,000 routes; return the sizes of the updates."""
    before = _table(1, _routes("r", ROUTES))
    changed = attrs.evolve(before.routes[7], timeout_ms=1234)
    one = _table(2, (*before.routes[:7], changed, *before.routes[8:]))
    grown = _table(2, (*before.routes, *_routes("n", ROUTES)))
    return [
        Figure(name="one_of_2000", value=_size(before, one), unit="bytes"),
        Figure(name="grown_by_2000", value=_size(before, grown), unit="bytes"),
        Figure(name="whole_2000", value=_size(None, before), unit="bytes"),
    ]


def _size(base, table):
    routes = Routes()
    if base is not None:
        routes.apply(base)
    routes.apply(table)
    version = base.version if base is not None else 0
    return len(routes.update_after(version, UpdateForm.DELTA))


def _routes(prefix, count):
    return tuple(
        Route(
            name=f"{prefix}{number}",
            host="a.example",
            path_prefix=f"/{prefix}{number}/",
            parts=(Part(service="booking", weight=1),),
            repeatable=True,
            timeout_ms=1000,
            latency_target_ms=400,
            priority=1,
            max_sends=2,
        )
        for number in range(count)
    )


def _table(version, routes):
    services = (RoutedService(name="booking"),)
    return RouteTable(version=version, routes=routes, services=services)
