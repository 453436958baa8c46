"""Updates of a `RouteTable`: what changed since a version that the receiver has.

The size of an update follows the change and not the table: one route among 2,000
takes some hundred bytes. An update without a base is a whole table. Both are JSON,
compressed with zlib.
"""

import zlib

import attrs
import orjson
import xxhash

from comfreywharf.routes.codec import (
    RouteTableError,
    fields_of_service,
    service_of_fields,
)
from comfreywharf.routes.model import CallerLimits, Part, Route, RouteTable

__all__ = [
    "EMPTY_TABLE",
    "MAX_UNPACKED_BYTES",
    "DigestedTable",
    "RoutesUpdate",
    "apply_update",
    "decode_update",
    "diff_tables",
    "encode_update",
]

MAX_UNPACKED_BYTES = 16 << 20
"""Limit for an unpacked update, about twenty times a table of 2,000 routes."""

FAST_LEVEL = 1
ROUTE_FIELDS = tuple(field.name for field in attrs.fields(Route))
DIGEST_MASK = (1 << 64) - 1


@attrs.frozen(kw_only=True)
class RoutesUpdate:
    """The changes from one version to a later one.

    ``base_version`` is 0 for a whole table. The digests show whether both nodes mean
    the same tables by these versions. ``limits`` is ``None`` if they are unchanged.

    >>> update = RoutesUpdate(version=2, digest=0, base_version=0, base_digest=0)
    >>> decode_update(encode_update(update)) == update
    True
    """

    version: int
    digest: int
    base_version: int
    base_digest: int
    routes: tuple[Route, ...] = ()
    dropped_routes: tuple[str, ...] = ()
    services: tuple = ()
    dropped_services: tuple[str, ...] = ()
    limits: CallerLimits | None = None

    @property
    def size(self):
        """Return how many routes are changed or dropped."""
        return len(self.routes) + len(self.dropped_routes)


def _route_fields(route):
    values = {name: getattr(route, name) for name in ROUTE_FIELDS}
    values["parts"] = [[part.service, part.weight] for part in route.parts]
    return list(values.values())


def _route(fields):
    values = dict(zip(ROUTE_FIELDS, fields, strict=True))
    values["parts"] = tuple(Part(service=s, weight=w) for s, w in values["parts"])
    route = Route(**values)
    if not all(isinstance(v, str) for v in (route.name, route.host, route.path_prefix)):
        raise ValueError(f"route {route.name!r}: name, host or prefix is no text")
    return route


def _digest_of(fields):
    return xxhash.xxh3_64_intdigest(orjson.dumps(fields))


def _sum_of_digests(routes, services, limits):
    total = _digest_of(attrs.asdict(limits))
    total += sum(_digest_of(_route_fields(route)) for route in routes)
    return total + sum(_digest_of(fields_of_service(service)) for service in services)


@attrs.frozen
class DigestedTable:
    """A table with a number that differs between tables of different contents.

    The number is a sum over routes and services, so that their order doesn't matter,
    and a later table's follows from what changed.
    """

    table: RouteTable
    digest: int

    def followed_by(self, table):
        """Return the `DigestedTable` of a table that replaces this one."""
        routes, services = self.table.routes, self.table.services
        added = _sum_of_digests(
            _changes(routes, table.routes)[0],
            _changes(services, table.services)[0],
            table.limits,
        )
        removed = _sum_of_digests(
            _changes(table.routes, routes)[0],
            _changes(table.services, services)[0],
            self.table.limits,
        )
        return DigestedTable(table, (self.digest + added - removed) & DIGEST_MASK)


EMPTY_TABLE = DigestedTable(
    RouteTable(), _sum_of_digests((), (), CallerLimits()) & DIGEST_MASK
)
"""The table that whole tables are updates of."""


