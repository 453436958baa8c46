"""The durations on which leases rest, and the bound on drift between clocks."""

import attrs

__all__ = ["LeaseTerms"]

RENEWALS_PER_LEASE = 4
RESET_MARGIN_S = 0.1


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """How long a lease lasts, seen from its holder and from its witness.

    ``drift`` bounds how much faster one machine's monotonic clock runs than
    another's, as a fraction. Both sides allow for it: the holder counts a
    shorter time from when it sent, the witness a longer one from when it
    received. Clocks that disagree by more than the bound void the proof.
    A witness that was silent for ``replace_witness_after_s`` is replaced. A lease
    has as many ``witnesses`` where there are enough other members.

    A witness whose fold the log hasn't confirmed for ``stale_after_s`` grants
    nothing. That bounds how long one can grant by an assignment which has passed,
    and lets a node whose witnesses are lost take others; ``None``: no bound.
    """

    @property
    def reset_wait_s(self):
        """Return after which time no earlier witness may have granted anything."""
        slack = 1 + self.drift
        return self.stale_after_s * slack + self.lease_s * slack**2 + RESET_MARGIN_S

    lease_s: float = 1.0
    drift: float = 0.005
    replace_witness_after_s: float = 10.0
    stale_after_s: float | None = None
    witnesses: int = 3

    @property
    def renew_interval_s(self):
        """Return how often a holder renews."""
        return self.lease_s / RENEWALS_PER_LEASE

    def held_until_s(self, sent_s):
        """Return when the holder must stop, by its clock."""
        return sent_s + self.lease_s * (1 - self.drift)

    def expires_s(self, received_s, lease_s):
        """Return when the witness lets go, by its clock."""
        return received_s + lease_s * (1 + self.drift)

    def silent_until_s(self, started_s):
        """Return until when a restarted witness grants nothing.

        It has forgotten what it granted; after this long, all of that lapsed.
        """
        return started_s + self.lease_s * (1 + self.drift) ** 2
