"""Read what the operator writes to the store: the configuration and evacuations."""

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
from comfreywharf.platform.unknown_names import MessageKind
from comfreywharf.routes import (
    CallerLimits,
    GrantWay,
    Part,
    Route,
    RoutedService,
    RouteTable,
)
from comfreywharf.ticks import sleep_to_tick

__all__ = ["ConfigurationReader", "configuration_names", "route_table"]

TOPIC = "keyed.op"
KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Begins the key of a zone's evacuation, which lasts until the key has no value."""

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


def configuration_names(document):
    """Return the names of all fields in a configuration that `route_table` reads.

    >>> names = configuration_names(b'{"version": 1, "routes": {"r": {"host": "h"}}}')
    >>> sorted(names)
    ['host', 'routes', 'version']
    """
    fields = orjson.loads(document)
    entries = [fields, fields.get("limits", {})]
    for name in ("routes", "services"):
        entries += fields.get(name, {}).values()
    return frozenset().union(*entries)


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


def _key_and_value(record):
    """Return the key of a record as text, and its value."""
    size = record[0] if record else 0
    return record[1 : 1 + size].decode("latin-1"), record[1 + size :]


class EvacuationOrders:
    """Apply the operator's orders to evacuate zones, and report damaged ones once."""

    def __init__(self, node, known_zones):
        self._node = node
        self._known_zones = known_zones
        self._reported = set()

    def replace_all(self, values, end):
        """Apply all orders in force at the offset ``end`` of the topic."""
        zones = {
            key.removeprefix(EVACUATION_PREFIX)
            for key, value in values.items()
            if key.startswith(EVACUATION_PREFIX) and self._is_order(key, value)
        }
        self._node.evacuation_watch.apply(end, zones, "store")

    def update(self, records, first):
        """Apply the orders in the keys and values of records from offset ``first``.

        A record that the known evacuations include already changes nothing.
        """
        evacuations = self._node.evacuations
        zones, version = set(evacuations.domains), evacuations.version
        for offset, (key, value) in enumerate(records, first):
            if not key.startswith(EVACUATION_PREFIX) or offset < version:
                continue
            zone = key.removeprefix(EVACUATION_PREFIX)
            if not value:
                zones.discard(zone)
            elif self._is_order(key, value):
                zones.add(zone)
            version = offset + 1
        self._node.evacuation_watch.apply(version, zones, "store")

    def _is_order(self, key, value):
        """Return whether a value is an order; report one that can't be meant."""
        zone = key.removeprefix(EVACUATION_PREFIX)
        try:
            if not isinstance(orjson.loads(value), dict):
                raise ValueError("expected an object")
        except ValueError as error:
            self._report_damaged(key, f"{value[:80]!r}: {error}")
            return False
        if zone not in self._known_zones:
            known = ", ".join(sorted(self._known_zones))
            self._report_damaged(key, f"no such zone; known are {known}")
        return True

    def _report_damaged(self, key, why):
        self._node.metrics.damaged_evacuation_read()
        if (key, why) not in self._reported:
            self._reported.add((key, why))
            self._node.report("damaged_evacuation", order=f"{TOPIC}/{key}", why=why)


class ConfigurationReader:
    """Read the operator's records from the store; apply routes and evacuations.

    ``known_zones`` are those that the settings name. While the node's records are
    relayed, it receives all of this from a peer and doesn't read the store.
    """

    def __init__(self, store, node, known_zones, unknown_names):
        self._store = store
        self._unknown_names = unknown_names
        self._node = node
        self._routes = node.routes
        self._report = node.report
        self._orders = EvacuationOrders(node, known_zones)
        self._next = None

    def run(self):
        """Read new configurations until the greenlet is killed."""
        while True:
            if self._node.follower.relayed:
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
        # Evacuations first: with its routes, the node begins to serve.
        self._orders.replace_all(newest.values, newest.end)
        document = newest.values.get(KEY)
        if document:
            self._apply(document)
        self._next = newest.end
        self._routes.confirm(sent_s)

    def _read_next(self):
        sent_s = boottime_s()
        found = self._store.read(TOPIC, self._next, READ_WAIT_S)
        records = [_key_and_value(record) for record in found.data]
        self._orders.update(records, self._next)
        for key, value in records:
            if key == KEY:
                self._apply(value)
        self._next += len(found.data)
        if self._next >= found.end:
            self._routes.confirm(complete_at_s(sent_s, READ_WAIT_S, bool(found.data)))

    def _apply(self, document):
        """Apply a configuration; report one that can't be read."""
        try:
            table = route_table(document)
        except ValueError as error:
            # A broken record must neither stop the node nor remove its routes.
            self._report("bad_routes", error=str(error))
            return
        self._unknown_names.check(
            MessageKind.CONFIGURATION, configuration_names(document)
        )
        if self._routes.apply(table):
            self._report("routes_in_force", version=table.version, source="store")
