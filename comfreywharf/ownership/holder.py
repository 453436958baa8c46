"""The state of a node's own lease, from the first request to its loss."""

import attrs

from comfreywharf.membership import Chart, load_chart
from comfreywharf.ownership.messages import Renewal
from comfreywharf.ownership.quorum import QuorumLease

__all__ = ["Holder", "OwnLease"]

MAJORITY_TIMEOUT_LEASES = 3.0
"""How long a starting node requests the lease without a majority before it pauses."""

PAUSE_LEASES = 2.0
"""How long it then sends no requests, so that its standbys can claim the lease."""

_CHART = load_chart(__package__, "lease.toml")


@attrs.frozen(kw_only=True)
class OwnLease:
    """The node's lease according to its own fold."""

    incarnation: int = -1
    lease_incarnation: int = -1
    lease_epoch: int = -1
    portfolio_epoch: int = -1
    witnesses: tuple[str, ...] = ()
    reset_pending: bool = False
    earlier_witnesses: tuple[str, ...] = ()


class Holder:
    """Decide when a node renews its lease, and while it may own slices by it.

    ``lease_s`` is the length that the next renewal requests.

    A lapse during which no other node held the lease is healed without the log: if
    a majority of the witnesses still has the term that it granted before, no taker
    can have had a majority since. Otherwise the lease restarts by a
    `LeaseStarted` record. It is appended only after the majority was gained, so
    that an earlier takeover is refused for its stale epoch.
    """

    def __init__(self, node_id, incarnation, terms):
        self._node_id = node_id
        self._incarnation = incarnation
        self._terms = terms
        self._chart = Chart(_CHART)
        self._lease = QuorumLease(terms, [()])
        self._known_witness_terms = {}
        self._generation = 0
        self._ended_predecessor = None
        self._was_started = False
        self._round_sent_s = float("-inf")
        self._sent_epoch = -1
        self._paused_until_s = float("-inf")
        self._majority_due_s = None
        self._requested_since_s = {}
        self._refusing_until_s = {}
        self._regained_s = float("-inf")
        self._requested_until_s = float("-inf")
        self.lease_s = terms.lease_s
        self.candidates = ()

    def set_incarnation(self, incarnation, ended_predecessor=None):
        """Set the incarnation of this process, before any request is sent.

        ``ended_predecessor`` is the incarnation of a process of this node that has
        certainly ended. As long as it is the last one that held the lease, the
        witnesses are told so until they grant the lease.
        """
        self._incarnation = incarnation
        self._ended_predecessor = ended_predecessor

    @property
    def phase(self):
        """Return the state of the lease's state machine, see ``lease.toml``."""
        return self._chart.state

    @property
    def generation(self):
        """Return a number that grows when the lease is gained anew.

        It stays the same when a lapse is healed.
        """
        return self._generation

    @property
    def lease(self):
        """Return the lease as the witnesses granted it."""
        return self._lease

    def use_witnesses(self, groups):
        """Use these groups of witnesses from now on.

        Grants of witnesses that stay are kept. Round numbers continue, since a
        witness refuses an old one.
        """
        groups = [tuple(group) for group in groups]
        if groups != self._lease.groups:
            self._lease.groups = groups

    @property
    def next_round_s(self):
        """Return when the next round of renewals is due.

        It is sooner than usual if a majority of the witnesses has said that they may
        grant the lease sooner.
        """
        regular_s = self._round_sent_s + self._terms.renew_interval_s
        willing_s = self._majority_willing_s()
        return willing_s if self._round_sent_s < willing_s < regular_s else regular_s

    def refused(self, witness, retry_after_s, now_s):
        """Register that a witness refuses the lease for a time that it named.

        A majority that refuses holds no lease for this node that would keep standbys
        out, so that a pause of the requests would only delay the lease.
        """
        self._refusing_until_s[witness] = now_s + retry_after_s
        if self._majority_due_s is not None and self._majority_willing_s() > now_s:
            timeout_s = MAJORITY_TIMEOUT_LEASES * self._terms.lease_s
            self._majority_due_s = max(self._majority_due_s, now_s + timeout_s)

    def _majority_willing_s(self):
        """Return when a majority of each group may grant the lease."""
        if not self._refusing_until_s:
            return float("-inf")
        ends_s = [
            sorted(self._refusing_until_s.get(w, float("-inf")) for w in group)
            for group in self._lease.groups
            if group
        ]
        return max((ends[len(ends) // 2] for ends in ends_s), default=float("-inf"))

    def renewal_due(self, now_s):
        """Return whether it is time to renew."""
        if not self.may_request(now_s):
            return False
        return now_s >= self.next_round_s

    def has_new_epoch(self, epoch, now_s):
        """Return whether to renew at once, to send the witnesses a new epoch.

        Nothing is served under an epoch before they have acknowledged it.
        """
        return (
            self.phase == "held"
            and self.may_request(now_s)
            and epoch > self._sent_epoch
        )

    def may_request(self, now_s):
        """Return whether requests may be sent to the witnesses now."""
        if self.phase in ("surrendered", "superseded"):
            return False
        return now_s >= self._paused_until_s

    def majority_overdue(self, now_s):
        """Return whether to pause, since there was no majority for too long.

        If a node's requests arrive but the answers are lost, it would otherwise
        extend its lease at the witnesses forever without holding it, and no
        standby could take over its keys.
        """
        if self.phase not in ("lapsed", "acquiring"):
            return False
        return self._majority_due_s is not None and now_s >= self._majority_due_s

    def pause(self, own_lease, reach_until_s, now_s, held_until_s=None):
        """Pause requests for a while; return the renewal that ends the lease.

        Answers that are still in transit no longer count, since the witnesses
        that sent them will have ended the lease. ``held_until_s`` is as in
        `surrender`.
        """
        self._lease.reset()
        self._requested_until_s = float("-inf")
        self._paused_until_s = now_s + PAUSE_LEASES * self._terms.lease_s
        timeout_s = MAJORITY_TIMEOUT_LEASES * self._terms.lease_s
        self._majority_due_s = self._paused_until_s + timeout_s
        return self._ending(own_lease, reach_until_s, now_s, held_until_s)

    def renewal(self, own_lease, reach_until_s, now_s, extra=False, held_until_s=None):
        """Return the renewal to send to each of ``recipients`` now.

        An ``extra`` renewal doesn't change when the next regular one is due. The
        lease is requested at least until ``held_until_s``, the end of the backend
        server's last grant, if that is known: the grant may be based on an earlier
        lease, and a witness counts by the newest request only.
        """
        if held_until_s is not None:
            self._requested_until_s = max(self._requested_until_s, held_until_s)
        if not extra:
            self._round_sent_s = now_s
        self._sent_epoch = max(own_lease.lease_epoch, own_lease.portfolio_epoch)
        if self._majority_due_s is None:
            self._majority_due_s = now_s + MAJORITY_TIMEOUT_LEASES * self._terms.lease_s
        self._requested_since_s = {
            witness: self._requested_since_s.get(witness, now_s)
            for witness in self.recipients
        }
        lease_s = self._length_s(now_s)
        number = self._lease.begin_round(
            now_s,
            reach_until_s,
            own_lease.portfolio_epoch,
            own_lease.lease_epoch,
            lease_s,
        )
        return self._message(own_lease, lease_s, reach_until_s - now_s, number)

    def _length_s(self, now_s):
        """Return the length to request now.

        The end never moves back: this node relies on an earlier request's end until
        that has passed, while a witness counts by the newest request.
        """
        self._requested_until_s = max(self._requested_until_s, now_s + self.lease_s)
        return self._requested_until_s - now_s

    def mark_vouched(self, renewal, witness):
        """Return a renewal for one witness; ``vouched`` if its earlier grant counts."""
        vouched = self._lease.had_grant(witness, renewal.round)
        return attrs.evolve(renewal, vouched=vouched)

    @property
    def recipients(self):
        """Return the nodes that get renewals: witnesses, and candidates for them."""
        return tuple(dict.fromkeys((*self._lease.witnesses, *self.candidates)))

    def silent_witnesses(self, now_s):
        """Return those of ``recipients`` that have granted nothing for too long.

        A witness that refuses isn't silent for as long as it names, nor is any that
        this node couldn't hear since it heard from no majority itself.
        """
        limit_s = now_s - self._terms.replace_witness_after_s
        return {
            witness
            for witness, since_s in self._requested_since_s.items()
            if max(since_s, self._last_sign_s(witness), self._regained_s) < limit_s
        }

    def _last_sign_s(self, witness):
        """Return the end of a witness's grant, the shortest one, or of its refusal."""
        granted_until_s = self._terms.held_until_s(self._lease.confirmed_s(witness))
        refusing_until_s = self._refusing_until_s.get(witness, float("-inf"))
        return max(granted_until_s, refusing_until_s)

    def granted_by_majority(self, group, now_s):
        """Return whether a majority of a group currently grants the lease."""
        granting = [w for w in group if now_s < self._lease.granted_until_s(w)]
        return 2 * len(granting) > len(group)

    def grant_received(self, witness, number, term, now_s):
        """Register a grant, and change the state if it gives a majority."""
        if self.phase in ("surrendered", "superseded"):
            return
        # A lapse has to be detected before the grant counts. Otherwise a grant
        # that arrives after the end would join two periods of the lease with a gap
        # between them, in which a taker may have served.
        self.tick(now_s)
        self._lease.grant(witness, number, term, now_s)
        self._refusing_until_s.pop(witness, None)
        if not self._lease.held(now_s):
            return
        granting = self._lease.witness_terms(now_s)
        if self.phase == "lapsed":
            self._regained_s = now_s
            self._regain(granting)
        elif self.phase == "acquiring":
            self._chart.fire("majority")
            self._generation += 1
            self._known_witness_terms = {}
        self._known_witness_terms.update(granting)

    def _regain(self, granting):
        """End a lapse: heal it, or start the lease anew if a taker may have had it."""
        unbroken = {
            witness
            for witness, term in granting.items()
            if self._known_witness_terms.get(witness) == term
        }
        if self._was_started and self._lease.majority_of(unbroken):
            self._chart.fire("majority_unbroken")
            return
        self._chart.fire("majority_broken")
        self._generation += 1
        self._known_witness_terms = {}

    def tick(self, now_s):
        """Detect a lapse of the lease; return whether there was one."""
        if self.phase not in ("held", "starting") or self._lease.held(now_s):
            return False
        self._was_started = self.phase == "held"
        self._majority_due_s = now_s + self._terms.lease_s
        return self._chart.fire("majority_lost")

    def start_read_back(self, generation):
        """Register that the `LeaseStarted` record of a generation was read back."""
        if generation == self._generation and self.phase == "starting":
            self._chart.fire("started")

    def surrender(self, own_lease, reach_until_s, now_s, held_until_s=None):
        """Stop owning slices at once; return the renewal that ends the lease.

        It allows a standby to begin before the lease would have lapsed. All grants
        are dropped, including those still in transit: they would count after a
        recovery although the witnesses have ended the lease. ``held_until_s`` is
        the end of the backend server's last grant; if it is ``None``, the renewal
        names no such end.
        """
        self._chart.fire("surrender")
        self._lease.reset()
        self._requested_until_s = float("-inf")
        return self._ending(own_lease, reach_until_s, now_s, held_until_s)

    def _ending(self, own_lease, reach_until_s, now_s, held_until_s):
        held_s = 0.0 if held_until_s is None else max(0.0, held_until_s - now_s)
        number = self._lease.next_number()
        return self._message(own_lease, held_s, reach_until_s - now_s, number)

    def _message(self, own_lease, lease_s, reach_s, number):
        return Renewal(
            owner_id=self._node_id,
            incarnation=self._incarnation,
            lease_epoch=own_lease.lease_epoch,
            portfolio_epoch=own_lease.portfolio_epoch,
            lease_s=lease_s,
            reach_s=max(0.0, reach_s),
            round=number,
            predecessor_ended=self._has_predecessor_ended(own_lease),
        )

    def _has_predecessor_ended(self, own_lease):
        """Return whether the last holder of the lease is the process that ended.

        The fold may have lacked a later one when this process started.
        """
        return (
            self._generation == 0
            and self._ended_predecessor is not None
            and own_lease.lease_incarnation == self._ended_predecessor
        )

    def recover(self):
        """Request the lease again after a surrender.

        The request is due at once, since the keys are unavailable until then.
        """
        self._chart.fire("recover")
        self._majority_due_s = None
        self._round_sent_s = float("-inf")

    def supersede(self):
        """Give up the lease permanently, since a newer process uses this node's id."""
        return self._chart.fire("replaced")

    def owns(self, now_s):
        """Return whether the node may own slices now."""
        return self.phase == "held" and self._lease.held(now_s)
