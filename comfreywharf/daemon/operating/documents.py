"""The documents of the operators' port, as typed messages.

The node and the operators' tool share them. Fields are only ever added: a tool
of another version ignores what it doesn't know.
"""

from enum import Enum
from typing import Any

import attrs

__all__ = [
    "NOT_SENT",
    "CheckDocument",
    "ConfigDocument",
    "DoctorDocument",
    "DrainDocument",
    "DrainOrder",
    "ErrorDocument",
    "LiftOrder",
    "NodeDocument",
    "OwnerDocument",
    "PatchOrder",
    "QuarantineDocument",
    "ServiceDocument",
    "StatusDocument",
    "SubmissionDocument",
    "Verdict",
    "VersionDocument",
]

NOT_SENT = "not-sent"
"""The reason of a refusal where the record never left the node."""


class Verdict(Enum):
    """What became of a record; unknown while it wasn't read back."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ErrorDocument:
    """Why a question wasn't answered: what was wrong, each with its place."""

    error: str
    wrong: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StatusDocument:
    """What one node knows of itself.

    ``state`` is that of the node's life cycle. ``log_read`` is false while it
    hasn't read the log to its end, or misses records. ``lease`` is the phase of
    its lease, ``serving`` counts the slices of each service that it may serve
    now. ``wall_clock_ms`` is since the epoch.
    """

    node_id: str
    incarnation: int
    failure_domain: str
    region: str
    service: str
    next_offset: int
    config_version: int
    log_reachable: bool
    log_read: bool
    state: str
    lease: str
    serving: dict[str, int]
    owned_slices: int
    standby_slices: int
    draining: bool
    planner_id: str
    planner_term: int
    dropped_events: int
    wall_clock_ms: int
    backend: dict[str, Any] | None = None


@attrs.frozen(kw_only=True)
class NodeDocument:
    """One node, as the log knows it."""

    node_id: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    failure_domain: str
    region: str
    service: str
    incarnation: int
    draining: bool
    owned_slices: int
    standby_slices: int
    awaited_slices: int
    lease_epoch: int
    checks_fences: bool


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """One service: its slices by what is happening to them."""

    name: str
    divided_by_key: bool
    nodes: int
    draining_nodes: int
    slices: int
    unowned_slices: int
    moving_slices: int
    without_standby: int


@attrs.frozen(kw_only=True)
class OwnerDocument:
    """Who owns a key: the slice that holds its hash, and why it is there.

    ``since_offset`` is the offset of the record that last changed the slice, and
    ``config_version`` the version that was in force there. ``previous`` is an
    earlier owner whose release is still awaited.
    """

    service: str
    key_hash: int
    slice_start: int
    slice_end: int
    owner: str
    owner_domain: str
    standby: str
    standby_domain: str
    previous: str
    since_offset: int
    fence: int
    config_version: int
    reason: str


@attrs.frozen(kw_only=True)
class ConfigDocument:
    """A configuration: each service's values as texts by key."""

    version: int
    offset: int
    author: str
    note: str
    services: dict[str, dict[str, str]]


@attrs.frozen(kw_only=True)
class VersionDocument:
    """One entry of the history; ``changes`` are lines, against the one before."""

    version: int
    offset: int
    author: str
    note: str
    changes: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PatchOrder:
    """A patch against a version: texts by key, or ``None`` to remove a service."""

    record_id: str
    base_version: int
    author: str
    services: dict[str, dict[str, str] | None]
    note: str = ""


@attrs.frozen(kw_only=True)
class SubmissionDocument:
    """What became of a record that an operator had appended.

    ``version`` is in force at the answering node; ``next_offset`` is how
    far it has read. ``changed_since`` says, in lines, what changed since the
    base version of a refused patch.
    """

    record_id: str
    verdict: Verdict
    reason: str = ""
    offset: int = -1
    version: int
    next_offset: int
    changed_since: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class DrainOrder:
    """Ask for, or end, the drain of a node."""

    node_id: str
    author: str
    record_id: str


@attrs.frozen(kw_only=True)
class DrainDocument:
    """What became of a drain, and how many slices still have to move."""

    submission: SubmissionDocument
    node_id: str
    draining: bool
    owned_slices: int


@attrs.frozen(kw_only=True)
class QuarantineDocument:
    """A request that crashed backend servers: suspected, or no longer run."""

    fingerprint: str
    service: str
    standing: str
    crashes: int
    remaining_s: float


@attrs.frozen(kw_only=True)
class LiftOrder:
    """Let a quarantined request run again."""

    fingerprint: str
    author: str


@attrs.frozen(kw_only=True)
class CheckDocument:
    """One thing that the node looked at."""

    name: str
    well: bool
    found: str
    advice: str = ""


@attrs.frozen(kw_only=True)
class DoctorDocument:
    """All checks of a node."""

    node_id: str
    checks: tuple[CheckDocument, ...]
