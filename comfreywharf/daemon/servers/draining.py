"""Record in the log that this node drains, or that its drain ends."""

import attrs
from absl import logging

from comfreywharf.daemon.records.follower import NotAcknowledged, new_record_id
from comfreywharf.records import DrainChanged

__all__ = ["DrainResult", "record_draining"]

APPEND_TIMEOUT_S = 1.0


@attrs.frozen
class DrainResult:
    """Whether the log accepted a record; if not, when to try again, in seconds."""

    accepted: bool
    retry_after_s: float = 0.0


def record_draining(node, draining):
    """Append a `DrainChanged` record; return a `DrainResult`.

    The append times out after `APPEND_TIMEOUT_S`.
    """
    node_id = node.settings.node_id
    record = DrainChanged(
        record_id=new_record_id(), node_id=node_id, draining=draining, author=node_id
    )
    try:
        outcome = node.follower.append(record, APPEND_TIMEOUT_S)
        return DrainResult(outcome.accepted)
    except NotAcknowledged as error:
        logging.info(
            "the log has not acknowledged the record draining=%s: %s", draining, error
        )
        return DrainResult(False, error.retry_after_s)
