"""Decide the next step of a refused request: send it, hold it or give up.

`decide_route` is called after each reply that carries a reason. Each step uses
up a hint, a hold or a retry, and all of these are bounded, so that a request
can't circulate forever between nodes that disagree about the owner.
"""

import attrs

from comfreywharf.routing.arrivals import may_have_reached_backend
from comfreywharf.routing.budget import BurstTerms
from comfreywharf.routing.outcomes import Outcome, Reason

__all__ = [
    "GiveUp",
    "Hold",
    "HoldBounds",
    "Ownership",
    "RouteLimits",
    "RouteProgress",
    "Send",
    "after_hold",
    "decide_route",
]

_NO_SERVING_OWNER = frozenset(
    {
        Reason.WRONG_OWNER,
        Reason.NOT_YET_OWNER,
        Reason.NO_OWNER,
        Reason.NO_BACKEND,
        Reason.PEER_UNREACHABLE,
    }
)
"""Refusals that cease as soon as the key has a serving owner again.

``NO_BACKEND`` is one of them, since a node that lost its backend server gives up its
keys.
"""

_OTHER_MEMBER_MAY_SERVE = frozenset(
    {
        Reason.OVERLOADED,
        Reason.BACKEND_COLD,
        Reason.BACKEND_LIMITED,
        Reason.DRAINING,
        Reason.NO_BACKEND,
        Reason.REFUSED_BY_BACKEND,
        Reason.PEER_UNREACHABLE,
    }
)
"""Refusals by one member after which another member of the service may serve, if the
service isn't divided by key."""

_BACKEND_NOT_REACHED = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.NO_BACKEND,
        Reason.DRAINING,
        Reason.BACKEND_COLD,
        Reason.BACKEND_LIMITED,
    }
)
"""Refusals of `_OTHER_MEMBER_MAY_SERVE` made before a backend server received
the request, so that the next send uses up no retry. If it did, a third of the requests
would be refused while two of three machines are lost, namely those that try both lost
members first, although the third server has capacity."""

_FULL = frozenset({Reason.OVERLOADED, Reason.BACKEND_LIMITED})
"""Refusals by a member that would serve the request if it waited there."""


@attrs.frozen(kw_only=True)
class RouteLimits:
    """Bounds of the routing of one request.

    A request is held up to ``holds`` times, and at most ``nodes_between_holds``
    nodes are tried between two holds. The holds grow from ``first_hold_s`` to
    ``longest_hold_s`` and last no longer than ``total_hold_s`` together; a fold that
    changes the owner ends a hold early. ``retry_burst`` bounds the retries that all
    nodes together may send beyond a fraction of the requests.

    A request that its owner's server refused is sent there up to ``resends`` more
    times, within the retry budget. A request goes on from up to ``unreached_members``
    unavailable members before such a send uses up one of its retries.

    A request for a service that isn't divided by key is passed on up to ``passes``
    times by members at which it would wait for a slot for more than a fraction
    ``max_wait_fraction`` of its time left. It waits at the last one.
    """

    holds: int = 48
    nodes_between_holds: int = 4
    first_hold_s: float = 0.005
    longest_hold_s: float = 0.1
    total_hold_s: float = 3.0
    retry_burst: BurstTerms = BurstTerms(fleet_retries=60.0, window_s=10.0)
    resends: int = 0
    unreached_members: int = 3
    passes: int = 2
    max_wait_fraction: float = 0.25

    def max_wait_ms(self, passes, remaining_ms):
        """Return how long a request may wait at its next member; ``None`` if it may.

        >>> RouteLimits().max_wait_ms(0, 1000), RouteLimits().max_wait_ms(2, 1000)
        (250, None)
        """
        if passes >= self.passes:
            return None
        return int(self.max_wait_fraction * remaining_ms)


@attrs.frozen(kw_only=True)
class Ownership:
    """The nodes that may serve a key, according to this node's latest fold.

    An empty id means that there is none. While the log is unavailable, the fold
    keeps naming a lost owner, but also the standby that serves in its place.
    During a move, ``previous`` is the earlier owner, which serves until the new
    one has received its release.
    """

    owner: str = ""
    standby: str = ""
    previous: str = ""

    def candidates(self):
        """Return the nodes that may serve, the most likely one first."""
        named = (self.owner, self.standby, self.previous)
        return [node_id for node_id in dict.fromkeys(named) if node_id]


@attrs.frozen(kw_only=True)
class RouteProgress:
    """How far the routing of a request has used up its `RouteLimits`.

    ``tried`` are the nodes tried since the last hold. ``arrivals`` is how often the
    request may have reached a backend server. The limits apply to the fields of the
    same names.
    """

    target: str
    retries_left: int
    tried: frozenset[str] = frozenset()
    holds: int = 0
    held_since_s: float | None = None
    resends: int = 0
    unreached_members: int = 0
    passes: int = 0
    arrivals: int = 0

    @property
    def is_retry(self):
        """Return whether another arrival would be one beyond the first."""
        return self.arrivals > 0


