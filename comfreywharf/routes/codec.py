"""The encoding of a `RouteTable` that nodes send to each other."""

import attrs
import orjson

from comfreywharf.routes.model import (
    CallerLimits,
    Part,
    Route,
    RoutedService,
    RouteTable,
)

__all__ = [
    "RouteTableError",
    "decode_table",
    "encode_table",
    "fields_of_service",
    "service_of_fields",
]

_OPTIONAL_FIELDS = {"cold_requests_per_s": 0.0, "cold_start_s": 0.0}
"""Fields of a service that are left out at these values. Nodes of a version that
doesn't have them can then read the table."""


class RouteTableError(ValueError):
    """The bytes are not a valid encoded table."""


def encode_table(table):
    """Return a table encoded as JSON."""
    fields = attrs.asdict(table, filter=lambda field, _: not field.name[0] == "_")
    fields["services"] = [fields_of_service(service) for service in table.services]
    return orjson.dumps(fields)


def decode_table(data):
    """Return the `RouteTable` that is encoded in bytes.

    Raise a `RouteTableError` if they are not a valid encoded table.
    """
    try:
        fields = orjson.loads(data)
        return RouteTable(
            version=fields["version"],
            routes=tuple(_route(route) for route in fields["routes"]),
            services=tuple(map(service_of_fields, fields["services"])),
            limits=CallerLimits(**fields["limits"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RouteTableError(f"expected a JSON route table: {error!r}") from error


def fields_of_service(service):
    """Return the fields of a `RoutedService` to encode."""
    fields = attrs.asdict(service)
    for name, default in _OPTIONAL_FIELDS.items():
        if fields[name] == default:
            del fields[name]
    return fields


def service_of_fields(fields):
    """Return the `RoutedService` of decoded fields; raises `TypeError`."""
    return RoutedService(**fields)


def _route(fields):
    parts = tuple(Part(**part) for part in fields["parts"])
    return Route(**{**fields, "parts": parts})
