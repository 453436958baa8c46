"""Decide which node may serve a key: leases, witnesses, takeovers, releases."""

from comfreywharf.ownership.actions import (
    Append,
    ProbeMembers,
    Purpose,
    Report,
    RequestRelease,
    SendClaim,
    SendRenewal,
    SendUnclaim,
)
from comfreywharf.ownership.agent import OwnershipAgent, longest_lease_s
from comfreywharf.ownership.claims import HeldClaim, SliceKey, share_of
from comfreywharf.ownership.handover import ReleaseDecision, decide_release
from comfreywharf.ownership.holder import Holder, OwnLease
from comfreywharf.ownership.inflight import InFlight, Ticket
from comfreywharf.ownership.messages import Claim, Denial, Grant, OwnerView, Renewal
from comfreywharf.ownership.quorum import QuorumLease
from comfreywharf.ownership.table import OwnershipTable, Right
from comfreywharf.ownership.terms import LeaseTerms
from comfreywharf.ownership.witness import Witness
from comfreywharf.ownership.witnesses import MIN_WITNESSES, choose_witnesses

__all__ = [
    "MIN_WITNESSES",
    "Append",
    "Claim",
    "Denial",
    "Grant",
    "HeldClaim",
    "Holder",
    "InFlight",
    "LeaseTerms",
    "OwnLease",
    "OwnerView",
    "OwnershipAgent",
    "OwnershipTable",
    "ProbeMembers",
    "Purpose",
    "QuorumLease",
    "ReleaseDecision",
    "Renewal",
    "Report",
    "RequestRelease",
    "Right",
    "SendClaim",
    "SendRenewal",
    "SendUnclaim",
    "SliceKey",
    "Ticket",
    "Witness",
    "choose_witnesses",
    "decide_release",
    "longest_lease_s",
    "share_of",
]
