"""Claims on other nodes' lapsed leases, and the slices that they allow to serve."""

import attrs

from comfreywharf.ownership.messages import Claim
from comfreywharf.ownership.quorum import QuorumLease

__all__ = ["HeldClaim", "SliceKey", "ranges_of", "share_of"]


@attrs.frozen
class SliceKey:
    """A slice at one epoch; the same slice at another epoch has another key."""

    service: str
    start: int
    epoch: int


def share_of(state, taker_id, owner_id):
    """Return the slices that a node may serve once it holds a claim.

    These are the slices of which it is the standby, and those that the claimed
    owner hasn't released yet and that were moved to the node or to an owner whose
    standby it is.
    """
    share = set()
    for service, slice_map in state.slices.items():
        for slice_ in slice_map.slices:
            stands_by = slice_.owner == owner_id and slice_.standby == taker_id
            awaits = slice_.previous == owner_id and taker_id in (
                slice_.owner,
                slice_.standby,
            )
            if stands_by or awaits:
                share.add(SliceKey(service, slice_.start, slice_.epoch))
    return frozenset(share)


def ranges_of(state, share):
    """Return ``(service, start, end)`` of each slice of a share."""
    return frozenset(
        (key.service, key.start, state.slices[key.service].at_start(key.start).end)
        for key in share
    )


class HeldClaim:
    """A claim on one owner's lapsed lease, requested or held.

    The share is fixed when the claim begins: a slice that a later record assigns
    to this node may still be served by another taker under the earlier view.
    A lapsed claim is never held again; a new claim uses the current epochs.
    ``fences`` are those under which slices of the share have been served, ``denials``
    each witness's last `Denial`.
    """

    def __init__(
        self,
        owner,
        taker_id,
        taker_incarnation,
        share,
        terms,
        now_s,
        number,
        ranges=frozenset(),
    ):
        self.owner_id = owner.node_id
        self.share = share
        self.ranges = ranges
        self.began_s = now_s
        self.held_since_s = None
        self.over = False
        self.fences = {}
        self.denials = {}
        self._taker_id = taker_id
        self._taker_incarnation = taker_incarnation
        self._lease_epoch = owner.lease_epoch
        self._portfolio_epoch = owner.portfolio_epoch
        self._terms = terms
        self.lease = QuorumLease(terms, owner.witness_groups, first_round=number)
        self._round_sent_s = float("-inf")

    @property
    def lease_epoch(self):
        """Return the owner's lease epoch on which the claim is based."""
        return self._lease_epoch

    @property
    def view(self):
        """Return the owner's epochs on which the claim is based."""
        return self._lease_epoch, self._portfolio_epoch

    def round_due(self, now_s):
        """Return whether it is time to send the claim to the witnesses."""
        interval_s = self._terms.renew_interval_s
        if self.held_since_s is None:
            interval_s /= 4
        return not self.over and now_s >= self._round_sent_s + interval_s

    def message(self, reach_until_s, now_s, after_round=0):
        """Return the claim to send to each of ``lease.witnesses`` now.

        Its round is higher than ``after_round``, that of this node's newest claim.
        """
        self._round_sent_s = now_s
        self.lease.skip_rounds(after_round)
        number = self.lease.begin_round(now_s, reach_until_s, self._portfolio_epoch)
        return Claim(
            owner_id=self.owner_id,
            taker_id=self._taker_id,
            taker_incarnation=self._taker_incarnation,
            lease_epoch=self._lease_epoch,
            portfolio_epoch=self._portfolio_epoch,
            lease_s=self._terms.lease_s,
            reach_s=max(0.0, reach_until_s - now_s),
            round=number,
        )

    def fence_in_use(self, key, newest_fence):
        """Return the fence of a slice, which stays that of its first use.

        If it rose during the claim, the backend server would refuse what was sent to
        it under the earlier one.
        """
        return self.fences.setdefault(key, newest_fence)

    def grant_received(self, witness, number, term, now_s):
        """Register a witness's grant; return whether it gave the first majority."""
        self.tick(now_s)
        if self.over:
            return False
        self.lease.grant(witness, number, term, now_s)
        self.denials.pop(witness, None)
        if self.held_since_s is None and self.lease.held(now_s):
            self.held_since_s = now_s
            return True
        return False

    def denied(self, witness, denial):
        """Register a witness's denial."""
        self.denials[witness] = denial

    def denials_text(self):
        """Return each witness that denied the claim, and why, for an event."""
        return " ".join(f"{w}:{d.value}" for w, d in sorted(self.denials.items()))

    def tick(self, now_s):
        """Detect the end of the claim; return whether it is over."""
        if self.held_since_s is not None and not self.lease.held(now_s):
            self.over = True
        elif self.held_since_s is None and now_s > self.began_s + self._terms.lease_s:
            self.over = True
        return self.over

    def holds(self, key, now_s):
        """Return whether a slice may be served under this claim now."""
        return (
            not self.over
            and self.held_since_s is not None
            and key in self.share
            and self.lease.held(now_s)
        )
