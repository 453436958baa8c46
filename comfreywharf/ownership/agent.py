"""The decisions of one node about ownership: events in, actions out.

The agent has the state of the node's lease, its claims on lapsed leases and its table
of the slices that it may serve. It uses no clock, no sockets and no event loop: the
daemon and the state machine of the tests drive the same code.
"""

from comfreywharf.ownership.actions import (
    Append,
    ProbeMembers,
    Purpose,
    RequestRelease,
    SendClaim,
    SendRenewal,
    SendUnclaim,
    report,
)
from comfreywharf.ownership.claim_pauses import ClaimPauses
from comfreywharf.ownership.claims import HeldClaim, ranges_of, share_of
from comfreywharf.ownership.ended_claims import EndedClaims
from comfreywharf.ownership.handover import decide_release
from comfreywharf.ownership.holder import Holder, OwnLease
from comfreywharf.ownership.inflight import InFlight
from comfreywharf.ownership.messages import Denial
from comfreywharf.ownership.slicewatch import SliceWatch
from comfreywharf.ownership.table import OwnershipTable
from comfreywharf.ownership.witnessgroups import WitnessGroups
from comfreywharf.ownership.work_times import WorkTimes, lease_length_s
from comfreywharf.records import (
    MoveCompleted,
    SlicesMoved,
    SlicesTaken,
    SliceTake,
)

__all__ = ["OwnershipAgent", "longest_lease_s"]

APPEND_RETRY_S = 0.2
SCAN_INTERVAL_S = 0.25

_OUTDATED_DENIALS = frozenset({Denial.STALE, Denial.OTHER_VIEW})

_MOVING = (SlicesMoved, SlicesTaken, MoveCompleted)
"""Records after which a release may have to be requested."""

# The kinds of a `Purpose`.
START = "start"
TAKE = "take"
COMPLETE = "complete"
WITNESSES = "witnesses"
RESET = "reset"


def longest_lease_s(state, node_id):
    """Return the bound of a node's leases; zero if they are never longer than usual."""
    member = state.members.get(node_id)
    service = state.config.services.get(member.service) if member else None
    return service.longest_lease_ms / 1000 if service else 0.0


