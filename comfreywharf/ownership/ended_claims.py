"""Claims that have ended, and until when requests based on them may take effect."""

import attrs

__all__ = ["EndedClaims"]

SHORTEN_BY_S = 0.1
"""The least time by which an end that the witnesses know of is worth correcting."""


@attrs.define
class _EndedClaim:
    """The newest claim on an owner that has ended, and the ranges of all of them."""

    claim: object
    ranges: frozenset
    reported_until_s: float


class EndedClaims:
    """Determine until when an ended claim keeps further claims waiting.

    A server that checks fences stops its work when its grants end. Any other server
    may run a request until its deadline, so that a claim acts for as long as requests
    for its share are in flight. Only these count: with all requests of the node, a
    busy taker would keep the keys unavailable for the longest of its deadlines. The
    witnesses are told once they are answered.
    """

    def __init__(self, inflight, fenced):
        self._inflight = inflight
        self._fenced = fenced
        self._ended = {}
        self._grants_end_s = {}

    def add(self, claim, recorded, now_s, held_until_s):
        """Register the end of a claim; return until when it may act.

        A claim that was never held has no effects of its own. ``held_until_s`` is the
        end of the server's last grant, or ``None``; without that bound the keys would
        be unavailable for up to a lease.
        """
        if self._fenced:
            return self._grants_until_s(claim, recorded, now_s, held_until_s)
        ended = self._ended.get(claim.owner_id)
        if claim.held_since_s is None and ended is None:
            return now_s
        ranges = claim.ranges if claim.held_since_s is not None else frozenset()
        if ended is not None:
            ranges |= ended.ranges
        ended = _EndedClaim(claim, ranges, now_s)
        ended.reported_until_s = self._acts_until_s(ended, now_s)
        self._ended[claim.owner_id] = ended
        return ended.reported_until_s

    def _grants_until_s(self, claim, recorded, now_s, held_until_s):
        known_s = self._grants_end_s.get(claim.owner_id, now_s)
        if claim.held_since_s is not None:
            # Recorded slices depend only on the node's own lease.
            known_s = max(known_s, now_s if recorded else claim.lease.until_s())
        if held_until_s is not None:
            known_s = min(known_s, held_until_s)
        self._grants_end_s[claim.owner_id] = known_s
        return max(known_s, now_s)

    def _acts_until_s(self, ended, now_s):
        return max(
            (self._inflight.busy_until_s(*one, now_s) for one in ended.ranges),
            default=now_s,
        )

    def shortened(self, owners, now_s):
        """Yield ``(claim, until_s)`` of claims that end sooner than was reported.

        ``owners`` are those that the node claims from now. Their ended claims are left
        alone, since a witness can't tell the ends of two claims apart.
        """
        for owner_id, ended in list(self._ended.items()):
            if ended.reported_until_s <= now_s:
                del self._ended[owner_id]
            elif owner_id not in owners:
                until_s = self._acts_until_s(ended, now_s)
                if until_s < ended.reported_until_s - SHORTEN_BY_S:
                    ended.reported_until_s = until_s
                    yield ended.claim, until_s
