"""The witness, which keeps in memory which node holds which lease until when.

Each node's lease has at least three witnesses, and a majority of them decides. A
witness stores nothing durably; durable state is in the log. It may lose its memory,
provided that it then grants nothing until all its earlier grants have lapsed.

The proof of sole ownership, in short: a holder and a taker of one lease each need a
majority, so that they share a witness, and that witness grants the lease to only one of
them at a time. Requests that are based on a stale fold are refused by their epochs:
``lease_epoch`` shows that the owner's lease has restarted since, and
``portfolio_epoch`` that the taker hasn't folded the latest change to the owner's
slices.
"""

import math

import attrs

from comfreywharf.ownership.messages import Denial, Grant

__all__ = ["Witness"]

TERMS_PER_START = 1 << 20
NOTICE_INTERVAL_S = 0.25
NEVER_S = float("-inf")


@attrs.define(kw_only=True)
class _Taker:
    """A standby that holds a share of a lapsed lease."""

    incarnation: int
    lease_epoch: int
    portfolio_epoch: int
    expires_s: float
    reach_until_s: float
    round: int

    @property
    def view(self):
        return self.lease_epoch, self.portfolio_epoch

    @property
    def acts_until_s(self):
        return max(self.expires_s, self.reach_until_s)

    def active(self, now_s):
        return now_s < self.acts_until_s


@attrs.define(kw_only=True)
class _WatchedLease:
    """One lease: its holder, or the takers of its shares.

    ``predecessor_until_s`` is the end of the lease of a process that has ended, and
    whose backend server may still hold what it granted. Takers wait for that as well.
    """

    incarnation: int = -1
    lease_epoch: int = -1
    portfolio_epoch: int = -1
    expires_s: float = NEVER_S
    reach_until_s: float = NEVER_S
    round: int = -1
    term: int = 0
    takers: dict[str, _Taker] = attrs.Factory(dict)
    notified_s: float = NEVER_S
    renewable_s: float = NEVER_S
    predecessor_until_s: float = NEVER_S

    @property
    def was_held(self):
        """Return whether a node has held this lease since the witness started."""
        return self.round >= 0 or bool(self.takers)

    def held_until_s(self, checks_fences):
        """Return until when the owner may serve, or its requests may take effect.

        A backend server that checks fences refuses a request whose grant has lapsed,
        so that no wait beyond the lease is needed.
        """
        lease_until_s = max(self.expires_s, self.predecessor_until_s)
        return (
            lease_until_s if checks_fences else max(lease_until_s, self.reach_until_s)
        )

    def drop_inactive(self, now_s):
        for taker_id in [
            t for t, taker in self.takers.items() if not taker.active(now_s)
        ]:
            del self.takers[taker_id]