class OwnershipAgent:
    """Decide when a node renews its lease, takes over slices and releases them.

    ``make_id`` returns a unique record id. ``fenced`` says that the backend
    server checks fences.
    """

    def __init__(self, node_id, incarnation, terms, make_id, fenced=False):
        self._node_id = node_id
        self._incarnation = incarnation
        self._terms = terms
        self._make_id = make_id
        self.holder = Holder(node_id, incarnation, terms)
        self.inflight = InFlight()
        self.work_times = WorkTimes()
        self.table = OwnershipTable(node_id, self.holder, self.inflight, fenced)
        self._appending = set()
        self._not_before_s = {}
        self._requested_releases = set()
        self._watch = SliceWatch(self.table)
        self._scan_s = float("-inf")
        self._claim_number = 0
        self._claim_pauses = ClaimPauses(terms)
        self._ended_claims = EndedClaims(self.inflight, fenced)
        self._groups = WitnessGroups(node_id, incarnation, terms, self.holder, make_id)

    @property
    def lost_witnesses(self):
        """Return the `LostWitnesses` that tracks whether a majority answers."""
        return self._groups.lost

    def set_incarnation(self, incarnation, ended_predecessor=None):
        """Set this process's incarnation, once the log is read to its end.

        ``ended_predecessor`` is as in `Holder.set_incarnation`.
        """
        self._incarnation = incarnation
        self.holder.set_incarnation(incarnation, ended_predecessor)
        self._groups.set_incarnation(incarnation)

    @property
    def claims(self):
        """Return the claims that this node holds or requests, by owner."""
        return self.table.claims

    # Time and grants.

    def tick(self, state, now_s, may_hold, forced=False, held_until_s=None):
        """Return the actions to take now.

        ``may_hold`` says whether the fold is recent enough to decide on and a backend
        server is present; ``forced`` renews before the next interval is over.
        ``held_until_s`` is as in `surrender`. Each renewal names it, since the grant
        may outlast its lease, this process and the present witnesses.
        """
        actions = []
        if self.holder.tick(now_s):
            actions.append(report("lease_lapsed"))
        actions += self._renew(state, now_s, may_hold, forced, held_until_s)
        actions += self._reset_witnesses(state, now_s, may_hold, held_until_s)
        actions += self._start(state, now_s)
        actions += self._replace_witnesses(state, now_s)
        for claim in list(self.claims.values()):
            actions += self._tick_claim(state, claim, now_s, forced)
        actions += self._shorten_ended_claims(now_s)
        if now_s >= self._scan_s + SCAN_INTERVAL_S:
            self._scan_s = now_s
            actions += self._scan(state, now_s)
        return actions

    def rescan(self):
        """Scan all slices for releases to request or to record at the next tick."""
        self._scan_s = float("-inf")

    def own_lease(self, state):
        """Return this node's lease according to the fold."""
        member = state.members.get(self._node_id)
        if member is None:
            return OwnLease()
        return OwnLease(
            incarnation=member.incarnation,
            lease_incarnation=member.lease_incarnation,
            lease_epoch=member.lease_epoch,
            portfolio_epoch=member.portfolio_epoch,
            witnesses=member.witnesses,
            earlier_witnesses=member.earlier_witnesses,
            reset_pending=member.reset_pending,
        )

    def _renew(self, state, now_s, may_hold, forced, held_until_s):
        own_lease = self.own_lease(state)
        longest_s = longest_lease_s(state, self._node_id)
        self._groups.lost.longest_lease_s = longest_s
        self.work_times.assumed_s = max(0.0, longest_s - self._terms.renewal_room_s)
        self.holder.lease_s = lease_length_s(
            self.work_times.long_s, self._terms, longest_s
        )
        if own_lease.incarnation > self._incarnation:
            if self.holder.supersede():
                return [report("superseded", incarnation=own_lease.incarnation)]
            return []
        if not may_hold or own_lease.incarnation < self._incarnation:
            return []
        if self.holder.majority_overdue(now_s):
            reach_until_s = self.inflight.all_until_s(now_s)
            ending = self.holder.pause(own_lease, reach_until_s, now_s, held_until_s)
            return [SendRenewal(witness, ending) for witness in self.holder.recipients]
        if self._groups.lost.must_wait(own_lease.reset_pending, now_s):
            return []
        forced = forced and self.holder.may_request(now_s)
        regular = forced or self.holder.renewal_due(now_s)
        newest_epoch = self.table.newest_epoch(own_lease.lease_epoch)
        if not regular and not self.holder.has_new_epoch(newest_epoch, now_s):
            return []
        witnesses = own_lease.witnesses or self._groups.choose(state)
        if not witnesses or self.holder.phase in ("surrendered", "superseded"):
            return []
        groups = [witnesses, own_lease.earlier_witnesses]
        self.holder.use_witnesses([group for group in groups if group])
        reach_until_s = self.inflight.reach_until_s(now_s)
        renewal = self.holder.renewal(
            own_lease,
            reach_until_s,
            now_s,
            extra=not regular,
            held_until_s=held_until_s,
        )
        return [
            SendRenewal(witness, self.holder.mark_vouched(renewal, witness))
            for witness in self.holder.recipients
        ]

    def renewal_granted(self, witness, number, term, now_s):
        """Register a witness's grant of a renewal; return the actions to take."""
        before = self.holder.phase
        self.holder.grant_received(witness, number, term, now_s)
        if (before, self.holder.phase) == ("lapsed", "held"):
            self.rescan()
            return [report("lease_healed")]
        return []

    def renewal_denied(self, witness, grant, now_s):
        """Register a witness's refusal of a renewal, and for how long it lasts.

        A lease that a standby has taken over may be held for much longer.
        """
        if grant.denial is Denial.TAKEN:
            self.holder.refused(witness, 0.0, now_s)
        elif grant.retry_after_s > 0:
            self.holder.refused(witness, grant.retry_after_s, now_s)

    def _reset_witnesses(self, state, now_s, may_hold, held_until_s):
        own_lease = self.own_lease(state)
        may_hold = may_hold and own_lease.incarnation == self._incarnation
        wants_probe, record = self._groups.replace_lost(
            state, own_lease, may_hold, now_s
        )
        if wants_probe:
            return [ProbeMembers()]
        # The new witnesses have been told of no grant, so that they would let standbys
        # claim the keys while the server still holds them.
        is_held = held_until_s is not None and now_s < held_until_s
        if record is None or is_held:
            return []
        return self._append(Purpose(RESET, own_lease.lease_epoch), record, now_s)

    def _start(self, state, now_s):
        """Append the record of a new lease once a majority has granted it."""
        if self.holder.phase != "starting":
            return []
        own_lease = self.own_lease(state)
        if own_lease.earlier_witnesses and not self._groups.earlier_acknowledged(
            own_lease
        ):
            return []
        witnesses = own_lease.witnesses or self.holder.lease.groups[0]
        record = self._groups.lease_started_record(own_lease, witnesses)
        return self._append(Purpose(START, self.holder.generation), record, now_s)

    def _replace_witnesses(self, state, now_s):
        if not self.holder.owns(now_s):
            return []
        own_lease = self.own_lease(state)
        record = self._groups.replace_unfit(state, own_lease, now_s)
        if record is None:
            return []
        return self._append(Purpose(WITNESSES, own_lease.lease_epoch), record, now_s)

    def surrender(self, state, reason, now_s, held_until_s=None):
        """Give up the lease and all shares at once; return the actions to take.

        Forwarded requests may still take effect. The renewal reports to the witnesses
        until when, and they refuse the standbys' claims until then. ``held_until_s``
        is the end of the last grant that the backend server may have, whichever
        lease it is based on; it delays the standbys as well. It is
        ``NOTHING_HELD_S`` if the server has certainly crashed, and ``None`` if the
        end isn't known.
        """
        if self.holder.phase in ("surrendered", "superseded"):
            return []
        witnesses = self.holder.lease.witnesses
        reach_until_s = self.inflight.all_until_s(now_s)
        renewal = self.holder.surrender(
            self.own_lease(state), reach_until_s, now_s, held_until_s
        )
        held_ms = 0 if held_until_s is None else max(0, 1000 * (held_until_s - now_s))
        actions = [report("lease_surrendered", reason=reason, held_ms=round(held_ms))]
        actions += [SendRenewal(witness, renewal) for witness in witnesses]
        for claim in list(self.claims.values()):
            actions += self._end_claim(claim, now_s, held_until_s=held_until_s)
        return actions

    def recover(self):
        """Request the lease again after a surrender."""
        self.holder.recover()

    # Claims.

    def lapse_notified(self, state, owner_id, now_s):
        """Handle a witness's notice of a lapsed lease; return the actions to take."""
        owner = state.members.get(owner_id)
        if owner is None or owner_id in self.claims or not owner.witnesses:
            return []
        if owner_id == self._node_id or not self.holder.owns(now_s):
            return []
        if not self._claim_pauses.may_begin(owner, now_s):
            return []
        share = share_of(state, self._node_id, owner_id)
        if not share:
            return []
        claim = HeldClaim(
            owner,
            self._node_id,
            self._incarnation,
            share,
            self._terms,
            now_s,
            self._claim_number,
            ranges_of(state, share),
        )
        self.claims[owner_id] = claim
        return self._send_claim(claim, now_s)

    def claim_granted(self, owner_id, witness, number, term, now_s):
        """Register a witness's grant of a claim; return the actions to take."""
        claim = self.claims.get(owner_id)
        if claim is None or not claim.grant_received(witness, number, term, now_s):
            return []
        self.table.claim_gained(claim, now_s)
        self.rescan()
        return [report("takeover", owner=owner_id, slices=len(claim.share))]

    def claim_denied(self, owner_id, witness, denial, now_s):
        """Register a witness's denial; end a claim on an older view than it has.

        When several standbys take over from one owner, the first record makes
        the others' claims outdated. If these claims were kept until they time
        out, their keys would be served up to two leases later than necessary.
        """
        claim = self.claims.get(owner_id)
        if claim is None:
            return []
        claim.denied(witness, denial)
        if denial not in _OUTDATED_DENIALS or claim.held_since_s is not None:
            return []
        self._claim_pauses.denied(owner_id, claim.view, now_s)
        return self._end_claim(claim, now_s)

    def _send_claim(self, claim, now_s):
        message = claim.message(self.inflight.reach_until_s(now_s), now_s)
        self._claim_number = max(self._claim_number, message.round)
        return [SendClaim(witness, message) for witness in claim.lease.witnesses]

    def _tick_claim(self, state, claim, now_s, forced):
        if claim.tick(now_s):
            if claim.lease.witness_terms(now_s):
                self._claim_pauses.contested(claim.owner_id, now_s)
            return self._end_claim(claim, now_s)
        actions = []
        if forced or claim.round_due(now_s):
            actions += self._send_claim(claim, now_s)
        if claim.held_since_s is not None:
            actions += self._record_claim(state, claim, now_s)
        return actions

    def _record_claim(self, state, claim, now_s):
        """Append records of the takeover; end the claim once they are folded."""
        takes, completions = self._outstanding(state, claim)
        if not takes and not completions:
            return self._end_claim(claim, now_s, recorded=self._has_share(state, claim))
        actions = []
        if takes:
            record = SlicesTaken(
                record_id=self._make_id(),
                owner_id=claim.owner_id,
                lease_epoch=claim.lease_epoch,
                taker_id=self._node_id,
                taker_incarnation=self._incarnation,
                slices=tuple(takes),
            )
            actions += self._append(Purpose(TAKE, claim.owner_id), record, now_s)
        for key in completions:
            actions += self._complete(key, now_s)
        return actions

    def _has_share(self, state, claim):
        """Return whether the log assigns all of a claim's share to this node.

        It doesn't if the planner moved a slice elsewhere meanwhile. This node's
        server may hold such a slice until its grants end, and the next owner has
        to wait for that.
        """
        slices = [state.slices[key.service].at_start(key.start) for key in claim.share]
        return all(
            slice_ and self._node_id in (slice_.owner, slice_.previous)
            for slice_ in slices
        )

    def _outstanding(self, state, claim):
        """Return ``(takes, completions)`` that the log lacks for a claim's share.

        ``takes`` are takeovers to record; ``completions`` are keys of slices whose
        move from the claimed owner is to be recorded as completed.
        """
        takes, completions = [], []
        for key in claim.share:
            slice_ = state.slices[key.service].at_start(key.start)
            if slice_ is None or slice_.epoch != key.epoch:
                continue
            if slice_.owner == claim.owner_id:
                take = SliceTake(
                    service=key.service, start=key.start, base_epoch=key.epoch
                )
                takes.append(take)
            elif slice_.previous == claim.owner_id:
                completions.append(key)
        return takes, completions

    def _end_claim(self, claim, now_s, recorded=False, held_until_s=None):
        """End a claim; the witnesses are sent until when it may still have effects."""
        claim.over = True
        del self.claims[claim.owner_id]
        acts_until_s = self._ended_claims.add(claim, recorded, now_s, held_until_s)
        self.rescan()
        actions = self._send_unclaim(claim, acts_until_s, now_s)
        denied = claim.denials_text()
        return [*actions, report("claim_over", owner=claim.owner_id, denied=denied)]

    def _send_unclaim(self, claim, acts_until_s, now_s):
        message = claim.message(acts_until_s, now_s, self._claim_number)
        self._claim_number = message.round
        return [SendUnclaim(w, message) for w in claim.lease.witnesses]

    def _shorten_ended_claims(self, now_s):
        """Report ends of claims that came sooner, as their requests were answered."""
        actions = []
        for claim, until_s in self._ended_claims.shortened(self.claims, now_s):
            actions += self._send_unclaim(claim, until_s, now_s)
        return actions

    # Releases.

    def _scan(self, state, now_s):
        """Request the awaited releases, and record the received ones in the log."""
        actions = []
        for key, slice_ in self.table.awaited_releases(state, now_s):
            if key not in self._requested_releases:
                self._requested_releases.add(key)
                actions.append(RequestRelease(slice_.previous, key))
        for key in self.table.unrecorded_releases(state):
            actions += self._complete(key, now_s)
        return actions

    def awaits_release(self, state, key, now_s):
        """Return whether a release still has to be requested."""
        return any(
            key == other for other, _ in self.table.awaited_releases(state, now_s)
        )

    def release_request_ended(self, key):
        """Register that a release is no longer requested."""
        self._requested_releases.discard(key)

    def release_received(self, key, vouched, now_s):
        """Handle an earlier owner's release; return the actions to take.

        ``vouched`` says that the earlier owner's memory of request ids is complete.
        """
        self._requested_releases.discard(key)
        self.table.release_received(key, float("-inf") if vouched else now_s)
        self.rescan()
        return [report("slice_received", service=key.service, start=key.start)]

    def decide_release(self, state, service, start, epoch, now_s):
        """Decide on a new owner's request for a release."""
        return decide_release(self.table, state, service, start, epoch, now_s)

    def _complete(self, key, now_s):
        record = MoveCompleted(
            record_id=self._make_id(),
            service=key.service,
            start=key.start,
            epoch=key.epoch,
        )
        return self._append(Purpose(COMPLETE, key), record, now_s)

    # Records.

    def _append(self, purpose, record, now_s):
        if purpose in self._appending:
            return []
        if now_s < self._not_before_s.get(purpose, now_s):
            return []
        self._appending.add(purpose)
        return [Append(purpose, record)]

    def appended(self, state, purpose, outcome, now_s, retry_after_s=0.0):
        """Handle a record's outcome; return the actions to take.

        ``outcome`` is ``None`` if the record wasn't read back in time, or was refused.
        It is appended again after ``retry_after_s``, and `APPEND_RETRY_S` at least.
        """
        self._appending.discard(purpose)
        if outcome is None:
            pause_s = max(APPEND_RETRY_S, retry_after_s)
            self._not_before_s[purpose] = now_s + pause_s
            return []
        self._not_before_s.pop(purpose, None)
        if purpose.kind == START and outcome.accepted:
            return self._started(state, purpose.detail, outcome, now_s)
        if purpose.kind in (WITNESSES, RESET) and outcome.accepted:
            return [self._groups.record_report(state, outcome.offset)]
        if purpose.kind == TAKE and not outcome.accepted:
            # The owner returned or the planner changed the assignment before
            # this record, so the claim is based on an outdated assignment.
            claim = self.claims.get(purpose.detail)
            return self._end_claim(claim, now_s) if claim else []
        return []

    def _started(self, state, generation, outcome, now_s):
        if generation != self.holder.generation or self.holder.phase != "starting":
            return []
        self.table.lease_began(state, now_s)
        self.holder.start_read_back(generation)
        self.rescan()
        return [self._groups.start_report(state, outcome.offset)]

    def folded(self, state, record, result, now_s):
        """Register a record that the fold has just applied."""
        self._watch.folded(state, record, result, now_s)
        if result.accepted and isinstance(record, _MOVING):
            self.rescan()

    def loaded(self, state, now_s):
        """Register that a snapshot replaced the state.

        Between the two states a slice may have moved away and back without a
        record that is folded here. If the earlier memory of request ids still
        counted as complete, a request that another owner ran in between would
        run a second time. The memory therefore counts as incomplete.
        """
        self.table.lease_began(state, now_s)
        self._watch.copy(state)
        self.rescan()
