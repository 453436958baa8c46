"""Messages between holders, takers and witnesses, as typed values."""

from enum import Enum

import attrs

__all__ = ["Claim", "Denial", "Grant", "OwnerView", "Renewal"]


class Denial(Enum):
    """Why a witness refuses a grant."""

    NONE = ""
    SILENT = "silent"
    STALE = "stale"
    TAKEN = "taken"
    HELD = "held"
    OLD_ROUND = "old_round"
    OTHER_VIEW = "other_view"
    NOT_WITNESS = "not_witness"


@attrs.frozen(kw_only=True)
class Renewal:
    """A node's request to hold, or continue to hold, its own lease.

    ``lease_s`` of zero gives the lease up. ``reach_s`` is the time from the sending
    to the latest deadline of the forwarded requests. ``round`` grows with each renewal.
    ``vouched`` says that an earlier grant of the receiving witness still counts at
    the sending. ``predecessor_ended`` says that the process which held the lease
    before has certainly ended, and that the sender hasn't held it yet.
    """

    owner_id: str
    incarnation: int
    lease_epoch: int
    portfolio_epoch: int
    lease_s: float
    reach_s: float
    round: int
    vouched: bool = False
    predecessor_ended: bool = False


@attrs.frozen(kw_only=True)
class Claim:
    """A standby's request for a share of an owner's lapsed lease.

    The two epochs are the owner's epochs in the taker's fold. ``reach_s`` and
    ``round`` are as in a `Renewal`, for the taker's requests and claims.
    """

    owner_id: str
    taker_id: str
    taker_incarnation: int
    lease_epoch: int
    portfolio_epoch: int
    lease_s: float
    reach_s: float
    round: int

    @property
    def view(self):
        """Return the owner's epochs on which the claim is based."""
        return self.lease_epoch, self.portfolio_epoch


@attrs.frozen(kw_only=True)
class Grant:
    """A witness's answer to a renewal or a claim.

    ``term`` is the same as long as the witness has neither restarted nor
    granted the lease to anyone else.
    """

    granted: bool
    term: int = 0
    retry_after_s: float = 0.0
    denial: Denial = Denial.NONE


@attrs.frozen(kw_only=True)
class OwnerView:
    """The epochs and incarnations of an owner, according to a witness's own fold.

    ``longest_lease_s`` bounds its leases; zero means the shortest length.
    """

    incarnation: int = -1
    lease_epoch: int = -1
    lease_incarnation: int = -1
    portfolio_epoch: int = -1
    checks_fences: bool = False
    longest_lease_s: float = 0.0
