"""Builders for tests of the adapter: settings files, and nodes in this process.

The nodes and the stand-ins run as greenlets of the test's process and communicate over
loopback, so that they send the same data as on the platform.
"""

import contextlib
import os
import socket as std_socket

import gevent
from gevent import socket

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.tests.builders import backend_for
from comfreywharf.metrics import Metrics
from comfreywharf.platform.backends import PlatformBackend
from comfreywharf.platform.ports import PlatformPorts
from comfreywharf.platform.settings import read_boot_file
from comfreywharf.platform.unknown_names import UnknownNames
from comfreywharf_dev.standins.platform_server import PlatformServer
from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = [
    "LONG_TIMEOUT_MS",
    "Deployment",
    "ReceivedAnswer",
    "boot_text",
    "configuration",
    "ignore",
    "make_backend",
    "unreported_names",
    "wait_for",
]

_USED_PORTS = set()

FIRST_PORT = 12_000
WORKERS = 10
PORTS_OF_A_WORKER = 2_000

LONG_TIMEOUT_MS = 20_000
"""Longer than any machine takes for a few requests."""

BOOT = """\
grants={grants}
self.node={name}
self.ip=127.0.0.1
self.zone={zone}
self.region=r
self.appAddress=127.0.0.1:1
self.service={service}
network.listen.inbound=127.0.0.1:{ports[0]}
network.listen.outbound=127.0.0.1:{ports[1]}
network.listen.ready=127.0.0.1:{ports[2]}
network.listen.control=127.0.0.1:{ports[3]}
network.internalPorts={ports[4]},{internal_last}
network.seedNodes=
network.zones.z0=r
network.zones.z1=r
network.zones.z2=r
platform.heartbeat=200ms
platform.platform.address=127.0.0.1:{store_port}
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.maxHold=10000ms
terms.bounds.configApply=2000ms
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetExtra=58
terms.bounds.budgetWindow=10s
new.field=ignored
"""


def boot_text(
    name="n1",
    zone="z1",
    service="booking",
    ports=None,
    store_port=9,
    grants="direct",
):
    """Return a settings file as the platform writes it."""
    ports = ports or (1001, 1002, 1003, 1004, 1005)
    return BOOT.format(
        name=name,
        zone=zone,
        service=service,
        ports=ports,
        internal_last=ports[4] + 1,
        store_port=store_port,
        grants=grants,
    )


def configuration(version=1, **fields):
    """Return a configuration record: a keyed and a plain service, three routes."""
    route = {
        "host": "a.example",
        "timeout": "1000ms",
        "targetLatency": "400ms",
        "priority": 1,
        "maxAttempts": 2,
    }
    return {
        "version": version,
        "routes": {
            "look": {
                **route,
                "pathPrefix": "/look/",
                "kind": "idempotent",
                "service": "booking",
            },
            "book": {
                **route,
                "pathPrefix": "/book/",
                "kind": "non_idempotent",
                "service": "booking",
            },
            "stock": {
                **route,
                "pathPrefix": "/stock/",
                "kind": "upload",
                "trafficSplit": [{"service": "stock", "weight": 1}],
            },
        },
        "services": {
            "booking": {
                "healthPath": "/health",
                "maxConnections": 50,
                "sharded": True,
            },
            "stock": {"healthPath": "/health", "maxConnections": 50},
        },
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 1 << 20,
            "headerTimeout": "500ms",
            "idleTimeout": "2s",
        },
        **fields,
    }


def ignore(*arguments):
    """Take a call without any effect."""


def unreported_names():
    """Return `UnknownNames` whose reports go nowhere."""
    return UnknownNames(lambda event, **fields: None, Metrics())


def make_backend(server):
    """Return the `PlatformBackend` of a `ScriptedServer`, with one connection."""
    announced = backend_for(server).announcement
    return PlatformBackend(announced, lambda: "/health", unreported_names(), ignore)


def wait_for(condition, timeout_s=20.0):
    """Let greenlets run until a condition holds; raises `TimeoutError`."""
    end_s = boottime_s() + timeout_s
    while not condition():
        if boottime_s() > end_s:
            raise TimeoutError(f"the condition didn't hold within {timeout_s} s")
        gevent.sleep(0.02)


