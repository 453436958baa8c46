"""The durations of leases, and the bound on the drift between clocks."""

import attrs

__all__ = ["LeaseTerms"]

RENEWALS_PER_LEASE = 4
RESET_MARGIN_S = 0.1


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """The duration of a lease, as counted by its holder and by its witness.

    ``drift`` bounds how much faster one machine's monotonic clock runs than
    another's, as a fraction. Holder and witness both allow for it: the holder counts a
    shorter time from the sending of its request, the witness a longer one from the
    receipt.
    The proof of sole ownership doesn't hold for clocks that exceed the bound. A
    witness that was silent for ``replace_witness_after_s`` is replaced.
    ``witnesses`` is the number of witnesses of a lease, if there are enough other
    members.

    A witness whose fold the log hasn't confirmed for ``stale_after_s`` grants
    nothing. This bounds how long a witness can grant by an outdated assignment, and
    allows a node whose witnesses are lost to choose others. ``None`` means no bound.

    ``lease_s`` is the shortest lease. An owner whose server's work takes longer gets
    a longer one, up to the bound in its service's configuration. ``renewal_room_s``
    is by how much a lease exceeds the work, so that holds are renewed in time.
    """

    lease_s: float = 1.0
    drift: float = 0.005
    replace_witness_after_s: float = 10.0
    stale_after_s: float | None = None
    witnesses: int = 3
    renewal_room_s: float = 0.5

    @property
    def reset_wait_s(self):
        """Return the time after which no grant of an earlier witness can last."""
        return self.reset_wait_after_s(self.lease_s)

    def reset_wait_after_s(self, longest_lease_s):
        """Return that time for leases that may have been longer than the shortest."""
        slack = 1 + self.drift
        lease_s = max(self.lease_s, longest_lease_s)
        return self.stale_after_s * slack + lease_s * slack**2 + RESET_MARGIN_S

    @property
    def renew_interval_s(self):
        """Return how often a holder renews."""
        return self.lease_s / RENEWALS_PER_LEASE

    def held_until_s(self, sent_s, lease_s=None):
        """Return when a lease ends for the holder, by its clock.

        ``lease_s`` is its length if it isn't the shortest.
        """
        lease_s = self.lease_s if lease_s is None else lease_s
        return sent_s + lease_s * (1 - self.drift)

    def expires_s(self, received_s, lease_s):
        """Return when the lease ends for the witness, by its clock."""
        return received_s + lease_s * (1 + self.drift)

    def silent_until_s(self, started_s, longest_lease_s=0.0):
        """Return until when a restarted witness grants nothing.

        It has lost all records of its earlier grants; they have lapsed by then.
        ``longest_lease_s`` bounds the leases that it may have granted.
        """
        return started_s + max(self.lease_s, longest_lease_s) * (1 + self.drift) ** 2
