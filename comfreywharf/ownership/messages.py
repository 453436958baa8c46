"""What holders, takers and witnesses say to each other, as typed values."""

from enum import Enum

import attrs

__all__ = ["Claim", "Denial", "Grant", "OwnerView", "Renewal"]


class Denial(Enum):
    """Why a witness grants nothing."""

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
    """A node asks to hold, or go on holding, its own lease.

    ``lease_s`` of zero gives the lease up. ``reach_s`` is how far outstanding
    deadlines reach, from the sending. ``round`` grows with each renewal. ``vouched``
    says that a grant of the asked witness still counts at the sending.
    """

    owner_id: str
    incarnation: int
    lease_epoch: int
    portfolio_epoch: int
    lease_s: float
    reach_s: float
    round: int
    vouched: bool = False


@attrs.frozen(kw_only=True)
class Claim:
    """A standby asks for the lease of an owner that let it lapse.

    The two epochs are the owner's, as the taker folded them.
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
        """Return the state of the owner that the claim is built on."""
        return self.lease_epoch, self.portfolio_epoch


@attrs.frozen(kw_only=True)
class Grant:
    """A witness's answer.

    ``term`` is the same as long as the witness has neither restarted nor
    granted the lease to anyone else.
    """

    granted: bool
    term: int = 0
    retry_after_s: float = 0.0
    denial: Denial = Denial.NONE


@attrs.frozen(kw_only=True)
class OwnerView:
    """What a witness's own fold says of an owner."""

    incarnation: int = -1
    lease_epoch: int = -1
    lease_incarnation: int = -1
    portfolio_epoch: int = -1
    checks_fences: bool = False
