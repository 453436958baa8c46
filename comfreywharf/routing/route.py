"""Where a request goes next: to whom, when to wait, when to give up.

`decide_route` is asked after each refusal that proves that the request didn't
run. Each step uses up a hint, a wait or a retry, and all of these are bounded,
so that a request can't travel for ever between nodes that disagree.
"""

import attrs

from comfreywharf.routing.outcomes import Outcome, Reason

__all__ = [
    "GiveUp",
    "Hold",
    "HoldBounds",
    "Ownership",
    "RouteLimits",
    "Send",
    "Trail",
    "after_hold",
    "decide_route",
]

_OWNERSHIP_GAP = frozenset(
    {
        Reason.WRONG_OWNER,
        Reason.NOT_YET_OWNER,
        Reason.NO_OWNER,
        Reason.NO_BACKEND,
        Reason.PEER_UNREACHABLE,
    }
)
"""Refusals that end by themselves when the key has a serving owner again.

A node whose backend server is gone gives its keys up, so that this is a gap too.
"""

_OTHER_MEMBER_HELPS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.DRAINING,
        Reason.NO_BACKEND,
        Reason.REFUSED_BY_BACKEND,
        Reason.PEER_UNREACHABLE,
    }
)
"""Refusals by one member of a service whose other members may serve as well."""

_NO_SERVER_ASKED = frozenset(
    {Reason.PEER_UNREACHABLE, Reason.NO_BACKEND, Reason.DRAINING}
)
"""Of these, the ones that come before any backend server heard of the request: the
next member isn't a retry. While two of three machines were gone, a third of the
requests met both of them, and was refused beside a server with room."""


@attrs.frozen(kw_only=True)
class RouteLimits:
    """Bounds of one request's way.

    The waits grow from ``first_hold_s`` to ``longest_hold_s``; a fold that names
    another owner ends a wait early. ``retry_after_ms`` is told to a caller whose
    key had no owner for all of that time; ``retry_burst`` bounds the retries that
    one node may send at once after a calm time. A request whose owner's server
    refused it is sent there ``resends`` times more, within the retry budget. Up to
    ``unreached`` members may be gone before one counts as a retry.
    """

    holds: int = 48
    asked_between_holds: int = 4
    first_hold_s: float = 0.005
    longest_hold_s: float = 0.1
    held_in_all_s: float = 3.0
    retry_after_ms: int = 1000
    retry_burst: float = 20.0
    resends: int = 0
    unreached: int = 3


@attrs.frozen(kw_only=True)
class Ownership:
    """Who may serve a key, as this node folded it last; empty: nobody.

    While the log is down the fold goes on naming an owner that is lost; the
    standby that serves in its place is known all the same. During a move the
    earlier owner serves until the new one has its release.
    """

    owner: str = ""
    standby: str = ""
    previous: str = ""

    def candidates(self):
        """Return the nodes that may serve, the likeliest first."""
        named = (self.owner, self.standby, self.previous)
        return [node_id for node_id in dict.fromkeys(named) if node_id]


@attrs.frozen(kw_only=True)
class Trail:
    """The way of a request so far; ``asked`` since the last wait."""

    target: str
    retries_left: int
    asked: frozenset[str] = frozenset()
    holds: int = 0
    held_since_s: float | None = None
    resends: int = 0
    unreached: int = 0


@attrs.frozen
class Send:
    """Send the request to a trail's target; ``retry`` if it is a new try."""

    trail: Trail
    retry: bool = False


@attrs.frozen
class Hold:
    """Wait, until the fold changes or a time, then ask `after_hold`."""

    trail: Trail
    until_s: float


@attrs.frozen
class GiveUp:
    """Give the caller the refusal, at once."""


def after_hold(trail, ownership):
    """Return the trail to go on with after a wait."""
    return attrs.evolve(trail, target=ownership.owner, asked=frozenset())


