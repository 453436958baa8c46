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

__all__ = ["RouteTableError", "decode_table", "encode_table", "service_of_fields"]


class RouteTableError(ValueError):
    """The bytes are not a valid encoded table."""


def encode_table(table):
    """Return a table encoded as JSON."""
    fields = attrs.asdict(table, filter=lambda field, _: not field.name[0] == "_")
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


def service_of_fields(fields):
    """Return the `RoutedService` of decoded fields; raises `TypeError`."""
    return RoutedService(**fields)


def _route(fields):
    parts = tuple(Part(**part) for part in fields["parts"])
    return Route(**{**fields, "parts": parts})
