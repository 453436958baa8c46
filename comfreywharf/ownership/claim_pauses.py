"""When a standby may begin its next claim on an owner's lease."""

__all__ = ["ClaimPauses"]

CONTESTED_LEASES = 1.0
"""The pause after a claim without a majority, in leases."""

DENIED_PAUSE_S = 0.25
"""The pause after a claim was denied for its view of the owner, in seconds. A witness
that has just restarted also denies the newest view."""


class ClaimPauses:
    """Keep a standby from claims that would fail as its last one on the same owner did.

    Each witness of an owner notifies the standbys again and again. Without the pauses,
    a claim would begin with each notice.
    """

    def __init__(self, terms):
        self._terms = terms
        self._contested_until_s = {}
        self._denied = {}

    def contested(self, owner_id, now_s):
        """Register a claim that some witnesses granted, but no majority.

        If an owner and its standby are each granted by some witnesses, neither gets a
        majority and each blocks the other. The standby pauses for long enough that a
        live owner can renew its lease.
        """
        pause_s = CONTESTED_LEASES * self._terms.lease_s
        self._contested_until_s[owner_id] = now_s + pause_s

    def denied(self, owner_id, view, now_s):
        """Register that a claim was denied for its view, a pair of epochs.

        It would be denied again until this node folds the record that it lacks, or
        until another taker's claim ends.
        """
        self._denied = {
            known_id: known
            for known_id, known in self._denied.items()
            if now_s < known[1]
        }
        self._denied[owner_id] = (view, now_s + DENIED_PAUSE_S)

    def may_begin(self, owner, now_s):
        """Return whether a claim on an owner, a `Member`, may begin now."""
        if now_s < self._contested_until_s.get(owner.node_id, now_s):
            return False
        view, until_s = self._denied.get(owner.node_id, (None, now_s))
        return now_s >= until_s or view != (owner.lease_epoch, owner.portfolio_epoch)
