"""When a node whose witnesses are lost may take others, and which."""

import attrs

from comfreywharf.ownership.witnesses import choose_witnesses

__all__ = ["LostWitnesses"]

PROBE_AFTER_LEASES = 0.4
RESET_AFTER_LEASES = 2.5
"""Longer than a restart takes. A reset costs `LeaseTerms.reset_wait_s`, 12 s; after
the loss of all nodes, two whose witnesses came back a second later had to wait it out.
"""

HEARD_LEASES = 0.7
PROBE_FRESH_S = 3.0


@attrs.define
class LostWitnesses:
    """Watch whether a majority of the witnesses answers at all.

    A witness that refuses is there, and may have granted the lease to somebody
    else; only silence is a loss. A node that lost two of three would wait for one
    of them for ever if their machines are gone: one would see its keys dark.
    """

    terms: object
    _heard_s: dict = attrs.Factory(dict)
    _stuck_since_s: float | None = None
    _probed_s: float = float("-inf")
    _reachable: frozenset = frozenset()
    _pending_since_s: float | None = None

    def heard(self, witness, now_s):
        """Take note of any answer of a witness."""
        self._heard_s[witness] = now_s

    def probed(self, reachable, now_s):
        """Take note of which members can be reached."""
        self._reachable = frozenset(reachable)
        self._probed_s = now_s

    def waits(self, pending, now_s):
        """Return whether a reset's wait isn't over.

        It counts from when this process saw the record: an earlier process of
        this node may have waited already, but nobody remembers how long.
        """
        if not pending:
            self._pending_since_s = None
            return False
        if self._pending_since_s is None:
            self._pending_since_s = now_s
        return now_s < self._pending_since_s + self.terms.reset_wait_s

    def look(self, witnesses, asking, now_s):
        """Return ``(wants_probe, wants_reset)`` for a node's present witnesses."""
        if self.terms.stale_after_s is None or not witnesses or not asking:
            self._stuck_since_s = None
            return False, False
        limit_s = now_s - HEARD_LEASES * self.terms.lease_s
        heard = sum(self._heard_s.get(w, float("-inf")) > limit_s for w in witnesses)
        if 2 * heard > len(witnesses):
            self._stuck_since_s = None
            return False, False
        if self._stuck_since_s is None:
            self._stuck_since_s = now_s
        stuck_s = now_s - self._stuck_since_s
        fresh = now_s - self._probed_s < PROBE_FRESH_S
        wants_probe = not fresh and stuck_s >= PROBE_AFTER_LEASES * self.terms.lease_s
        wants_reset = fresh and stuck_s >= RESET_AFTER_LEASES * self.terms.lease_s
        return wants_probe, wants_reset

    def choose(self, state, node_id):
        """Return new witnesses among the members that can be reached."""
        avoided = set(state.members) - self._reachable
        return choose_witnesses(
            state, node_id, avoided=avoided, wanted=self.terms.witnesses
        )
