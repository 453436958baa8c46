"""The holder: a node's own lease, from its first request to its loss."""

import attrs

from comfreywharf.membership import Chart, load_chart
from comfreywharf.ownership.messages import Renewal
from comfreywharf.ownership.quorum import QuorumLease

__all__ = ["Holder", "OwnLease"]

PATIENCE_LEASES = 3.0
"""How long a node that starts asks without a majority before it lets go."""

LET_GO_LEASES = 2.0
"""How long it then leaves the witnesses alone, for its standbys to claim."""

_CHART = load_chart(__package__, "lease.toml")


@attrs.frozen(kw_only=True)
class OwnLease:
    """What the node's own fold says of its lease."""

    incarnation: int = -1
    lease_epoch: int = -1
    portfolio_epoch: int = -1
    witnesses: tuple[str, ...] = ()
    reset_pending: bool = False
    earlier_witnesses: tuple[str, ...] = ()


class Holder:
    """Decide when to renew, when the node owns, and when it has to stop.

    A lapse in which nobody else held the lease is healed without the log: if a
    majority of the witnesses still remembers the term it granted before, no
    taker can have had a majority since. Anything else begins anew with a
    `LeaseStarted` record, appended only after the majority was gained, since a
    takeover that was built before then must find a stale epoch.
    """

    def __init__(self, node_id, incarnation, terms):
        self._node_id = node_id
        self._incarnation = incarnation
        self._terms = terms
        self._chart = Chart(_CHART)
        self._lease = QuorumLease(terms, [()])
        self._known_terms = {}
        self._continuity = 0
        self._was_started = False
        self._round_sent_s = float("-inf")
        self._asked_epoch = -1
        self._pause_until_s = float("-inf")
        self._hopeful_until_s = None
        self._asked_since_s = {}
        self.candidates = ()

    def begin(self, incarnation):
        """Take the number of this process, before anything is asked."""
        self._incarnation = incarnation

    @property
    def phase(self):
        """Return the state of the lease's chart."""
        return self._chart.state

    @property
    def continuity(self):
        """Return a number that changes whenever the hold was broken."""
        return self._continuity

    @property
    def lease(self):
        """Return the lease as the witnesses granted it."""
        return self._lease

    def use_witnesses(self, groups):
        """Ask these groups of witnesses from now on.

        Grants of witnesses that stay are kept; the round numbers go on, since
        a witness refuses an old one.
        """
        groups = [tuple(group) for group in groups]
        if groups != self._lease.groups:
            self._lease.groups = groups

    @property
    def next_round_s(self):
        """Return when the witnesses are to be asked again."""
        return self._round_sent_s + self._terms.renew_interval_s

    def due(self, now_s):
        """Return whether it is time to renew."""
        if not self.asking(now_s):
            return False
        return now_s >= self.next_round_s

    def has_news(self, epoch, now_s):
        """Return whether the witnesses have to be asked at once, to tell an epoch.

        Until they know of it, what is served under it waits.
        """
        return self.phase == "held" and self.asking(now_s) and epoch > self._asked_epoch

    def asking(self, now_s):
        """Return whether the witnesses are asked at all at the moment."""
        if self.phase in ("surrendered", "superseded"):
            return False
        return now_s >= self._pause_until_s

    def asks_in_vain(self, now_s):
        """Return whether to let go, since no majority came for too long.

        A node whose requests arrive and whose answers don't would otherwise
        extend its lease at the witnesses for ever without ever holding it, and
        no standby could take its keys over.
        """
        if self.phase not in ("lapsed", "acquiring"):
            return False
        return self._hopeful_until_s is not None and now_s >= self._hopeful_until_s

    def let_go(self, own, reach_until_s, now_s):
        """Stop asking for a while; return the renewal that ends the lease.

        Answers that are still on their way must not count any more: their
        witnesses will have let go.
        """
        self._lease.reset()
        self._pause_until_s = now_s + LET_GO_LEASES * self._terms.lease_s
        patience_s = PATIENCE_LEASES * self._terms.lease_s
        self._hopeful_until_s = self._pause_until_s + patience_s
        return self._ending(own, reach_until_s, now_s)

    def renewal(self, own, reach_until_s, now_s, extra=False):
        """Return the renewal to send to each of ``asked`` now.

        An ``extra`` one leaves the times of the others as they are.
        """
        if not extra:
            self._round_sent_s = now_s
        self._asked_epoch = max(own.lease_epoch, own.portfolio_epoch)
        if self._hopeful_until_s is None:
            self._hopeful_until_s = now_s + PATIENCE_LEASES * self._terms.lease_s
        self._asked_since_s = {
            witness: self._asked_since_s.get(witness, now_s) for witness in self.asked
        }
        number = self._lease.begin_round(
            now_s, reach_until_s, own.portfolio_epoch, own.lease_epoch
        )
        return self._message(own, self._terms.lease_s, reach_until_s - now_s, number)

    def vouched(self, renewal, witness):
        """Return a renewal as one witness gets it, with the word on its own grant."""
        vouched = self._lease.vouches_for(witness, renewal.round)
        return attrs.evolve(renewal, vouched=vouched)

    @property
    def asked(self):
        """Return the witnesses, and those that may become witnesses."""
        return tuple(dict.fromkeys((*self._lease.witnesses, *self.candidates)))

    def silent(self, now_s):
        """Return those asked that haven't granted anything for too long."""
        limit_s = now_s - self._terms.replace_witness_after_s
        return {
            witness
            for witness, since_s in self._asked_since_s.items()
            if max(since_s, self._lease.granted_until_s(witness)) < limit_s
        }

    def granted_by_majority(self, group, now_s):
        """Return whether a majority of a group grants the lease now."""
        granting = [w for w in group if now_s < self._lease.granted_until_s(w)]
        return 2 * len(granting) > len(group)

    def granted(self, witness, number, term, now_s):
        """Count a grant, and move the chart if it gives a majority."""
        if self.phase in ("surrendered", "superseded"):
            return
        # The lapse is noticed before the grant counts. Else a grant that came
        # after the end would join two holds with a gap between them, and a
        # taker may have served in that gap.
        self.tick(now_s)
        self._lease.grant(witness, number, term, now_s)
        if not self._lease.held(now_s):
            return
        granting = self._lease.terms_now(now_s)
        if self.phase == "lapsed":
            self._regain(granting)
        elif self.phase == "acquiring":
            self._chart.fire("majority")
            self._continuity += 1
            self._known_terms = {}
        self._known_terms.update(granting)

    def _regain(self, granting):
        unbroken = {
            witness
            for witness, term in granting.items()
            if self._known_terms.get(witness) == term
        }
        if self._was_started and self._lease.majority_of(unbroken):
            self._chart.fire("majority_unbroken")
            return
        self._chart.fire("majority_broken")
        self._continuity += 1
        self._known_terms = {}

    def tick(self, now_s):
        """Notice a lapse; return whether there was one."""
        if self.phase not in ("held", "starting") or self._lease.held(now_s):
            return False
        self._was_started = self.phase == "held"
        self._hopeful_until_s = now_s + self._terms.lease_s
        return self._chart.fire("majority_lost")

    def start_read_back(self, continuity):
        """Take note that the log holds the `LeaseStarted` of a hold."""
        if continuity == self._continuity and self.phase == "starting":
            self._chart.fire("started")

    def surrender(self, own, reach_until_s, now_s, held_until_s=None):
        """Stop owning at once; return the renewal of no length for the witnesses.

        It lets a standby begin before the lease would have lapsed. Grants that
        are kept, or still on their way, would count after a recovery although
        the witnesses have let go; they are forgotten. Of grants whose end isn't known
        none is told.
        """
        self._chart.fire("surrender")
        self._lease.reset()
        held_s = 0.0 if held_until_s is None else max(0.0, held_until_s - now_s)
        return self._ending(own, reach_until_s, now_s, held_s)

    def _ending(self, own, reach_until_s, now_s, held_s=0.0):
        number = self._lease.next_number()
        return self._message(own, held_s, reach_until_s - now_s, number)

    def _message(self, own, lease_s, reach_s, number):
        return Renewal(
            owner_id=self._node_id,
            incarnation=self._incarnation,
            lease_epoch=own.lease_epoch,
            portfolio_epoch=own.portfolio_epoch,
            lease_s=lease_s,
            reach_s=max(0.0, reach_s),
            round=number,
        )

    def recover(self):
        """Begin anew after a surrender, and ask at once: keys are dark until then."""
        self._chart.fire("recover")
        self._hopeful_until_s = None
        self._round_sent_s = float("-inf")

    def supersede(self):
        """Stop for good: a newer process has this node's id."""
        return self._chart.fire("replaced")

    def owns(self, now_s):
        """Return whether the node may own anything now."""
        return self.phase == "held" and self._lease.held(now_s)