@attrs.frozen
class Send:
    """Send the request to ``progress.target``."""

    progress: RouteProgress

    @property
    def retry(self):
        """Return whether the request would reach a server another time."""
        return self.progress.is_retry


@attrs.frozen
class Hold:
    """Wait until the fold changes or ``until_s``, then continue with `after_hold`."""

    progress: RouteProgress
    until_s: float

    @property
    def retry(self):
        """Return whether the request would reach a server another time."""
        return self.progress.is_retry


@attrs.frozen
class GiveUp:
    """Return the refusal to the caller immediately."""

    retry = False


def after_hold(progress, ownership):
    """Return the progress to continue with after a hold."""
    return attrs.evolve(progress, target=ownership.owner, tried=frozenset())


def decide_route(
    progress,
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
    false if a part of the body is no longer available.

    Only a refusal that proves that nothing ran leads to another send. After an
    unknown outcome the request may have taken effect, and a second send could
    apply it twice. A send or hold of a request that may have reached a backend server
    is a retry, whatever refused it since.
    """
    if reply.outcome != Outcome.NOT_RUN or not replayable or now_s >= deadline_s:
        return GiveUp()
    if may_have_reached_backend(reply):
        progress = attrs.evolve(progress, arrivals=progress.arrivals + 1)
    reason = Reason(reply.reason)
    if ownership is not None:
        if reason is Reason.REFUSED_BY_BACKEND and progress.resends < limits.resends:
            # No other server may serve the key. This server didn't receive
            # more requests than it has slots, so its refusal doesn't mean that
            # the next try will be refused as well.
            return Send(attrs.evolve(progress, resends=progress.resends + 1))
        if reason not in _NO_SERVING_OWNER:
            return GiveUp()
        progress = attrs.evolve(progress, tried=progress.tried | {progress.target})
        target = _next_candidate(progress, reply.owner_hint, ownership, limits)
        if target:
            return Send(attrs.evolve(progress, target=target))
        return _hold(progress, now_s, deadline_s, limits)
    if reason in _FULL and progress.passes < limits.passes:
        return _pass_on(progress, other_member, limits)
    if reason not in _OTHER_MEMBER_MAY_SERVE or not other_member:
        return GiveUp()
    return _send_to_other(progress, reason, other_member, limits)


def _pass_on(progress, other_member, limits):
    """Send to another member or, if there is none, wait at the one that refused.

    No backend server received the request, so that this isn't a retry.
    """
    if not other_member:
        return Send(attrs.evolve(progress, passes=limits.passes))
    return Send(attrs.evolve(progress, target=other_member, passes=progress.passes + 1))


def _send_to_other(progress, reason, other_member, limits):
    progress = attrs.evolve(progress, target=other_member)
    if (
        reason in _BACKEND_NOT_REACHED
        and progress.unreached_members < limits.unreached_members
    ):
        return Send(
            attrs.evolve(progress, unreached_members=progress.unreached_members + 1)
        )
    if progress.retries_left <= 0:
        return GiveUp()
    return Send(attrs.evolve(progress, retries_left=progress.retries_left - 1))


def _next_candidate(progress, hint, ownership, limits):
    """Return a node that may serve and wasn't tried since the last hold, or ``""``."""
    # Two nodes that consider each other the owner would forward a request back
    # and forth. Each is therefore tried once; then the request is held until
    # the fold changes.
    if len(progress.tried) >= limits.nodes_between_holds:
        return ""
    for node_id in (hint, *ownership.candidates()):
        if node_id and node_id not in progress.tried:
            return node_id
    return ""


def _hold(progress, now_s, deadline_s, limits):
    held_since_s = now_s if progress.held_since_s is None else progress.held_since_s
    wait_s = min(
        limits.longest_hold_s, limits.first_hold_s * 2 ** min(progress.holds, 16)
    )
    until_s = now_s + wait_s
    # A hold beyond the deadline or the bound would only delay the refusal.
    # The caller gets it now, together with a time to retry after.
    if (
        progress.holds >= limits.holds
        or until_s >= deadline_s
        or until_s > held_since_s + limits.total_hold_s
    ):
        return GiveUp()
    progress = attrs.evolve(
        progress, holds=progress.holds + 1, held_since_s=held_since_s
    )
    return Hold(progress, until_s)


class HoldBounds:
    """Bound the requests that a node holds at once, in number and bytes.

    Without a bound, the loss of one owner would fill every ingress node with
    requests that wait for it, and no resources would be left for other keys.

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
        """Return whether another request may be held, and count it if so."""
        if not self._requests_left or size_bytes > self._bytes_left:
            return False
        self._requests_left -= 1
        self._bytes_left -= size_bytes
        return True

    def leave(self, size_bytes):
        """Remove a request that is no longer held from the count."""
        self._requests_left += 1
        self._bytes_left += size_bytes