def free_ports():
    """Return six consecutive ports on which nothing listens.

    They are below the ports that the system uses for outgoing connections. Each test
    worker has its own range: a port of another worker's range could be unused at the
    check, and taken when a node listens.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % WORKERS
    first_port = FIRST_PORT + worker * PORTS_OF_A_WORKER
    skipped = os.getpid() % 100 * 7
    last_port = first_port + PORTS_OF_A_WORKER
    for first in range(first_port + skipped, last_port - 6, 7):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + 6):
                    sock = stack.enter_context(std_socket.socket())
                    sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            if first not in _USED_PORTS:
                _USED_PORTS.update(range(first - 6, first + 6))
                return tuple(range(first, first + 6))
    raise RuntimeError(
        f"no six consecutive free ports from {first_port} to {last_port - 1}"
    )


class ReceivedAnswer:
    """An answer as a caller received it."""

    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if lines[0] else 0
        pairs = [line.partition(": ") for line in lines[1:]]
        self.headers = {name.lower(): value for name, _, value in pairs}


class Deployment:
    """Nodes that use the platform's stand-ins, each with its backend server."""

    def __init__(
        self,
        path,
        services=("booking", "booking", "booking", "stock"),
        grants="direct",
        contracts="",
    ):
        self.grants = grants
        self._contracts = contracts
        self.store = PlatformStore()
        self.ledger = []
        self.nodes = {}
        self.servers = {}
        self.ports = {}
        self._path = path
        self._services = services
        self._requests = 0

    def __enter__(self):
        self.store.start()
        self.configure(1)
        for number, service in enumerate(self._services):
            self.start(f"n{number}", f"z{number % 3}", service)
        wait_for(self.each_key_has_one_holder)
        return self

    def configure(self, version, timeout_ms=1000):
        """Write a configuration to the store, with the way of granting of `booking`."""
        document = configuration(version)
        for route in document["routes"].values():
            route["timeout"] = f"{timeout_ms}ms"
        document["services"]["booking"]["grants"] = self.grants
        self.store.put("keyed.op", "config", document)

    def allow_long_requests(self, version=2):
        """Set the routes' timeout to `LONG_TIMEOUT_MS` on all nodes."""
        self.configure(version, timeout_ms=LONG_TIMEOUT_MS)
        nodes = self.nodes.values()
        wait_for(lambda: all(node.routes.version == version for node in nodes))

    def start(self, name, zone, service):
        """Start a node and its backend server."""
        ports = self.ports.get(name) or free_ports()
        self.ports[name] = ports
        path = self._path / f"{name}.conf"
        text = boot_text(name, zone, service, ports, self.store.port, self.grants)
        path.write_text(f"{text}terms.contracts={self._contracts}\n")
        settings = read_boot_file(path).unwrap()
        node = Node(settings.node, PlatformPorts(settings))
        node.start()
        self.nodes[name] = node
        if name not in self.servers:
            uses_hold_lists = self.grants == "heartbeat" and service == "booking"
            server = PlatformServer(
                f"i-{name}", service, self.ledger, uses_hold_lists=uses_hold_lists
            )
            server.start(ports[3])
            self.servers[name] = server

    def __exit__(self, *error):
        for node in self.nodes.values():
            node.kill()
        for server in self.servers.values():
            server.stop()
        self.store.stop()

    def each_key_has_one_holder(self):
        """Return whether each key is held by exactly one server."""
        holders = [s for s in self.servers.values() if s.service == "booking"]
        keys = range(0, 65536, 4096)
        return all(sum(s.holds(key) for s in holders) == 1 for key in keys)

    def holders(self, key):
        """Return the names of the nodes whose servers hold a key."""
        return [name for name, server in self.servers.items() if server.holds(key)]

    def holder(self, key):
        """Return the name of the node whose server holds a key, or ``None``."""
        return next(iter(self.holders(key)), None)

    def non_holder(self, key):
        """Return the name of a node whose server doesn't hold a key."""
        return next(name for name in self.nodes if name != self.holder(key))

    def send_request(
        self, name, path="/look/1", key=7, method="GET", body=b"", **headers
    ):
        """Send one request to a node; return its answer as `ReceivedAnswer`."""
        self._requests += 1
        lines = {
            "Host": "a.example",
            "X-Attempt-Id": f"id-{self._requests}",
            "X-Deadline-Ms": "1000",
            "Connection": "close",
        }
        if key is not None:
            lines["X-Shard-Key"] = str(key)
        if body:
            lines["Content-Length"] = str(len(body))
        lines.update({k.replace("_", "-"): v for k, v in headers.items()})
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        data = f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body
        return self.send(name, data)

    def send(self, name, data, timeout_s=30.0):
        """Send bytes to a node's callers' port, and read until it closes."""
        port = self.ports[name][1]
        parts = []
        with contextlib.closing(
            socket.create_connection(("127.0.0.1", port), timeout_s)
        ) as sock:
            sock.sendall(data)
            with contextlib.suppress(ConnectionResetError):
                while part := sock.recv(65536):
                    parts.append(part)
        return ReceivedAnswer(b"".join(parts))
