"""Decide whether this node may serve a key, until when, and under which fence."""

import attrs

from comfreywharf.ownership.claims import SliceKey
from comfreywharf.ownership.inflight import Ticket
from comfreywharf.records import key_hash
from comfreywharf.routing import Reason

__all__ = ["OwnershipTable", "Right"]

ALWAYS_S = float("-inf")


@attrs.frozen(kw_only=True)
class Right:
    """The permission to serve a request, or the reason for its refusal.

    A permission has a fence and a deadline. ``deadline_s`` is on this machine's
    monotonic clock, which the local backend server shares. The node keeps a memory of
    request ids so that no request runs twice; ``memory_complete_since_s`` says since
    when it is complete for this key. An earlier request may have run on another node
    without a trace in this memory. ``covered`` is false if a taker wouldn't wait
    until the deadline; such a request must not be forwarded before the
    witnesses have received its deadline.
    """

    reason: Reason | None = None
    owner_hint: str = ""
    service: str = ""
    key_hash: int = 0
    slice_start: int = -1
    fence: int = -1
    deadline_s: float = 0.0
    memory_complete_since_s: float = ALWAYS_S
    covered: bool = True
    ticket: int = 0


@attrs.frozen
class _Basis:
    """What a `Right` is based on: a fence, and the leases that have to be held."""

    fence: int
    leases: tuple


@attrs.frozen
class _UnreleasedSlice:
    """A slice that moved away and that the new owner hasn't requested yet."""

    epoch: int
    fence: int


@attrs.frozen
class _FenceInUse:
    """The fence under which an own slice is served, and the slice's end."""

    end: int
    fence: int


