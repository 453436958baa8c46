"""Read a node's settings file and report all findings together."""

from returns.result import Failure, Result, Success

from comfreywharf.settings.document import read_document
from comfreywharf.settings.findings import Finding
from comfreywharf.settings.kinds import (
    AddressesKind,
    AddressKind,
    HostKind,
    IntegerKind,
    NameKind,
    PortKind,
    YesNoKind,
)
from comfreywharf.settings.model import Address, NodeSettings
from comfreywharf.settings.schema import Key, check_names, read_keys

__all__ = ["SECTIONS", "read_settings"]

MIN_LEASE_MS = 200
MAX_LEASE_MS = 10_000
MAX_DRIFT_PER_MILLE = 50
MIN_CALLER_MEMORY_MB = 4
MAX_CALLER_MEMORY_MB = 1 << 20
MAX_CALLERS = 1_000_000

SECTIONS = {
    "node": (
        Key("id", NameKind(), required=True),
        Key("host", HostKind(), required=True),
        Key("caller_port", PortKind(), required=True),
        Key("peer_port", PortKind(), required=True),
        Key("operator_port", PortKind(), required=True),
        Key("backend_port", PortKind(), required=True),
        Key("failure_domain", NameKind(), required=True),
        Key("region", NameKind(), required=True),
        Key("advertised_peer_port", PortKind()),
    ),
    "log": (
        Key("address", AddressKind(), required=True),
        Key("stream", NameKind()),
    ),
    "cluster": (
        Key("seeds", AddressesKind()),
        Key("lease_ms", IntegerKind(MIN_LEASE_MS, MAX_LEASE_MS, "ms")),
        Key("drift_per_mille", IntegerKind(0, MAX_DRIFT_PER_MILLE, "per mille")),
    ),
    "callers": (
        Key("memory_mb", IntegerKind(MIN_CALLER_MEMORY_MB, MAX_CALLER_MEMORY_MB, "MB")),
        Key("connections", IntegerKind(1, MAX_CALLERS)),
        Key("requests", IntegerKind(1, MAX_CALLERS)),
    ),
    "load": (
        Key("choose_by_load", YesNoKind()),
        Key("fleet_admission", YesNoKind()),
        Key("place_by_work", YesNoKind()),
    ),
}

_PORTS = ("caller_port", "peer_port", "operator_port", "backend_port")
_FIELDS = {
    "id": "node_id",
    "address": "log",
    "stream": "log_stream",
    "memory_mb": "caller_memory_mb",
    "connections": "caller_connections",
    "requests": "caller_requests",
}
"""The fields of `NodeSettings` whose names differ from their keys in the file."""


def read_settings(path) -> Result[NodeSettings, list[Finding]]:
    """Return ``Success(NodeSettings)`` or ``Failure`` with every finding.

    The findings are ordered by line. A file with findings isn't used in part: a
    node that used a default in place of a mistyped key would run with a lease or
    a port that its operator didn't intend.
    """
    document = read_document(path)
    if document.sections or not document.findings:
        values = _read_sections(document)
        _check_ports(document, values)
        _check_seeds(document, values)
    if document.findings:
        return Failure(sorted(document.findings, key=lambda finding: finding.line))
    return Success(NodeSettings(**values))


def _read_sections(document):
    check_names(document, SECTIONS)
    values = {}
    for section, keys in SECTIONS.items():
        for key, value in read_keys(document, section, keys).items():
            values[_FIELDS.get(key, key)] = value
    return values


def _check_ports(document, values):
    """Add findings for ports used twice, which would fail one by one at the start."""
    used = {}
    for name in _PORTS:
        port = values.get(name)
        if port is None:
            continue
        if port in used:
            document.add_finding(
                f"a port that {used[port]} has not", str(port), "node", name
            )
        used.setdefault(port, name)


def _check_seeds(document, values):
    """Add a finding if the only seed is the node itself: it would find no peers."""
    own = Address(values.get("host"), values.get("peer_port"))
    if values.get("seeds") == (own,):
        document.add_finding(
            "peer addresses of other nodes",
            AddressKind().write(own),
            "cluster",
            "seeds",
        )
