"""The records of the log, and the deterministic fold that turns them into state.

Each node folds the same records in the order of their offsets and so reaches the
same state. A record that is based on a stale version is refused by the fold itself,
at the same offset on each node.
"""

from comfreywharf.records.changes import ChangesSince, changes_since
from comfreywharf.records.codec import RecordError, decode_record, encode_record
from comfreywharf.records.fold import FoldResult, Refusal, fold
from comfreywharf.records.messages import (
    ConfigPatched,
    DrainChanged,
    LeaseStarted,
    MoveCompleted,
    NodeAnnounced,
    NodeRemoved,
    PlannerTermStarted,
    Record,
    SliceMove,
    SlicesMerged,
    SlicesMoved,
    SliceSplit,
    SlicesTaken,
    SliceTake,
    SnapshotWritten,
    UnknownRecord,
    WitnessesReset,
)
from comfreywharf.records.services import (
    DEFAULT_RETRY_FRACTION,
    Configuration,
    ServiceConfig,
)
from comfreywharf.records.slices import (
    KEY_SPACE,
    NUMBER_KEYS,
    Slice,
    SliceMap,
    key_hash,
    number_key,
    numbers_in,
    range_of_numbers,
)
from comfreywharf.records.state import ClusterState, Member
from comfreywharf.records.validation import ServiceFinding, check_patch, check_service

__all__ = [
    "DEFAULT_RETRY_FRACTION",
    "KEY_SPACE",
    "NUMBER_KEYS",
    "ChangesSince",
    "ClusterState",
    "ConfigPatched",
    "Configuration",
    "DrainChanged",
    "FoldResult",
    "LeaseStarted",
    "Member",
    "MoveCompleted",
    "NodeAnnounced",
    "NodeRemoved",
    "PlannerTermStarted",
    "Record",
    "RecordError",
    "Refusal",
    "ServiceConfig",
    "ServiceFinding",
    "Slice",
    "SliceMap",
    "SliceMove",
    "SliceSplit",
    "SliceTake",
    "SlicesMerged",
    "SlicesMoved",
    "SlicesTaken",
    "SnapshotWritten",
    "UnknownRecord",
    "WitnessesReset",
    "changes_since",
    "check_patch",
    "check_service",
    "decode_record",
    "encode_record",
    "fold",
    "key_hash",
    "number_key",
    "numbers_in",
    "range_of_numbers",
]