class OwnershipTable:
    """Decide which keys a node may serve, from the fold, its lease and claims.

    A slice may be served by its owner, under the owner's lease and after the
    earlier owner's release; by the earlier owner until the new one requests that
    release; and by a taker, under its claim on the owner's lapsed lease.

    An owner begins to use a fence only once a majority of its witnesses has
    acknowledged the record that raised it. Otherwise they could grant a claim on the
    earlier state, and the taker's server would be granted the key under a lower fence
    than the owner's. It keeps the fence while it has the range and its lease: any
    taker's is higher than the newest one, and so than the one in use.
    """

    def __init__(self, node_id, holder, inflight, fenced=False):
        self._node_id = node_id
        self.holder = holder
        self.inflight = inflight
        self.fenced = fenced
        self.claims = {}
        self._released = set()
        self._unreleased = {}
        self._memory_complete_since_s = {}
        self._newest_slice_epoch = -1
        self._fences_in_use = {}

    def right_to_serve(self, state, service, key, now_s, remaining_s):
        """Return the `Right` to serve one request that arrived at ``now_s``."""
        deadline_s = now_s + remaining_s
        if not key:
            return Right(service=service, deadline_s=deadline_s)
        value = key_hash(key)
        slice_ = state.slice_at(service, value)
        if slice_ is None or not slice_.owner:
            return Right(reason=Reason.NO_OWNER)
        basis = self._basis(state, service, slice_, now_s)
        if isinstance(basis, Right):
            return basis
        covered_until_s = min(lease.covered_until_s() for lease in basis.leases)
        return Right(
            service=service,
            key_hash=value,
            slice_start=slice_.start,
            fence=basis.fence,
            deadline_s=deadline_s,
            memory_complete_since_s=self._memory_complete_since_s.get(
                (service, slice_.start), now_s
            ),
            covered=self.fenced or deadline_s <= covered_until_s,
        )

    def _basis(self, state, service, slice_, now_s):
        """Return the `_Basis` to serve a slice on, or a `Right` with a reason."""
        key = SliceKey(service, slice_.start, slice_.epoch)
        if slice_.owner == self._node_id:
            return self._owner_basis(state, key, slice_, now_s)
        unreleased = self._unreleased.get((service, slice_.start))
        if unreleased is not None and unreleased.epoch == slice_.epoch:
            if self.holder.owns(now_s) and self._is_acknowledged(unreleased.fence):
                return _Basis(unreleased.fence, (self.holder.lease,))
        if slice_.standby == self._node_id:
            return self._taker_basis(state, key, slice_, now_s)
        return Right(reason=Reason.WRONG_OWNER, owner_hint=slice_.owner)

    def _owner_basis(self, state, key, slice_, now_s):
        if not self.holder.owns(now_s):
            return Right(reason=Reason.NOT_YET_OWNER, owner_hint=slice_.standby)
        leases = self._release_leases(key, slice_, now_s)
        if leases is None:
            return Right(reason=Reason.NOT_YET_OWNER, owner_hint=slice_.previous)
        fence = self._fence_in_use((key.service, slice_.start), slice_, state)
        if fence is None:
            return Right(reason=Reason.NOT_YET_OWNER)
        return _Basis(fence, (self.holder.lease, *leases))

    def _fence_in_use(self, slice_id, slice_, state):
        """Return the fence under which an own slice is served, or ``None`` as yet.

        It stays the same for as long as the node has the range and its lease, also if
        a record names another standby or other witnesses. If it rose, the backend
        server would refuse what was sent to it under the earlier one.
        """
        used = self._fences_in_use.get(slice_id)
        if used is not None and used.end == slice_.end:
            return used.fence
        fence = state.fence(slice_)
        if not self._is_acknowledged(fence):
            return None
        self._fences_in_use[slice_id] = _FenceInUse(slice_.end, fence)
        return fence

    def _is_acknowledged(self, fence):
        """Return whether any further claim leads to a higher fence than this one."""
        return fence <= 2 * self.holder.lease.acknowledged_epoch()

    def newest_epoch(self, lease_epoch):
        """Return the epoch to be acknowledged before all slices can be served."""
        return max(lease_epoch, self._newest_slice_epoch)

    def _taker_basis(self, state, key, slice_, now_s):
        claim = self.claims.get(slice_.owner)
        if claim is None or not claim.holds(key, now_s):
            return Right(reason=Reason.WRONG_OWNER, owner_hint=slice_.owner)
        if not self.holder.owns(now_s):
            return Right(reason=Reason.NOT_YET_OWNER, owner_hint=slice_.owner)
        leases = self._release_leases(key, slice_, now_s)
        if leases is None:
            return Right(reason=Reason.NOT_YET_OWNER, owner_hint=slice_.previous)
        leases = (self.holder.lease, claim.lease, *leases)
        return _Basis(claim.fence_in_use(key, state.takeover_fence(slice_)), leases)

    def _release_leases(self, key, slice_, now_s):
        """Return the leases that replace a missing release, if any.

        ``None`` means that the earlier owner may still serve the slice.
        """
        if slice_.previous in ("", self._node_id) or key in self._released:
            return ()
        claim = self.claims.get(slice_.previous)
        if claim is not None and claim.holds(key, now_s):
            return (claim.lease,)
        return None

    def begin_request(self, right):
        """Register a request that is about to be forwarded; return its `Right`."""
        if right.reason is not None or right.key_hash == 0:
            return right
        ticket = Ticket(
            right.service, right.key_hash, right.deadline_s, long=not right.covered
        )
        return attrs.evolve(right, ticket=self.inflight.add(ticket))

    def finish_request(self, right):
        """Register that nothing forwarded under a right can still take effect."""
        if right.ticket:
            self.inflight.remove(right.ticket)

    def serving(self, state, now_s):
        """Yield ``(service, slice, fence, until_s)`` for what may be served now."""
        for service, slice_ in state.involving(self._node_id):
            basis = self._basis(state, service, slice_, now_s)
            if isinstance(basis, _Basis):
                until_s = min(lease.until_s() for lease in basis.leases)
                yield service, slice_, basis.fence, until_s

    def pending(self, state, now_s):
        """Yield ``(service, slice)`` for what is owned but can't be served yet."""
        if not self.holder.owns(now_s):
            return
        for service, slice_ in state.owned_by(self._node_id):
            if not isinstance(self._basis(state, service, slice_, now_s), _Basis):
                yield service, slice_

    def slice_changed(self, state, service, before, after, now_s):
        """Register that a record changed a slice."""
        slice_id = (service, after.start)
        owned_before = before is not None and before.owner == self._node_id
        used = self._fences_in_use.get(slice_id)
        if after.owner == self._node_id:
            self._newest_slice_epoch = max(self._newest_slice_epoch, after.epoch)
        if not owned_before or after.owner != self._node_id or before.end != after.end:
            self._fences_in_use.pop(slice_id, None)
        if after.owner == self._node_id and not owned_before:
            self._became_owner(service, before, after, now_s)
            self._keep_claimed_fence(service, before, after, now_s)
        if after.previous == self._node_id and owned_before:
            fence = used.fence if used else state.fence(before)
            self._unreleased[slice_id] = _UnreleasedSlice(
                epoch=after.epoch, fence=fence
            )
        elif after.previous != self._node_id:
            self._unreleased.pop(slice_id, None)
        elif slice_id in self._unreleased:
            # The new owner was lost before it requested the slice; another
            # one will request it.
            fence = self._unreleased[slice_id].fence
            self._unreleased[slice_id] = _UnreleasedSlice(
                epoch=after.epoch, fence=fence
            )

    def _became_owner(self, service, before, after, now_s):
        """Set since when the memory of request ids of a new slice is complete.

        A slice without an earlier owner has no earlier requests, and the memory of a
        takeover began with its claim. For any other slice, earlier requests are not
        recorded here until a release hands the memory over.

        A process that starts folds the log from its beginning, including slices that
        were assigned to an earlier process of its node. If these counted as new, it
        would report a complete memory when it releases such a slice, and the next
        owner would run a request again that the earlier process had run.
        """
        slice_id = (service, after.start)
        if before is None:
            self._memory_complete_since_s[slice_id] = now_s
        elif not before.owner and self.holder.owns(now_s):
            self._memory_complete_since_s[slice_id] = ALWAYS_S
        elif not self._has_claim_on(service, before):
            self._memory_complete_since_s[slice_id] = now_s

    def _keep_claimed_fence(self, service, before, after, now_s):
        """Keep the fence of a claim whose takeover has been recorded.

        A further claim, on this node's lease, is based on that record, so that its
        fence is higher.
        """
        if before is None or before.end != after.end:
            return
        claim = self.claims.get(before.owner)
        key = SliceKey(service, before.start, before.epoch)
        if claim is not None and claim.holds(key, now_s) and key in claim.fences:
            self._fences_in_use[(service, after.start)] = _FenceInUse(
                after.end, claim.fences[key]
            )

    def _has_claim_on(self, service, slice_):
        """Return whether a slice is in the share of a claim of this node."""
        claim = self.claims.get(slice_.owner)
        key = SliceKey(service, slice_.start, slice_.epoch)
        return claim is not None and key in claim.share

    def slice_split(self, service, start, at):
        """Copy the state of the memory to the second part of a split slice."""
        since_s = self._memory_complete_since_s.get((service, start))
        if since_s is not None:
            self._memory_complete_since_s[(service, at)] = since_s

    def slices_merged(self, service, start, next_start):
        """Count the memory of a merged slice from the later of its parts' starts."""
        self._fences_in_use.pop((service, next_start), None)
        since_s = self._memory_complete_since_s.pop((service, next_start), ALWAYS_S)
        if (service, start) in self._memory_complete_since_s:
            kept_s = self._memory_complete_since_s[(service, start)]
            self._memory_complete_since_s[(service, start)] = max(kept_s, since_s)

    def lease_began(self, state, now_s):
        """Register a new lease, before which another node may have held it.

        Slices that were served under an earlier lease may have been served on
        other nodes since, so that the memory of request ids may be incomplete.
        """
        self._unreleased.clear()
        self._fences_in_use.clear()
        self._memory_complete_since_s.clear()
        for service, slice_ in state.owned_by(self._node_id):
            self._memory_complete_since_s[(service, slice_.start)] = now_s
            self._newest_slice_epoch = max(self._newest_slice_epoch, slice_.epoch)

    def claim_gained(self, claim, now_s):
        """Register that a claim gave this node a share."""
        for key in claim.share:
            self._memory_complete_since_s[(key.service, key.start)] = now_s

    def release_received(self, key, memory_complete_since_s):
        """Register a release, and since when the earlier owner's memory is complete."""
        self._released.add(key)
        self._memory_complete_since_s[(key.service, key.start)] = (
            memory_complete_since_s
        )

    def awaited_releases(self, state, now_s):
        """Yield ``(key, slice)`` for each slice whose release has to be requested."""
        for service, slice_ in state.involving(self._node_id):
            if not slice_.previous or slice_.previous == self._node_id:
                continue
            key = SliceKey(service, slice_.start, slice_.epoch)
            if key in self._released:
                continue
            if self._serves_next(key, slice_, now_s):
                yield key, slice_

    def unrecorded_releases(self, state):
        """Yield received releases that are not yet recorded in the log."""
        for key in list(self._released):
            slice_map = state.slices.get(key.service)
            slice_ = slice_map.at_start(key.start) if slice_map else None
            if slice_ is None or slice_.epoch != key.epoch or not slice_.previous:
                self._released.discard(key)
            elif slice_.owner == self._node_id:
                yield key

    def _serves_next(self, key, slice_, now_s):
        """Return whether this node serves a slice once its release is received."""
        if not self.holder.owns(now_s):
            return False
        if slice_.owner == self._node_id:
            return True
        claim = self.claims.get(slice_.owner)
        is_standby = slice_.standby == self._node_id
        return is_standby and claim is not None and claim.holds(key, now_s)

    def stop_serving(self, service, start):
        """Accept no further requests for a slice that the new owner has requested."""
        self._unreleased.pop((service, start), None)

    def memory_complete_since_s(self, service, start):
        """Return since when the memory of a slice is complete; ``None`` if it isn't."""
        return self._memory_complete_since_s.get((service, start))
