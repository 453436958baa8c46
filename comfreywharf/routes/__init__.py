"""The routes that map callers' requests to services, with their limits.

A `RouteTable` is one numbered version of an operator's routes. It is not part of
the log of records but comes from elsewhere, for instance from the platform's store,
and nodes forward it to each other.
"""

from comfreywharf.routes.codec import RouteTableError, decode_table, encode_table
from comfreywharf.routes.history import TableHistory, UpdateForm
from comfreywharf.routes.leases import longest_leases_ms
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
from comfreywharf.routes.updates import (
    RoutesUpdate,
    apply_update,
    decode_update,
    encode_update,
)

__all__ = [
    "CallerLimits",
    "GrantWay",
    "Part",
    "Route",
    "RouteTable",
    "RouteTableError",
    "RoutedService",
    "RoutesUpdate",
    "Splitter",
    "TableHistory",
    "UpdateForm",
    "apply_update",
    "decode_table",
    "decode_update",
    "encode_table",
    "encode_update",
    "is_absence_certain",
    "longest_leases_ms",
    "max_relayed_age_s",
]
