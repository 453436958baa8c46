"""The settings file that the platform writes for each process."""

import math
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from comfreywharf.load.callermemory import CallerBounds
from comfreywharf.ownership.holds import SLOW_CLOCK
from comfreywharf.platform.configuration import GRANT_WAYS
from comfreywharf.platform.durations import duration_s
from comfreywharf.routes import GrantWay
from comfreywharf.settings.model import Address, NodeSettings

__all__ = ["BOOT_VARIABLE", "PlatformSettings", "read_boot_file"]

BOOT_VARIABLE = "COMFREYWHARF_BOOT"
"""The environment variable that holds the file's path."""

LEASE_MS = 1500
"""Short enough that the keys of a lost node are served again within 2 s, and long
enough that a node which the platform slows down keeps its lease."""

HEARTBEATS_PER_HOLD = 2
"""If keys are granted in answers to heartbeats, a hold outlasts one lost heartbeat."""

HOLD_MARGIN_S = 0.15
"""How late a heartbeat and its answer may be, beyond the heartbeat interval."""

DRIFT_PER_MILLE = 25
"""Backend servers' clocks may run 2% slow; the rest is for the machines' clocks."""


MEMORY_SHARE = 0.3
"""The part of the machine's memory that callers may take. The rest is for the node's
own state and for what other nodes send."""

FILE_DESCRIPTORS = 200
"""How many of a machine's descriptors aren't for sockets."""

CONNECTION_SHARE = 0.5
REQUEST_SHARE = 0.25
"""Parts of the sockets for callers' connections, and for requests, each of which may
need a connection to another node. The rest is for what other nodes send."""


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The settings that the platform gives a process, as the product's types.

    ``callers`` is the address to which callers and the backend server beside this
    node send requests, ``ready`` that of the platform's readiness probe, and
    ``heartbeats`` that to which the backend server sends its heartbeats. Times are
    in seconds. ``zones`` are the names of all zones; the servers of one may get nothing
    new ``evacuate_s`` after an order to evacuate it. A cold backend server may get
    ``cold_overage`` times the requests per second that its service states, and
    ``cold_extra_requests`` in any second. In any ``retry_window_s``, all nodes together
    may send ``retry_fraction`` times the requests of a service as retries, and
    ``extra_retries`` beside them. ``grant_interval_s`` is the time between two grants
    if these are answers to heartbeats, and zero if they are sent at any time.
    ``contracts`` are the names of what the deployment uses beside the basic protocol.
    ``caller_bounds`` follow from the machine's memory and descriptors.
    """

    node: NodeSettings
    service: str
    callers: Address
    ready: Address
    heartbeats: Address
    store: Address
    heartbeat_interval_s: float
    grant_interval_s: float
    drain_s: float
    grace_s: float
    longest_hold_s: float
    retry_fraction: float
    extra_retries: float
    retry_window_s: float
    routes_apply_s: float
    evacuate_s: float
    zones: tuple[str, ...]
    cold_overage: float
    cold_extra_requests: float
    store_writes_per_s: float
    store_reads_per_s: float
    contracts: frozenset[str] = frozenset()
    caller_bounds: CallerBounds = attrs.Factory(CallerBounds)


class _Fields:
    """The file's fields; a missing or invalid field adds a finding."""

    def __init__(self, path, text):
        self._path = path
        self._fields = {}
        self.findings = []
        for number, line in enumerate(text.splitlines(), 1):
            name, mark, value = line.strip().partition("=")
            if mark:
                self._fields[name] = (number, value)
            elif name and not name.startswith("#"):
                self._add_finding(number, f"found {line!r}; expected NAME=VALUE")

    def _add_finding(self, number, message):
        self.findings.append(f"{self._path}:{number}: {message}")

    def read(self, name, convert, default=None):
        """Return a field converted by ``convert``, or the default with a finding."""
        number, text = self._fields.get(name, (0, ""))
        if not text:
            if default is None:
                self.findings.append(f"{self._path}: {name}: missing")
            return default
        try:
            return convert(text)
        except ValueError as error:
            self._add_finding(number, f"{name}: {error}")
            return default

    def names_below(self, prefix):
        """Return the rest of the names of the fields that begin with a prefix."""
        return [
            name.removeprefix(prefix)
            for name in self._fields
            if name.startswith(prefix)
        ]

    def read_optional(self, name, convert, default):
        """Return a field as `read` does; the default without a finding if missing."""
        return self.read(name, convert, default) if name in self._fields else default


def _address(text):
    host, mark, port = text.rpartition(":")
    if not mark or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"found {text!r}; expected IP:PORT")
    return Address(host, int(port))


def _ports(text):
    first, _, last = text.partition(",")
    if not first.isdigit() or not last.isdigit() or int(last) < int(first) + 1:
        raise ValueError(f"found {text!r}; expected FIRST,LAST with two ports or more")
    return int(first), int(last)


def _positive(text):
    number = float(text)
    if not 0 < number < math.inf:
        raise ValueError(f"found {text!r}; expected a number above 0")
    return number


def _positive_s(text):
    return _positive(str(duration_s(text)))


