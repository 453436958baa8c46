"""The routes that map callers' requests to services, with their limits.

A `RouteTable` is one numbered version of an operator's routes. It is not part of
the log of records but comes from elsewhere, for instance from the platform's store,
and nodes forward it to each other.
"""

from comfreywharf.routes.codec import RouteTableError, decode_table, encode_table
from comfreywharf.routes.leases import longest_lease_ms
from comfreywharf.routes.model import (
    CallerLimits,
    GrantWay,
    Part,
    Route,
    RoutedService,
    RouteTable,
)
from comfreywharf.routes.splits import Splitter
from comfreywharf.routes.staleness import is_absence_certain, max_relayed_age_s

__all__ = [
    "CallerLimits",
    "GrantWay",
    "Part",
    "Route",
    "RouteTable",
    "RouteTableError",
    "RoutedService",
    "Splitter",
    "decode_table",
    "encode_table",
    "is_absence_certain",
    "longest_lease_ms",
    "max_relayed_age_s",
]
