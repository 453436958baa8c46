"""The decisions of one node about ownership: events in, actions out.

The agent holds the node's lease, its claims on lapsed leases and its table of
what may be served. It knows no clock, no sockets and no loop; the daemon's
shell and the state machine that tests it drive the same code.
"""

from comfreywharf.ownership.actions import (
    Append,
    AskRelease,
    ProbeMembers,
    Purpose,
    SendClaim,
    SendRenewal,
    SendUnclaim,
    report,
)
from comfreywharf.ownership.claims import HeldClaim, share_of
from comfreywharf.ownership.handover import decide_release
from comfreywharf.ownership.holder import Holder, OwnLease
from comfreywharf.ownership.inflight import InFlight
from comfreywharf.ownership.messages import Denial
from comfreywharf.ownership.slicewatch import SliceWatch
from comfreywharf.ownership.table import OwnershipTable
from comfreywharf.ownership.witnessgroups import WitnessGroups
from comfreywharf.records import (
    MoveCompleted,
    SlicesMoved,
    SlicesTaken,
    SliceTake,
)

__all__ = ["OwnershipAgent"]

APPEND_RETRY_S = 0.2
CLAIM_PAUSE_LEASES = 1.0
SCAN_INTERVAL_S = 0.25

_OUTDATED = frozenset({Denial.STALE, Denial.OTHER_VIEW})

_MOVING = (SlicesMoved, SlicesTaken, MoveCompleted)
"""Records after which a release may have to be asked for."""

START = "start"
TAKE = "take"
COMPLETE = "complete"
WITNESSES = "witnesses"
RESET = "reset"