def _not_negative(text):
    number = float(text)
    if not 0 <= number < math.inf:
        raise ValueError(f"found {text!r}; expected a number from 0")
    return number


def _names(text):
    return frozenset(name.strip() for name in text.split(",") if name.strip())


def _uses_heartbeat_grants(text):
    if text not in GRANT_WAYS:
        raise ValueError(f"found {text!r}; expected {' or '.join(GRANT_WAYS)}")
    return GRANT_WAYS[text] is GrantWay.HEARTBEATS


def _heartbeat_lease_ms(interval_s):
    """Return the lease in milliseconds that covers a hold through a lost heartbeat.

    >>> _heartbeat_lease_ms(0.87)
    1978
    """
    hold_s = HEARTBEATS_PER_HOLD * interval_s + HOLD_MARGIN_S
    lease_s = hold_s * (1 + SLOW_CLOCK) / (1 - DRIFT_PER_MILLE / 1000)
    return math.ceil(lease_s * 1000)


def _caller_bounds(memory_mb, descriptors):
    """Return the `CallerBounds` of a machine; its limits may be missing.

    >>> _caller_bounds(300, 4100)
    CallerBounds(memory_bytes=94371840, connections=1950, requests=975)
    """
    bounds = CallerBounds()
    if memory_mb is not None:
        memory_bytes = int(memory_mb * MEMORY_SHARE) << 20
        bounds = attrs.evolve(bounds, memory_bytes=memory_bytes)
    if descriptors is not None:
        sockets = max(descriptors - FILE_DESCRIPTORS, descriptors / 2)
        bounds = attrs.evolve(
            bounds,
            connections=int(sockets * CONNECTION_SHARE),
            requests=int(sockets * REQUEST_SHARE),
        )
    return bounds


def read_boot_file(path) -> Result[PlatformSettings, list]:
    """Return ``Success(PlatformSettings)``, or ``Failure`` with all findings."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([f"{path}: {error}"])
    fields = _Fields(path, text)
    settings = _settings(fields)
    return Failure(fields.findings) if fields.findings else Success(settings)


def _settings(fields):
    read, optional = fields.read, fields.read_optional
    host = read("self.ip", str, "")
    listen_prefix = "network.listen."
    bounds_prefix = "terms.bounds."
    callers = read(listen_prefix + "outbound", _address)
    ready = read(listen_prefix + "ready", _address)
    heartbeats = read(listen_prefix + "control", _address)
    store = read("platform.platform.address", _address)
    peer_port, last_port = read("network.internalPorts", _ports, (0, 0))
    node_id = read("self.node", str, "")
    zone = read("self.zone", str, "")
    region = read("self.region", str, "")
    service = read("self.service", str, "")
    numbers = {
        "heartbeat_interval_s": read("platform.heartbeat", duration_s, 1.0),
        "drain_s": read(bounds_prefix + "drain", duration_s, 2.0),
        "grace_s": read(bounds_prefix + "grace", duration_s, 6.0),
        "longest_hold_s": read(bounds_prefix + "maxHold", duration_s, 10.0),
        "routes_apply_s": read(bounds_prefix + "configApply", duration_s, 2.0),
        "retry_fraction": read(bounds_prefix + "retryBudgetRatio", _positive, 0.2),
        "retry_window_s": read(bounds_prefix + "budgetWindow", _positive_s, 10.0),
        "extra_retries": read(bounds_prefix + "budgetExtra", _not_negative, 0.0),
        "evacuate_s": optional(bounds_prefix + "evacuate", duration_s, 5.0),
        "cold_overage": optional(bounds_prefix + "coldOverage", _positive, 1.0),
        "cold_extra_requests": optional(bounds_prefix + "coldExtra", _not_negative, 0),
        "store_writes_per_s": read("platform.platform.writesPerS", _positive, 400.0),
        "store_reads_per_s": read("platform.platform.readsPerS", _positive, 2000.0),
    }
    caller_bounds = _caller_bounds(
        optional("self.limits.memoryMb", _positive, None),
        optional("self.limits.maxFds", _positive, None),
    )
    contracts = optional("terms.contracts", _names, frozenset())
    uses_heartbeat_grants = read("grants", _uses_heartbeat_grants, False)
    if fields.findings:
        return None
    lease_ms = LEASE_MS
    if uses_heartbeat_grants:
        lease_ms = max(lease_ms, _heartbeat_lease_ms(numbers["heartbeat_interval_s"]))
    node = NodeSettings(
        node_id=node_id,
        host=host,
        caller_port=callers.port,
        peer_port=peer_port,
        operator_port=peer_port + 1,
        backend_port=heartbeats.port,
        failure_domain=zone,
        region=region,
        log=store,
        lease_ms=lease_ms,
        drift_per_mille=DRIFT_PER_MILLE,
    )
    return PlatformSettings(
        node=node,
        zones=tuple({zone, *fields.names_below("network.zones.")}),
        service=service,
        callers=callers,
        ready=ready,
        heartbeats=heartbeats,
        store=store,
        grant_interval_s=numbers["heartbeat_interval_s"]
        if uses_heartbeat_grants
        else 0.0,
        contracts=contracts,
        caller_bounds=caller_bounds,
        **numbers,
    )
