"""Convert lease messages between thrift structs and typed values."""

import math

from comfreywharf.ownership import Claim, Denial, Grant, Renewal
from comfreywharf.transport.gen.ttypes import ClaimRequest, GrantReply, RenewRequest

__all__ = [
    "claim_of",
    "claim_request",
    "grant_of",
    "grant_reply",
    "renew_request",
    "renewal_of",
]


def _to_ms(seconds):
    """Return milliseconds, rounded up so that a reach is never sent too short."""
    return math.ceil(seconds * 1000)


def renew_request(renewal):
    """Return the struct for a `Renewal`."""
    return RenewRequest(
        node_id=renewal.owner_id,
        incarnation=renewal.incarnation,
        lease_epoch=renewal.lease_epoch,
        portfolio_epoch=renewal.portfolio_epoch,
        lease_ms=_to_ms(renewal.lease_s),
        reach_ms=_to_ms(renewal.reach_s),
        event_clock=0,
        round=renewal.round,
        vouched=renewal.vouched,
        predecessor_ended=renewal.predecessor_ended,
    )


def renewal_of(request):
    """Return the `Renewal` in a struct."""
    return Renewal(
        owner_id=request.node_id,
        incarnation=request.incarnation,
        lease_epoch=request.lease_epoch,
        portfolio_epoch=request.portfolio_epoch,
        lease_s=request.lease_ms / 1000,
        reach_s=request.reach_ms / 1000,
        round=request.round,
        vouched=request.vouched,
        predecessor_ended=bool(request.predecessor_ended),
    )


def claim_request(claim):
    """Return the struct for a `Claim`."""
    return ClaimRequest(
        owner_id=claim.owner_id,
        taker_id=claim.taker_id,
        taker_incarnation=claim.taker_incarnation,
        lease_epoch=claim.lease_epoch,
        portfolio_epoch=claim.portfolio_epoch,
        lease_ms=_to_ms(claim.lease_s),
        reach_ms=_to_ms(claim.reach_s),
        event_clock=0,
        round=claim.round,
    )


def claim_of(request):
    """Return the `Claim` in a struct."""
    return Claim(
        owner_id=request.owner_id,
        taker_id=request.taker_id,
        taker_incarnation=request.taker_incarnation,
        lease_epoch=request.lease_epoch,
        portfolio_epoch=request.portfolio_epoch,
        lease_s=request.lease_ms / 1000,
        reach_s=request.reach_ms / 1000,
        round=request.round,
    )


def grant_reply(grant):
    """Return the struct for a `Grant`."""
    return GrantReply(
        granted=grant.granted,
        term=grant.term,
        retry_after_ms=_to_ms(grant.retry_after_s),
        reason=grant.denial.value,
        event_clock=0,
    )


def grant_of(reply):
    """Return the `Grant` in a struct."""
    return Grant(
        granted=reply.granted,
        term=reply.term,
        retry_after_s=reply.retry_after_ms / 1000,
        denial=Denial(reply.reason),
    )