def diff_tables(base, newer):
    """Return the `RoutesUpdate` from one `DigestedTable` to another."""
    before, table = base.table, newer.table
    routes, dropped_routes = _changes(before.routes, table.routes)
    services, dropped_services = _changes(before.services, table.services)
    return RoutesUpdate(
        version=table.version,
        digest=newer.digest,
        base_version=before.version,
        base_digest=base.digest,
        routes=routes,
        dropped_routes=dropped_routes,
        services=services,
        dropped_services=dropped_services,
        limits=None if table.limits == before.limits else table.limits,
    )


def _changes(before, after):
    known = {entry.name: entry for entry in before}
    changed = tuple(
        entry
        for entry in after
        if (other := known.get(entry.name)) is not entry and other != entry
    )
    dropped = tuple(known.keys() - {entry.name for entry in after})
    return changed, tuple(sorted(dropped))


def apply_update(update, base):
    """Return the table that an update leads to.

    ``base`` is the `DigestedTable` of the update's base version, or ``None`` if it
    isn't known. Raises `RouteTableError` if the base isn't the sender's, or if the
    result isn't the table that the sender has.
    """
    if update.base_version == 0:
        base = EMPTY_TABLE
    elif base is None:
        raise RouteTableError(f"base version {update.base_version} isn't known here")
    elif base.digest != update.base_digest:
        raise RouteTableError(f"base version {update.base_version} differs here")
    table = RouteTable(
        version=update.version,
        routes=_changed(
            "route", base.table.routes, update.routes, update.dropped_routes
        ),
        services=_changed(
            "service", base.table.services, update.services, update.dropped_services
        ),
        limits=update.limits or base.table.limits,
    )
    if base.followed_by(table).digest != update.digest:
        raise RouteTableError(f"version {update.version} differs from the sender's")
    return table


def _changed(kind, before, changed, dropped):
    entries = {entry.name: entry for entry in before}
    for name in dropped:
        if entries.pop(name, None) is None:
            raise RouteTableError(f"{kind} {name!r} is dropped, but isn't there")
    seen = set()
    for entry in changed:
        if entry.name in seen:
            raise RouteTableError(f"{kind} {entry.name!r} is named twice")
        seen.add(entry.name)
        entries[entry.name] = entry
    return tuple(entries.values())


def encode_update(update):
    """Return an update as bytes."""
    fields = {
        "version": update.version,
        "digest": update.digest,
        "base_version": update.base_version,
        "base_digest": update.base_digest,
        "routes": [_route_fields(route) for route in update.routes],
        "dropped_routes": update.dropped_routes,
        "services": [fields_of_service(service) for service in update.services],
        "dropped_services": update.dropped_services,
        "limits": update.limits and attrs.asdict(update.limits),
    }
    return zlib.compress(orjson.dumps(fields), FAST_LEVEL)


def decode_update(data):
    """Return the `RoutesUpdate` in bytes; raises `RouteTableError`.

    The message says at which entry reading stopped.
    """
    place = "compressed bytes"
    try:
        fields = orjson.loads(_decompress(data))
        place = "version"
        numbers = {
            name: _whole_number(fields[name])
            for name in ("version", "digest", "base_version", "base_digest")
        }
        routes = []
        for number, entry in enumerate(fields["routes"]):
            place = f"route {number}"
            routes.append(_route(entry))
        place = "services"
        services = tuple(service_of_fields(entry) for entry in fields["services"])
        place = "limits"
        limits = fields["limits"]
        return RoutesUpdate(
            routes=tuple(routes),
            dropped_routes=tuple(fields["dropped_routes"]),
            services=services,
            dropped_services=tuple(fields["dropped_services"]),
            limits=None if limits is None else CallerLimits(**limits),
            **numbers,
        )
    except (KeyError, TypeError, ValueError, zlib.error) as error:
        raise RouteTableError(f"routes update: {place}: {error!r}") from error


def _whole_number(value):
    if type(value) is not int or value < 0:
        raise ValueError(f"found {value!r}; expected a whole number")
    return value


def _decompress(data):
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError(f"truncated, or more than {MAX_UNPACKED_BYTES} bytes unpacked")
    return unpacked
