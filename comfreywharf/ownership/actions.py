"""Actions that the `OwnershipAgent` requests from the daemon."""

import attrs

from comfreywharf.ownership.claims import SliceKey
from comfreywharf.ownership.messages import Claim, Renewal
from comfreywharf.records import Record

__all__ = [
    "Action",
    "Append",
    "ProbeMembers",
    "Purpose",
    "Report",
    "RequestRelease",
    "SendClaim",
    "SendRenewal",
    "SendUnclaim",
    "report",
]


class Action:
    """Base class of all requested actions."""


@attrs.frozen
class ProbeMembers(Action):
    """Probe which members can be reached, and report them to the agent."""


@attrs.frozen
class SendRenewal(Action):
    """Send a renewal to a witness.

    Its grant goes to `OwnershipAgent.renewal_granted`.
    """

    witness: str
    renewal: Renewal


@attrs.frozen
class SendClaim(Action):
    """Send a claim to a witness; its grant goes to `OwnershipAgent.claim_granted`."""

    witness: str
    claim: Claim


@attrs.frozen
class SendUnclaim(Action):
    """Send a witness the end of a claim, with the deadlines that still count."""

    witness: str
    claim: Claim


@attrs.frozen
class Purpose:
    """The reason why a record is appended, passed back with its outcome.

    ``detail`` identifies the lease, claim or slice that the record is for.
    """

    kind: str
    detail: object


@attrs.frozen
class Append(Action):
    """Append a record; its outcome goes to `OwnershipAgent.appended`."""

    purpose: Purpose
    record: Record


@attrs.frozen
class RequestRelease(Action):
    """Request a slice's release while `OwnershipAgent.awaits_release` is true."""

    previous: str
    key: SliceKey


@attrs.frozen
class Report(Action):
    """Report an event to the operators."""

    name: str
    fields: dict[str, object]


def report(name, /, **fields):
    """Return the `Report` of an event that the event catalogue lists."""
    return Report(name, fields)
