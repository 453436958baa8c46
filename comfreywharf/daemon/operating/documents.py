"""The JSON documents of the operators' port, as typed messages.

The node and the operators' tool share them. Fields are only ever added: a tool
of another version ignores the fields that it doesn't know.
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
    "EvacuationDocument",
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
"""The reason of a refusal if the record was never sent to the log."""


class Verdict(Enum):
    """The outcome of a record; unknown until the record is read back from the log."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ErrorDocument:
    """Why a request failed; ``wrong`` lists each invalid value with its path."""

    error: str
    wrong: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StatusDocument:
    """The status of one node.

    ``state`` is the node's lifecycle state. ``log_read`` is false while the node
    hasn't read the log to its end, or misses records. ``lease`` is the phase of
    its lease. ``serving`` maps each service to the number of its slices that the node
    may serve now. ``wall_clock_ms`` is in milliseconds since the epoch. ``limit_per_s``
    are the requests per second that the backend server takes, since ``limited_ms``
    milliseconds, if it names a limit. ``backend_leaves`` is true once it leaves.
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
    limit_per_s: float | None = None
    limited_ms: int = 0
    backend_leaves: bool = False


@attrs.frozen(kw_only=True)
class NodeDocument:
    """One node, as recorded in the log."""

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
    """One service: numbers of its nodes, and of its slices by their state."""

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
    """The owner of a key: the slice that contains its hash, and the owner's reason.

    ``since_offset`` is the offset of the record that last changed the slice, and
    ``config_version`` the version that was in force there. ``previous`` is an
    earlier owner that still has to release the slice.
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
    """A configuration: for each service, the texts of its settings by name."""

    version: int
    offset: int
    author: str
    note: str
    services: dict[str, dict[str, str]]


@attrs.frozen(kw_only=True)
class VersionDocument:
    """One version in the history of the configuration.

    ``changes`` are the lines of the differences from the previous version.
    """

    version: int
    offset: int
    author: str
    note: str
    changes: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PatchOrder:
    """A patch of a version: a service's settings as texts, or ``None`` to remove it."""

    record_id: str
    base_version: int
    author: str
    services: dict[str, dict[str, str] | None]
    note: str = ""


@attrs.frozen(kw_only=True)
class SubmissionDocument:
    """The outcome of a record that an operator submitted.

    ``version`` is in force at the answering node, and ``next_offset`` is the offset
    of the next record that it reads. ``changed_since`` lists, in lines, what changed
    since the base version of a refused patch. A record that was never sent may be
    submitted again after ``retry_after_ms``.
    """

    record_id: str
    verdict: Verdict
    reason: str = ""
    offset: int = -1
    version: int
    next_offset: int
    changed_since: tuple[str, ...] = ()
    retry_after_ms: int = 0


@attrs.frozen(kw_only=True)
class DrainOrder:
    """An order to drain a node, or to end its drain."""

    node_id: str
    author: str
    record_id: str


@attrs.frozen(kw_only=True)
class DrainDocument:
    """The outcome of a drain order, and how many slices still have to move."""

    submission: SubmissionDocument
    node_id: str
    draining: bool
    owned_slices: int


@attrs.frozen(kw_only=True)
class EvacuationDocument:
    """A failure domain that is evacuated, and how far that has come.

    Its servers get nothing new in ``closes_in_ms``, or now if that is 0. ``nodes`` are
    its members; they still own ``owned_slices``, and haven't released
    ``unreleased_slices`` that were moved.
    """

    domain: str
    version: int
    closes_in_ms: int
    nodes: int
    owned_slices: int
    unreleased_slices: int


@attrs.frozen(kw_only=True)
class QuarantineDocument:
    """A request that crashed backend servers, and is suspected or no longer run."""

    fingerprint: str
    service: str
    standing: str
    crashes: int
    remaining_s: float


@attrs.frozen(kw_only=True)
class LiftOrder:
    """An order to let a quarantined request run again."""

    fingerprint: str
    author: str


@attrs.frozen(kw_only=True)
class CheckDocument:
    """One check of the node: whether it passed, what was found, and advice."""

    name: str
    well: bool
    found: str
    advice: str = ""


@attrs.frozen(kw_only=True)
class DoctorDocument:
    """The results of all checks of a node."""

    node_id: str
    checks: tuple[CheckDocument, ...]
