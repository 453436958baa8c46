"""Append an operator's record to the log, and return its outcome."""

import math

import attrs
from returns.result import Failure

from comfreywharf.daemon.operating.documents import (
    NOT_SENT,
    SubmissionDocument,
    Verdict,
)
from comfreywharf.daemon.operating.jsonport import BadInput
from comfreywharf.daemon.operating.views import changed_since, configuration_at
from comfreywharf.daemon.records.follower import NotAcknowledged
from comfreywharf.declarations import service_from_fields
from comfreywharf.records import ConfigPatched, Refusal

__all__ = ["patch_from_order", "submission_document", "submit_patch", "submit_record"]


MAX_TEXT_CHARACTERS = 200
MAX_RECORD_ID_CHARACTERS = 64


def patch_from_order(order):
    """Return the `ConfigPatched` of a `PatchOrder`, or raise `BadInput`."""
    wrong = []
    for field, limit in (
        ("record_id", MAX_RECORD_ID_CHARACTERS),
        ("author", MAX_TEXT_CHARACTERS),
    ):
        if not 1 <= len(getattr(order, field)) <= limit:
            wrong.append(f"{field}: expected 1 to {limit} characters")
    if len(order.note) > MAX_TEXT_CHARACTERS:
        wrong.append(f"note: expected at most {MAX_TEXT_CHARACTERS} characters")
    if not order.services:
        wrong.append("services: found none; expected at least one change")
    services = {}
    for name, fields in order.services.items():
        services[name] = None
        if fields is None:
            continue
        parsed = service_from_fields(name, fields)
        if isinstance(parsed, Failure):
            wrong += parsed.failure()
        else:
            services[name] = parsed.unwrap()
    if wrong:
        raise BadInput(400, "the patch has faults", wrong)
    return ConfigPatched(
        record_id=order.record_id,
        base_version=order.base_version,
        services=services,
        author=order.author,
        note=order.note,
    )


def submit_patch(follower, record):
    """Append a patch and return its outcome as a `SubmissionDocument`.

    A patch whose base version is below the version in force can't be accepted any
    more, since versions only grow. It is refused here without an append to the log.
    """
    document = submission_document(
        follower.state, record.record_id, record.base_version
    )
    if document.verdict != Verdict.UNKNOWN:
        return document
    return submit_record(follower, record, record.base_version)


def submit_record(follower, record, base_version=None):
    """Append a record, wait until it is read back, and return its outcome.

    A record that isn't read back in time isn't acknowledged: it may still take
    effect, and the operator has to query its outcome by its id. A record that was
    never sent to the log is refused for good.
    """
    failure = None
    try:
        follower.append(record)
    except NotAcknowledged as error:
        failure = error
    document = submission_document(follower.state, record.record_id, base_version)
    if document.verdict != Verdict.UNKNOWN or failure is None or failure.sent:
        return document
    return attrs.evolve(
        document,
        verdict=Verdict.REFUSED,
        reason=NOT_SENT,
        retry_after_ms=math.ceil(failure.retry_after_s * 1000),
    )


def _is_base_superseded(state, base_version):
    """Return whether another patch is certain to have been accepted on a base version.

    This is for a patch whose outcome isn't in the state. Only a limited number of
    outcomes is kept. If those from the time of the next version are no longer kept,
    the patch may itself have made that version, and must not be reported as refused.
    """
    successor = configuration_at(state, base_version + 1)
    oldest = next(iter(state.outcomes.values()), None)
    return (
        successor is not None
        and oldest is not None
        and oldest.offset <= successor.offset
    )


def submission_document(state, record_id, base_version=None):
    """Return the outcome of a record, as far as the folded state has it."""
    verdict, reason, offset = Verdict.UNKNOWN, "not-read-back", -1
    outcome = state.outcomes.get(record_id)
    if outcome is not None:
        verdict = Verdict.ACCEPTED if outcome.accepted else Verdict.REFUSED
        reason, offset = outcome.reason, outcome.offset
    elif base_version is not None and _is_base_superseded(state, base_version):
        verdict, reason = Verdict.REFUSED, Refusal.STALE_VERSION.value
    stale = verdict == Verdict.REFUSED and base_version is not None
    return SubmissionDocument(
        record_id=record_id,
        verdict=verdict,
        reason=reason,
        offset=offset,
        version=state.config.version,
        next_offset=state.next_offset,
        changed_since=changed_since(state, base_version) if stale else (),
    )