class Witness:
    """Decide on renewals and claims of the leases that this node is a witness of.

    ``start_number`` differs with each start of the process. ``longest_request_s``
    is the longest time to a deadline that any owner may have outstanding.

    No earlier process of this node was named as a witness by a record from offset
    ``first_named`` on; ``None`` means that an earlier process may be named by any.
    """

    def __init__(self, terms, started_s, start_number, first_named=None):
        self._terms = terms
        self._started_s = started_s
        self._first_named = first_named
        self._next_term = start_number * TERMS_PER_START
        self._watched = {}
        self.silent_until_s = terms.silent_until_s(started_s)

    def renew(self, renewal, view, longest_request_s, now_s):
        """Answer an owner's request for its own lease."""
        # If fences are checked, no request that an earlier process forwarded
        # outlives its grants, and these ended with the lease. A wait for the
        # longest request would only delay the start after the loss of all
        # nodes, by 7 s.
        awaits_requests = (
            view.lease_epoch >= 0
            and view.lease_incarnation != renewal.incarnation
            and not view.checks_fences
        )
        succeeds = _succeeds_ended_process(renewal, view)
        wait_s = self._wait_s(
            renewal.owner_id,
            0.0 if succeeds else view.longest_lease_s,
            awaits_requests and self._may_have_forgotten(view),
            longest_request_s,
            now_s,
        )
        # ``vouched`` says that a grant by this witness's earlier process still
        # counts, so that the process granted the lease to no other node. If the
        # witness refused this owner as well, a simultaneous restart of three
        # witnesses would make a healthy node's keys unavailable.
        if wait_s > 0 and not renewal.vouched:
            return self._deny(Denial.SILENT, wait_s)
        watched = self._lookup(renewal.owner_id)
        if renewal.incarnation < max(view.incarnation, watched.incarnation):
            return self._deny(Denial.STALE)
        if renewal.lease_epoch < max(view.lease_epoch, watched.lease_epoch):
            return self._deny(Denial.STALE)
        watched.drop_inactive(now_s)
        if watched.takers:
            return self._deny(Denial.TAKEN, self._taken_for_s(watched, now_s))
        if renewal.incarnation == watched.incarnation:
            if renewal.round <= watched.round:
                return self._deny(Denial.OLD_ROUND)
        else:
            # The earlier incarnation may be a frozen machine that was replaced.
            # It may serve until its lease is over, and its forwarded requests
            # may take effect until their deadlines.
            held_until_s = watched.held_until_s(view.checks_fences)
            if now_s < held_until_s and not succeeds:
                return self._deny(Denial.HELD, held_until_s - now_s)
            watched.predecessor_until_s = held_until_s
            watched.term = self._new_term()
        self._hold(watched, renewal, now_s)
        return Grant(granted=True, term=watched.term)

    def _hold(self, watched, renewal, now_s):
        if not watched.term:
            watched.term = self._new_term()
        watched.incarnation = renewal.incarnation
        watched.lease_epoch = renewal.lease_epoch
        watched.portfolio_epoch = max(watched.portfolio_epoch, renewal.portfolio_epoch)
        watched.round = renewal.round
        watched.expires_s = self._terms.expires_s(now_s, renewal.lease_s)
        watched.reach_until_s = self._terms.expires_s(now_s, renewal.reach_s)

    def claim(self, claim, view, longest_request_s, now_s):
        """Answer a standby's claim on a share of a lapsed lease."""
        awaits_requests = not view.checks_fences and self._may_have_forgotten(view)
        wait_s = self._wait_s(
            claim.owner_id,
            view.longest_lease_s,
            awaits_requests,
            longest_request_s,
            now_s,
        )
        if wait_s > 0:
            return self._deny(Denial.SILENT, wait_s)
        watched = self._lookup(claim.owner_id)
        expected_s = self._renewal_expected_s(watched)
        if now_s < expected_s and not watched.was_held:
            return self._deny(Denial.SILENT, expected_s - now_s)
        watched.drop_inactive(now_s)
        current = watched.takers.get(claim.taker_id)
        if current and current.incarnation == claim.taker_incarnation:
            if claim.round <= current.round:
                return self._deny(Denial.OLD_ROUND)
            if claim.view == current.view:
                # The taker has held its share since then, so that no later
                # view of the assignment can be in force for this share.
                return self._grant_share(watched, claim, now_s)
        denial = self._claim_denial(watched, claim, view)
        if denial is not Denial.NONE:
            return self._deny(denial)
        held_until_s = watched.held_until_s(view.checks_fences)
        if now_s < held_until_s:
            return self._deny(Denial.HELD, held_until_s - now_s)
        if not watched.takers:
            watched.term = self._new_term()
        return self._grant_share(watched, claim, now_s)

    def _wait_s(
        self, owner_id, longest_lease_s, awaits_requests, longest_request_s, now_s
    ):
        """Return how long this witness still has to refuse grants of a lease.

        ``longest_lease_s`` bounds the owner's leases that may still count; claims
        never last longer than the shortest lease.
        After a restart it has no record of an owner's outstanding deadlines until that
        owner has renewed with it. ``awaits_requests`` says that a new process or a
        taker begins to act in the owner's place, and that requests which were
        forwarded earlier may outlast their grants; it has to wait for the longest
        possible deadline. A witness that is new needn't wait: each deadline was
        acknowledged by a majority of the others.
        """
        until_s = self._terms.silent_until_s(self._started_s, longest_lease_s)
        watched = self._watched.get(owner_id)
        if awaits_requests and (watched is None or not watched.was_held):
            until_s = max(until_s, self._started_s + longest_request_s)
        return until_s - now_s

    def _may_have_forgotten(self, view):
        """Return whether an earlier process here may have granted an owner's lease."""
        return self._first_named is None or view.lease_epoch < self._first_named

    def _claim_denial(self, watched, claim, view):
        if claim.lease_epoch < max(view.lease_epoch, watched.lease_epoch):
            return Denial.STALE
        if claim.portfolio_epoch < max(view.portfolio_epoch, watched.portfolio_epoch):
            return Denial.STALE
        for taker in watched.takers.values():
            # Two takers with different views of the assignment could both include
            # the same slice in their shares. One taker could complete a move of a
            # slice that its claim on the earlier view still covers.
            if taker.portfolio_epoch != claim.portfolio_epoch:
                return Denial.OTHER_VIEW
        return Denial.NONE

    def _grant_share(self, watched, claim, now_s):
        watched.lease_epoch = max(watched.lease_epoch, claim.lease_epoch)
        watched.portfolio_epoch = max(watched.portfolio_epoch, claim.portfolio_epoch)
        watched.takers[claim.taker_id] = _Taker(
            incarnation=claim.taker_incarnation,
            lease_epoch=claim.lease_epoch,
            portfolio_epoch=claim.portfolio_epoch,
            expires_s=self._terms.expires_s(now_s, claim.lease_s),
            reach_until_s=self._terms.expires_s(now_s, claim.reach_s),
            round=claim.round,
        )
        return Grant(granted=True, term=watched.term)

    def unclaim(self, claim, now_s):
        """End a taker's share.

        The taker's outstanding deadlines still count.
        """
        watched = self._watched.get(claim.owner_id)
        taker = watched.takers.get(claim.taker_id) if watched else None
        if taker is None or taker.incarnation != claim.taker_incarnation:
            return
        if claim.round > taker.round:
            taker.round = claim.round
            taker.expires_s = now_s
            taker.reach_until_s = self._terms.expires_s(now_s, claim.reach_s)

    def watch(self, longest_leases_s, now_s):
        """Watch these owners' leases; ``longest_leases_s`` bounds them, by owner.

        An owner may have named this witness in a record before it renews here, and
        after a restart this witness refuses its renewals for a while. It is given time
        for a renewal after that, so that no standby claims the lease of a live owner,
        also if another witness has told that standby of a lapse.
        """
        for owner_id, longest_s in longest_leases_s.items():
            if owner_id not in self._watched:
                grants_from_s = self._terms.silent_until_s(self._started_s, longest_s)
                self._lookup(owner_id).renewable_s = max(now_s, grants_from_s)

    def lapsed_owners(self, owner_ids, now_s):
        """Return those of the given owners whose standbys are to be notified now.

        An owner that hasn't renewed since this witness started counts as lapsed
        once the witness grants leases again.
        """
        if now_s < self.silent_until_s:
            return []
        return [owner_id for owner_id in owner_ids if self._notice_due(owner_id, now_s)]

    def next_notice_s(self, owner_ids):
        """Return when `lapsed_owners` has to be called next, if no lease is renewed.

        It is infinite if there are no owners.
        """
        due_s = min(map(self._notice_due_s, owner_ids), default=math.inf)
        return max(due_s, self.silent_until_s)

    def _notice_due_s(self, owner_id):
        watched = self._lookup(owner_id)
        notified_s = watched.notified_s + NOTICE_INTERVAL_S
        return max(watched.expires_s, self._renewal_expected_s(watched), notified_s)

    def _renewal_expected_s(self, watched):
        """Return until when a live owner will have renewed here for the first time."""
        return watched.renewable_s + self._terms.renew_interval_s

    def _notice_due(self, owner_id, now_s):
        if now_s < self._notice_due_s(owner_id):
            return False
        self._lookup(owner_id).notified_s = now_s
        return True

    def drop_owners_except(self, owner_ids, now_s):
        """Drop the state of all other owners, once nothing of theirs may take effect.

        ``owner_ids`` are the members of the cluster.
        """
        for owner_id in set(self._watched) - set(owner_ids):
            watched = self._watched[owner_id]
            watched.drop_inactive(now_s)
            if now_s >= watched.held_until_s(False) and not watched.takers:
                del self._watched[owner_id]

    def _taken_for_s(self, watched, now_s):
        return max(t.acts_until_s for t in watched.takers.values()) - now_s

    def _lookup(self, owner_id):
        watched = self._watched.get(owner_id)
        if watched is None:
            watched = _WatchedLease()
            self._watched[owner_id] = watched
        return watched

    def _new_term(self):
        self._next_term += 1
        return self._next_term

    def _deny(self, denial, retry_after_s=0.0):
        return Grant(granted=False, denial=denial, retry_after_s=retry_after_s)


def _succeeds_ended_process(renewal, view):
    """Return whether no earlier process can act by a lease of this owner.

    Its requests may still be running at the backend server, which refuses them
    only if it checks fences: the next lease has higher ones.
    """
    return (
        renewal.predecessor_ended
        and renewal.incarnation == view.incarnation
        and view.checks_fences
    )