class OwnershipAgent:
    """Decide what a node does to own keys, and to own them alone.

    ``make_id`` returns a record id that no other record has.
    """

    def __init__(self, node_id, incarnation, terms, make_id, fenced=False):
        self._node_id = node_id
        self._incarnation = incarnation
        self._terms = terms
        self._make_id = make_id
        self.holder = Holder(node_id, incarnation, terms)
        self.inflight = InFlight()
        self.table = OwnershipTable(node_id, self.holder, self.inflight, fenced)
        self._appending = set()
        self._not_before_s = {}
        self._asking = set()
        self._watch = SliceWatch(self.table)
        self._scan_s = float("-inf")
        self._claim_number = 0
        self._claim_not_before_s = {}
        self._acts_until_s = {}
        self._fenced = fenced
        self._groups = WitnessGroups(node_id, incarnation, terms, self.holder, make_id)

    @property
    def lost_witnesses(self):
        """Return what watches whether a majority of the witnesses answers."""
        return self._groups.lost

    def begin(self, incarnation):
        """Take the incarnation that the log's end showed to be a new one."""
        self._incarnation = incarnation
        self.holder.begin(incarnation)
        self._groups.begin(incarnation)

    @property
    def claims(self):
        """Return the claims that this node has or tries to have, by owner."""
        return self.table.claims

    # Time and grants.

    def tick(self, state, now_s, may_hold, forced=False):
        """Return what to do now.

        ``may_hold`` says whether the fold may be acted on and a backend server
        is there; ``forced`` asks the witnesses before the next interval.
        """
        actions = []
        if self.holder.tick(now_s):
            actions.append(report("lease_lapsed"))
        actions += self._renew(state, now_s, may_hold, forced)
        actions += self._reset_witnesses(state, now_s, may_hold)
        actions += self._start(state, now_s)
        actions += self._replace_witnesses(state, now_s)
        for claim in list(self.claims.values()):
            actions += self._tick_claim(state, claim, now_s, forced)
        if now_s >= self._scan_s + SCAN_INTERVAL_S:
            self._scan_s = now_s
            actions += self._scan(state, now_s)
        return actions

    def wake(self):
        """Look at all slices again at the next tick."""
        self._scan_s = float("-inf")

    def own(self, state):
        """Return what the fold says of this node's lease."""
        member = state.members.get(self._node_id)
        if member is None:
            return OwnLease()
        return OwnLease(
            incarnation=member.incarnation,
            lease_epoch=member.lease_epoch,
            portfolio_epoch=member.portfolio_epoch,
            witnesses=member.witnesses,
            earlier_witnesses=member.earlier_witnesses,
            reset_pending=member.reset_pending,
        )

    def _renew(self, state, now_s, may_hold, forced):
        own = self.own(state)
        if own.incarnation > self._incarnation:
            if self.holder.supersede():
                return [report("superseded", incarnation=own.incarnation)]
            return []
        if not may_hold or own.incarnation < self._incarnation:
            return []
        if self.holder.asks_in_vain(now_s):
            reach_until_s = self.inflight.all_until_s(now_s)
            ending = self.holder.let_go(own, reach_until_s, now_s)
            return [SendRenewal(witness, ending) for witness in self.holder.asked]
        if self._groups.lost.waits(own.reset_pending, now_s):
            return []
        forced = forced and self.holder.asking(now_s)
        in_turn = forced or self.holder.due(now_s)
        newest_epoch = self.table.newest_epoch(own.lease_epoch)
        if not in_turn and not self.holder.has_news(newest_epoch, now_s):
            return []
        witnesses = own.witnesses or self._groups.choose(state)
        if not witnesses or self.holder.phase in ("surrendered", "superseded"):
            return []
        groups = [witnesses, own.earlier_witnesses]
        self.holder.use_witnesses([group for group in groups if group])
        reach_until_s = self.inflight.reach_until_s(now_s)
        renewal = self.holder.renewal(own, reach_until_s, now_s, extra=not in_turn)
        return [
            SendRenewal(witness, self.holder.vouched(renewal, witness))
            for witness in self.holder.asked
        ]

    def renewed(self, witness, number, term, now_s):
        """Count a witness's grant of a renewal; return what to do."""
        before = self.holder.phase
        self.holder.granted(witness, number, term, now_s)
        if (before, self.holder.phase) == ("lapsed", "held"):
            self.wake()
            return [report("lease_healed")]
        return []

    def _reset_witnesses(self, state, now_s, may_hold):
        own = self.own(state)
        may_hold = may_hold and own.incarnation == self._incarnation
        wants_probe, record = self._groups.in_place_of_lost(state, own, may_hold, now_s)
        if wants_probe:
            return [ProbeMembers()]
        if record is None:
            return []
        return self._append(Purpose(RESET, own.lease_epoch), record, now_s)

    def _start(self, state, now_s):
        """Have the log say that the lease began, once a majority granted it."""
        if self.holder.phase != "starting":
            return []
        own = self.own(state)
        if own.earlier_witnesses and not self._groups.earlier_told(own):
            return []
        witnesses = own.witnesses or self.holder.lease.groups[0]
        record = self._groups.lease_started(own, witnesses)
        return self._append(Purpose(START, self.holder.continuity), record, now_s)

    def _replace_witnesses(self, state, now_s):
        if not self.holder.owns(now_s):
            return []
        own = self.own(state)
        record = self._groups.in_place_of_unfit(state, own, now_s)
        if record is None:
            return []
        return self._append(Purpose(WITNESSES, own.lease_epoch), record, now_s)

    def surrender(self, state, reason, now_s, held_until_s=None):
        """Give up the lease and all shares at once; return what to tell.

        What was forwarded may still take effect; the witnesses are told until
        when, and make the standbys wait for it. ``held_until_s`` is when the last
        grant ends that the backend server may have, whatever it rests on; it delays
        them too. ``NOTHING_HELD_S`` says that the server is proved dead, and ``None``
        that the end isn't known.
        """
        if self.holder.phase in ("surrendered", "superseded"):
            return []
        witnesses = self.holder.lease.witnesses
        reach_until_s = self.inflight.all_until_s(now_s)
        renewal = self.holder.surrender(
            self.own(state), reach_until_s, now_s, held_until_s
        )
        actions = [report("lease_surrendered", reason=reason)]
        actions += [SendRenewal(witness, renewal) for witness in witnesses]
        for claim in list(self.claims.values()):
            actions += self._end_claim(claim, now_s, held_until_s=held_until_s)
        return actions

    def recover(self):
        """Ask for the lease again after a surrender."""
        self.holder.recover()

    # Claims.

    def lapsed(self, state, owner_id, now_s):
        """Hear from a witness that an owner's lease lapsed; return what to do."""
        owner = state.members.get(owner_id)
        if owner is None or owner_id in self.claims or not owner.witnesses:
            return []
        if owner_id == self._node_id or not self.holder.owns(now_s):
            return []
        if now_s < self._claim_not_before_s.get(owner_id, now_s):
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
        )
        self.claims[owner_id] = claim
        return self._send_claim(claim, now_s)

    def claimed(self, owner_id, witness, number, term, now_s):
        """Count a witness's grant of a claim; return what to do."""
        claim = self.claims.get(owner_id)
        if claim is None or not claim.granted(witness, number, term, now_s):
            return []
        self.table.claim_gained(claim, now_s)
        self.wake()
        return [report("takeover", owner=owner_id, slices=len(claim.share))]

    def claim_denied(self, owner_id, denial, now_s):
        """Begin a claim anew that is built on an older view than a witness has.

        When several standbys take over from one owner, the first record moves
        the view of the others. Tried on, their claims would wait for their own
        end, and their keys would be served two leases later than need be.
        """
        claim = self.claims.get(owner_id)
        if denial not in _OUTDATED or claim is None or claim.held_since_s is not None:
            return []
        return self._end_claim(claim, now_s)

    def _send_claim(self, claim, now_s):
        message = claim.message(self.inflight.reach_until_s(now_s), now_s)
        self._claim_number = max(self._claim_number, message.round)
        return [SendClaim(witness, message) for witness in claim.lease.witnesses]

    def _tick_claim(self, state, claim, now_s, forced):
        if claim.tick(now_s):
            # Where an owner and its standby each have some of the witnesses,
            # neither gets a majority, and each keeps the other from one. The
            # standby lets go for long enough that a live owner is renewed.
            if claim.lease.terms_now(now_s):
                pause_s = CLAIM_PAUSE_LEASES * self._terms.lease_s
                self._claim_not_before_s[claim.owner_id] = now_s + pause_s
            return self._end_claim(claim, now_s)
        actions = []
        if forced or claim.due(now_s):
            actions += self._send_claim(claim, now_s)
        if claim.held_since_s is not None:
            actions += self._record_claim(state, claim, now_s)
        return actions

    def _record_claim(self, state, claim, now_s):
        """Have the log say what was taken over; end the claim once it does."""
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
        """Return whether all of a claim's share is this node's by the log.

        What the planner moved elsewhere meanwhile isn't: this node's server may
        hold it until its grants end, and the next owner has to wait for that.
        """
        pieces = [state.slices[key.service].at_start(key.start) for key in claim.share]
        return all(p and self._node_id in (p.owner, p.previous) for p in pieces)

    def _outstanding(self, state, claim):
        """Return what of a claim's share the log doesn't have on record yet."""
        takes, completions = [], []
        for key in claim.share:
            piece = state.slices[key.service].at_start(key.start)
            if piece is None or piece.epoch != key.epoch:
                continue
            if piece.owner == claim.owner_id:
                take = SliceTake(
                    service=key.service, start=key.start, base_epoch=key.epoch
                )
                takes.append(take)
            elif piece.previous == claim.owner_id:
                completions.append(key)
        return takes, completions

    def _end_claim(self, claim, now_s, recorded=False, held_until_s=None):
        """Give a share back; what is in flight under it still counts."""
        claim.over = True
        del self.claims[claim.owner_id]
        acts_until_s = self._claim_acts_until_s(claim, recorded, now_s, held_until_s)
        message = claim.message(acts_until_s, now_s)
        self._claim_number = max(self._claim_number, message.round)
        self.wake()
        actions = [SendUnclaim(w, message) for w in claim.lease.witnesses]
        return [*actions, report("claim_over", owner=claim.owner_id)]

    def _claim_acts_until_s(self, claim, recorded, now_s, held_until_s):
        """Return until when something that rested on claims on an owner may act.

        Nothing rests on a claim that was never held. Were its end told with the
        newest request of this node's own keys, a busy node would put off its next
        claim with each one that it ends, and the owner's keys would stay dark. So they
        would for a lease where the server is known to hold less than it might.
        """
        known_s = self._acts_until_s.get(claim.owner_id, now_s)
        if claim.held_since_s is not None:
            known_s = max(
                known_s, self._held_claim_acts_until_s(claim, recorded, now_s)
            )
        if self._fenced and held_until_s is not None:
            known_s = min(known_s, held_until_s)
        self._acts_until_s[claim.owner_id] = known_s
        return max(known_s, now_s)

    def _held_claim_acts_until_s(self, claim, recorded, now_s):
        if not self._fenced:
            return self.inflight.all_until_s(now_s)
        # A server that checks fences ends its work with its grants, and these end
        # with the claim. What the log has on record rests on the own lease alone.
        return now_s if recorded else claim.lease.until_s()

    # Releases.

    def _scan(self, state, now_s):
        """Ask for awaited releases, and record those that were received."""
        actions = []
        for key, piece in self.table.awaited(state, now_s):
            if key not in self._asking:
                self._asking.add(key)
                actions.append(AskRelease(piece.previous, key))
        for key in self.table.unrecorded(state):
            actions += self._complete(key, now_s)
        return actions

    def awaits(self, state, key, now_s):
        """Return whether a release still has to be asked for."""
        return any(key == other for other, _ in self.table.awaited(state, now_s))

    def stop_asking(self, key):
        """Take note that nobody asks for a release any more."""
        self._asking.discard(key)

    def released(self, key, vouched, now_s):
        """Take an earlier owner's release; return what to do."""
        self._asking.discard(key)
        self.table.released(key, float("-inf") if vouched else now_s)
        self.wake()
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

    def appended(self, state, purpose, outcome, now_s):
        """Take a record's outcome, or ``None`` if it wasn't read back in time."""
        self._appending.discard(purpose)
        if outcome is None:
            self._not_before_s[purpose] = now_s + APPEND_RETRY_S
            return []
        self._not_before_s.pop(purpose, None)
        if purpose.kind == START and outcome.accepted:
            return self._started(state, purpose.detail, outcome, now_s)
        if purpose.kind == TAKE and not outcome.accepted:
            # The owner came back, or the planner decided otherwise, before
            # this record: the claim was on an assignment that is void now.
            claim = self.claims.get(purpose.detail)
            return self._end_claim(claim, now_s) if claim else []
        return []

    def _started(self, state, continuity, outcome, now_s):
        if continuity != self.holder.continuity or self.holder.phase != "starting":
            return []
        self.table.lease_began(state, now_s)
        self.holder.start_read_back(continuity)
        self.wake()
        return [report("lease_started", offset=outcome.offset)]

    def folded(self, state, record, result, now_s):
        """Take note of a record that the fold has just applied."""
        self._watch.folded(state, record, result, now_s)
        if result.accepted and isinstance(record, _MOVING):
            self.wake()

    def loaded(self, state, now_s):
        """Take note that a snapshot took the place of the state.

        Between the two states a slice may have moved away and back, and no
        record tells of it here. Were the earlier memory of request ids still
        vouched for, a booking that another owner had run in between would be
        run a second time. Nothing from before is therefore vouched for.
        """
        self.table.lease_began(state, now_s)
        self._watch.copy(state)
        self.wake()
