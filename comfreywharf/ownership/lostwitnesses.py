"""Decide when a node whose witnesses are lost chooses others, and which ones."""

import attrs

from comfreywharf.ownership.witnesses import choose_witnesses

__all__ = ["LostWitnesses"]

PROBE_AFTER_LEASES = 0.4
"""How long a majority is missing before the members are probed."""

RESET_AFTER_LEASES = 2.5
"""Longer than a restart takes. A reset makes the node wait for
`LeaseTerms.reset_wait_s`, 12 s. With a shorter time, nodes had to wait for that after
the loss of all nodes if their witnesses restarted a second after them."""

ANSWER_AGE_LEASES = 0.7
"""The age up to which an answer shows that its witness isn't lost."""

PROBE_FRESH_S = 3.0
"""The age up to which the result of a probe counts."""


@attrs.define
class LostWitnesses:
    """Track whether a majority of the witnesses answers at all.

    A witness that refuses is present and may have granted the lease to another node;
    only a silent one counts as lost. A node that permanently loses two of three
    witnesses could otherwise never get a majority, and its keys would stay
    unavailable. ``longest_lease_s`` bounds the node's own leases.
    """

    terms: object
    longest_lease_s: float = 0.0
    _answered_s: dict = attrs.Factory(dict)
    _no_majority_since_s: float | None = None
    _probed_s: float = float("-inf")
    _reachable: frozenset = frozenset()
    _pending_since_s: float | None = None

    def answer_received(self, witness, now_s):
        """Register any answer of a witness."""
        self._answered_s[witness] = now_s

    def members_probed(self, reachable, now_s):
        """Register which members can be reached."""
        self._reachable = frozenset(reachable)
        self._probed_s = now_s

    def must_wait(self, pending, now_s):
        """Return whether to wait with renewals after a reset of the witnesses.

        The wait counts from when this process folded the record. An earlier process
        of this node may have waited already, but left no record of when.
        """
        if not pending:
            self._pending_since_s = None
            return False
        if self._pending_since_s is None:
            self._pending_since_s = now_s
        wait_s = self.terms.reset_wait_after_s(self.longest_lease_s)
        return now_s < self._pending_since_s + wait_s

    def evaluate(self, witnesses, requesting, now_s):
        """Return ``(wants_probe, wants_reset)`` for a node's current witnesses.

        ``wants_probe`` says that the members have to be probed, and ``wants_reset``
        that a majority is lost and other witnesses have to be chosen.
        """
        if self.terms.stale_after_s is None or not witnesses or not requesting:
            self._no_majority_since_s = None
            return False, False
        limit_s = now_s - ANSWER_AGE_LEASES * self.terms.lease_s
        answering = sum(
            self._answered_s.get(w, float("-inf")) > limit_s for w in witnesses
        )
        if 2 * answering > len(witnesses):
            self._no_majority_since_s = None
            return False, False
        if self._no_majority_since_s is None:
            self._no_majority_since_s = now_s
        missing_s = now_s - self._no_majority_since_s
        fresh = now_s - self._probed_s < PROBE_FRESH_S
        wants_probe = not fresh and missing_s >= PROBE_AFTER_LEASES * self.terms.lease_s
        wants_reset = fresh and missing_s >= RESET_AFTER_LEASES * self.terms.lease_s
        return wants_probe, wants_reset

    def choose(self, state, node_id):
        """Return new witnesses among the members that can be reached."""
        avoided = set(state.members) - self._reachable
        return choose_witnesses(
            state, node_id, avoided=avoided, wanted=self.terms.witnesses
        )
