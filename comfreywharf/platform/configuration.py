"""Read the operator's configuration from the store into a `RouteTable`."""

import math

import gevent
import orjson
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.logclient import (
    LogError,
    LogTruncated,
    complete_at_s,
)
from comfreywharf.platform.durations import duration_s
from comfreywharf.routes import (
    CallerLimits,
    GrantWay,
    Part,
    Route,
    RoutedService,
    RouteTable,
)
from comfreywharf.ticks import sleep_to_tick

__all__ = ["ConfigurationReader", "route_table"]

TOPIC = "keyed.op"
KEY = "config"
READ_WAIT_S = 0.4
"""How long a read waits for new records. The routes' age is only confirmed when the
read ends; a read that the store never answers times out one second later."""

GRANT_WAYS = {"direct": GrantWay.ORDERS, "heartbeat": GrantWay.HEARTBEATS}

ERROR_PAUSE_S = 0.3
RELAY_CHECK_INTERVAL_S = 0.1
"""How often a node that receives the configuration from a peer checks whether it
still does."""


def route_table(document):
    """Return the `RouteTable` of a configuration; raises `ValueError`.

    ``pathPrefix`` begins and ends with a slash. A route without ``trafficSplit``
    names its only service in ``service``.
    """
    try:
        fields = orjson.loads(document)
        limits = fields["limits"]
        return RouteTable(
            version=int(fields["version"]),
            routes=tuple(_route(*item) for item in fields["routes"].items()),
            services=tuple(_service(*item) for item in fields["services"].items()),
            limits=CallerLimits(
                header_bytes=int(limits["maxHeaderBytes"]),
                body_bytes=int(limits["maxBodyBytes"]),
                header_timeout_ms=_ms(limits["headerTimeout"]),
                idle_timeout_ms=_ms(limits["idleTimeout"]),
            ),
        )
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as error:
        raise ValueError(f"{TOPIC}/{KEY}: {error!r}") from error


def _ms(text):
    return round(duration_s(text) * 1000)


def _route(name, fields):
    split = fields.get("trafficSplit") or [{"service": fields["service"], "weight": 1}]
    return Route(
        name=name,
        host=fields["host"].lower(),
        path_prefix=fields["pathPrefix"],
        parts=tuple(Part(service=p["service"], weight=p["weight"]) for p in split),
        repeatable=fields["kind"] == "idempotent",
        timeout_ms=_ms(fields["timeout"]),
        latency_target_ms=_ms(fields["targetLatency"]),
        priority=int(fields.get("priority", 0)),
        max_sends=int(fields.get("maxAttempts", 1)),
    )


def _service(name, fields):
    return RoutedService(
        name=name,
        divided_by_number=bool(fields.get("sharded")),
        connections=int(fields["maxConnections"]),
        health_path=fields.get("healthPath", "/"),
        grant_way=_grant_way(name, fields.get("grants", "direct")),
        cold_requests_per_s=_cold_requests_per_s(name, fields.get("coldPerS", 0)),
        cold_start_s=duration_s(fields.get("coldStart", "0s")),
    )


def _cold_requests_per_s(service, value):
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        position = f"{TOPIC}/{KEY}: services.{service}.coldPerS"
        raise ValueError(f"{position}: found {value!r:.80}; expected a number from 0")
    return float(value)


def _grant_way(service, text):
    try:
        return GRANT_WAYS[text]
    except KeyError as error:
        expected = " or ".join(GRANT_WAYS)
        position = f"{TOPIC}/{KEY}: services.{service}.grants"
        raise ValueError(f"{position}: found {text!r}; expected {expected}") from error


class ConfigurationReader:
    """Read the configuration from the store and apply it to `Routes`.

    While ``relayed()`` is true, the node receives the configuration from a peer and
    doesn't read the store.
    """

    def __init__(self, store, routes, report, relayed=lambda: False):
        self._store = store
        self._routes = routes
        self._report = report
        self._relayed = relayed
        self._next = None

    def run(self):
        """Read new configurations until the greenlet is killed."""
        while True:
            if self._relayed():
                sleep_to_tick(RELAY_CHECK_INTERVAL_S)
                continue
            try:
                if self._next is None:
                    self._read_newest()
                else:
                    self._read_next()
            except LogTruncated:
                self._next = None
            except LogError as error:
                logging.info("configuration: %s", error)
                gevent.sleep(ERROR_PAUSE_S)

    def _read_newest(self):
        sent_s = boottime_s()
        newest = self._store.newest(TOPIC)
        document = newest.values.get(KEY)
        if document:
            self._apply(document)
        self._next = newest.end
        self._routes.confirm(sent_s)

    def _read_next(self):
        sent_s = boottime_s()
        found = self._store.read(TOPIC, self._next, READ_WAIT_S)
        for record in found.data:
            size = record[0] if record else 0
            if record[1 : 1 + size] == KEY.encode():
                self._apply(record[1 + size :])
        self._next += len(found.data)
        if self._next >= found.end:
            self._routes.confirm(complete_at_s(sent_s, READ_WAIT_S, bool(found.data)))

    def _apply(self, document):
        try:
            table = route_table(document)
        except ValueError as error:
            # A broken record must neither stop the node nor remove its routes.
            self._report("bad_routes", error=str(error))
            return
        if self._routes.apply(table):
            self._report("routes_in_force", version=table.version, source="store")
