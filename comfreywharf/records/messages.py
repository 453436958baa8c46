"""Typed messages for the records that nodes and operators append to the log."""

import attrs

from comfreywharf.records.services import ServiceConfig

__all__ = [
    "ConfigPatched",
    "DrainChanged",
    "LeaseStarted",
    "MoveCompleted",
    "NodeAnnounced",
    "NodeRemoved",
    "PlannerTermStarted",
    "Record",
    "SliceMove",
    "SliceSplit",
    "SliceTake",
    "SlicesMerged",
    "SlicesMoved",
    "SlicesTaken",
    "SnapshotWritten",
    "UnknownRecord",
    "WitnessesReset",
]


@attrs.frozen(kw_only=True)
class Record:
    """The base class of records.

    With ``record_id``, a writer that got no answer to an append can find out from
    the log whether the record was appended.
    """

    record_id: str


@attrs.frozen(kw_only=True)
class ConfigPatched(Record):
    """A change of the configuration, based on a numbered version.

    A service that maps to ``None`` is removed; one that isn't named is kept.
    """

    base_version: int
    services: dict[str, ServiceConfig | None]
    author: str
    note: str = ""


@attrs.frozen(kw_only=True)
class NodeAnnounced(Record):
    """The addresses of a node that has started, and its backend server."""

    node_id: str
    incarnation: int
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    failure_domain: str
    region: str
    service: str = ""
    checks_fences: bool = False
    slots: int = 0
    connections: int = 0


@attrs.frozen(kw_only=True)
class LeaseStarted(Record):
    """A node starts to hold its lease, with these witnesses.

    The record is appended only after the lease was granted, and the node owns
    nothing before it has read the record back. A takeover that is based on the
    earlier epoch is refused.
    """

    node_id: str
    incarnation: int
    base_lease_epoch: int
    witnesses: tuple[str, ...]


@attrs.frozen(kw_only=True)
class WitnessesReset(Record):
    """A node that can't reach a majority of its witnesses replaces them.

    The node owns nothing until no earlier witness can grant anything any more:
    each witness grants only for a bounded time after its fold was confirmed, and by
    the end of that time its fold has this record.
    """

    node_id: str
    incarnation: int
    base_lease_epoch: int
    witnesses: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SliceMove:
    """One slice's new owner and standby; empty means none."""

    service: str
    start: int
    base_epoch: int
    owner: str
    standby: str


@attrs.frozen(kw_only=True)
class SlicesMoved(Record):
    """A planner's assignment. Each move is accepted or refused by its own epoch."""

    term: int
    moves: tuple[SliceMove, ...]


@attrs.frozen(kw_only=True)
class SliceTake:
    """One slice that a standby took over, and its next standby."""

    service: str
    start: int
    base_epoch: int
    standby: str = ""


@attrs.frozen(kw_only=True)
class SlicesTaken(Record):
    """A takeover under a lease that the witnesses granted to the standby."""

    owner_id: str
    lease_epoch: int
    taker_id: str
    taker_incarnation: int
    slices: tuple[SliceTake, ...]


@attrs.frozen(kw_only=True)
class MoveCompleted(Record):
    """The new owner received the earlier owner's release."""

    service: str
    start: int
    epoch: int


@attrs.frozen(kw_only=True)
class SliceSplit(Record):
    """Split a slice at a hash; a slice of width one isolates a hot key."""

    service: str
    start: int
    base_epoch: int
    at: int


@attrs.frozen(kw_only=True)
class SlicesMerged(Record):
    """Merge a slice with the next one, which has the same owner and standby."""

    service: str
    start: int
    base_epoch: int
    next_base_epoch: int


@attrs.frozen(kw_only=True)
class DrainChanged(Record):
    """An operator or a stopping node starts or ends a drain."""

    node_id: str
    draining: bool
    author: str


@attrs.frozen(kw_only=True)
class NodeRemoved(Record):
    """A node that won't return: it left, or an operator reports its VM as destroyed."""

    node_id: str
    incarnation: int


@attrs.frozen(kw_only=True)
class PlannerTermStarted(Record):
    """A node becomes the planner; records with an earlier term are refused."""

    node_id: str
    base_term: int


@attrs.frozen(kw_only=True)
class SnapshotWritten(Record):
    """All parts of a snapshot have been written to the stream of snapshots.

    ``offset`` is the `ClusterState.next_offset` of the state in the snapshot.
    """

    node_id: str
    offset: int


@attrs.frozen(kw_only=True)
class UnknownRecord(Record):
    """A record of a kind that this version doesn't support; the fold refuses it."""

    kind: str