def decide_route(
    trail,
    reply,
    *,
    ownership,
    other_member,
    replayable,
    now_s,
    deadline_s,
    limits,
):
    """Return `Send`, `Hold` or `GiveUp` after a reply that carries a reason.

    ``ownership`` is ``None`` for a service that isn't divided by key;
    ``other_member`` is then a member that wasn't tried yet. ``replayable`` is
    false where a part of the body is gone.

    Only a refusal that proves that nothing ran leads to another send: after an
    unknown outcome the request may have taken effect, and a second send may
    apply it twice.
    """
    if reply.outcome != Outcome.NOT_RUN or not replayable or now_s >= deadline_s:
        return GiveUp()
    reason = Reason(reply.reason)
    if ownership is not None:
        if reason is Reason.REFUSED_BY_BACKEND and trail.resends < limits.resends:
            # No other server may serve the key, and this one was given no more
            # than its slots: that it refused says little about the next try.
            return Send(attrs.evolve(trail, resends=trail.resends + 1), retry=True)
        if reason not in _OWNERSHIP_GAP:
            return GiveUp()
        trail = attrs.evolve(trail, asked=trail.asked | {trail.target})
        target = _not_asked(trail, reply.owner_hint, ownership, limits)
        if target:
            return Send(attrs.evolve(trail, target=target))
        return _hold(trail, now_s, deadline_s, limits)
    if reason not in _OTHER_MEMBER_HELPS or not other_member:
        return GiveUp()
    return _send_to_other(trail, reason, other_member, limits)


def _send_to_other(trail, reason, other_member, limits):
    trail = attrs.evolve(trail, target=other_member)
    if reason in _NO_SERVER_ASKED and trail.unreached < limits.unreached:
        return Send(attrs.evolve(trail, unreached=trail.unreached + 1))
    if trail.retries_left <= 0:
        return GiveUp()
    return Send(attrs.evolve(trail, retries_left=trail.retries_left - 1), retry=True)


def _not_asked(trail, hint, ownership, limits):
    """Return a node that may serve and wasn't asked since the last wait."""
    # Two nodes that each take the other for the owner would send a request to
    # and fro; each is asked once, and then the fold is waited for.
    if len(trail.asked) >= limits.asked_between_holds:
        return ""
    for node_id in (hint, *ownership.candidates()):
        if node_id and node_id not in trail.asked:
            return node_id
    return ""


def _hold(trail, now_s, deadline_s, limits):
    held_since_s = now_s if trail.held_since_s is None else trail.held_since_s
    wait_s = min(limits.longest_hold_s, limits.first_hold_s * 2 ** min(trail.holds, 16))
    until_s = now_s + wait_s
    # A wait that would outlive the request, or the bound, only delays its
    # refusal: the caller is told now, and told when to come back.
    if (
        trail.holds >= limits.holds
        or until_s >= deadline_s
        or until_s > held_since_s + limits.held_in_all_s
    ):
        return GiveUp()
    trail = attrs.evolve(trail, holds=trail.holds + 1, held_since_s=held_since_s)
    return Hold(trail, until_s)


class HoldBounds:
    """How many requests a node holds at once, and their bytes.

    Without a bound, the loss of one owner would fill every ingress node with
    requests that wait for it, and requests for other keys would starve.

    >>> bounds = HoldBounds(requests=1, size_bytes=100)
    >>> bounds.enter(10), bounds.enter(10)
    (True, False)
    >>> bounds.leave(10)
    >>> bounds.enter(101)
    False
    """

    def __init__(self, *, requests=1000, size_bytes=16 << 20):
        self._requests_left = requests
        self._bytes_left = size_bytes

    def enter(self, size_bytes):
        """Return whether one more request may be held, and count it if so."""
        if not self._requests_left or size_bytes > self._bytes_left:
            return False
        self._requests_left -= 1
        self._bytes_left -= size_bytes
        return True

    def leave(self, size_bytes):
        """Count a request that is held no longer."""
        self._requests_left += 1
        self._bytes_left += size_bytes
