"""A lease that is granted by majority; a grant counts from the request's sending."""

import attrs

__all__ = ["QuorumLease"]

NEVER_S = float("-inf")
KEPT_ROUNDS = 64


@attrs.frozen
class _Round:
    sent_s: float
    reach_until_s: float
    portfolio_epoch: int
    lease_epoch: int
    granting: frozenset
    lease_s: float | None


@attrs.define
class _Granted:
    until_s: float = NEVER_S
    reach_until_s: float = NEVER_S
    portfolio_epoch: int = -1
    lease_epoch: int = -1
    term: int = 0
    sent_s: float = NEVER_S


class QuorumLease:
    """A lease that a majority of each witness group grants.

    There is one group, or two while the witnesses of an owner are replaced. Until
    a majority of the earlier group has recorded the replacement, a taker may still
    request grants from it, so that both majorities are needed.

    >>> from comfreywharf.ownership.terms import LeaseTerms
    >>> lease = QuorumLease(LeaseTerms(lease_s=1.0, drift=0.0), [("a", "b", "c")])
    >>> number = lease.begin_round(10.0, reach_until_s=0.0, portfolio_epoch=4)
    >>> lease.grant("a", number, term=1, now_s=10.1)
    >>> lease.held(10.5)
    False
    >>> lease.grant("b", number, term=1, now_s=10.1)
    >>> lease.held(10.5), lease.held(11.0)
    (True, False)
    """

    def __init__(self, terms, groups, first_round=0):
        self._terms = terms
        self._groups = [tuple(group) for group in groups]
        self._majorities = {}
        self._granted = {}
        self._rounds = {}
        self._number = first_round

    @property
    def groups(self):
        """Return the groups of witnesses; each has to grant by majority."""
        return self._groups

    @groups.setter
    def groups(self, groups):
        self._groups = groups
        self._majorities.clear()

    @property
    def witnesses(self):
        """Return the witnesses of all groups, each once."""
        return tuple(dict.fromkeys(w for group in self.groups for w in group))

    def begin_round(
        self, now_s, reach_until_s, portfolio_epoch, lease_epoch=-1, lease_s=None
    ):
        """Register a round of requests to all witnesses; return its number.

        ``lease_s`` is the requested length if it isn't the shortest. A lease must not
        be requested to end before an earlier request would have it end.
        """
        self._number += 1
        granting = frozenset(self.witness_terms(now_s))
        self._rounds[self._number] = _Round(
            now_s, reach_until_s, portfolio_epoch, lease_epoch, granting, lease_s
        )
        self._rounds.pop(self._number - KEPT_ROUNDS, None)
        return self._number

    def skip_rounds(self, number):
        """Use round numbers above ``number`` from now on."""
        self._number = max(self._number, number)

    def next_number(self):
        """Return a round number for a message whose answer grants nothing."""
        self._number += 1
        return self._number

    def reset(self):
        """Drop all grants, and ignore answers that are still in transit."""
        self._granted.clear()
        self._majorities.clear()
        self._rounds.clear()

    def had_grant(self, witness, number):
        """Return whether a witness's earlier grant counted when a round was sent."""
        return witness in self._rounds[number].granting

    def grant(self, witness, number, term, now_s):
        """Register a witness's grant for a round, received at ``now_s``."""
        sent_round = self._rounds.get(number)
        if sent_round is None:
            return
        until_s = self._terms.held_until_s(sent_round.sent_s, sent_round.lease_s)
        granted = self._granted.get(witness)
        if granted is not None and self._relied_on_expired_grant(
            sent_round, witness, term, now_s
        ):
            return
        if granted is not None and granted.until_s > until_s:
            return
        self._granted[witness] = _Granted(
            until_s=until_s,
            reach_until_s=sent_round.reach_until_s,
            portfolio_epoch=sent_round.portfolio_epoch,
            lease_epoch=sent_round.lease_epoch,
            term=term,
            sent_s=sent_round.sent_s,
        )
        self._majorities.clear()

    def _relied_on_expired_grant(self, sent_round, witness, term, now_s):
        """Return whether a restarted witness may have decided by an expired grant.

        After that expiry, the witness's earlier process may have granted the lease to
        a taker, so that two nodes would each count this witness. Only an answer that
        arrives while the earlier grant still counts proves that the grant was valid
        when the witness decided.
        """
        granted = self._granted[witness]
        restarted = term != granted.term
        return restarted and witness in sent_round.granting and now_s >= granted.until_s

    def until_s(self):
        """Return when the lease ends, unless it is renewed."""
        return self._majority("until_s", NEVER_S)

    def held(self, now_s):
        """Return whether the lease is held now."""
        return now_s < self.until_s()

    def covered_until_s(self):
        """Return the latest deadline for which the witnesses make a taker wait."""
        taker_waits_until_s = self._majority("reach_until_s", NEVER_S)
        return max(self.until_s(), taker_waits_until_s)

    def acknowledged_portfolio_epoch(self):
        """Return the portfolio epoch that a majority of each group has acknowledged."""
        return self._majority("portfolio_epoch", -1)

    def acknowledged_lease_epoch(self):
        """Return the lease epoch that a majority of each group has acknowledged."""
        return self._majority("lease_epoch", -1)

    def acknowledged_epoch(self):
        """Return the lowest log offset on which a further granted claim can be based.

        Epochs are log offsets. A majority grants no claim that is based on a state
        of the log from before an epoch of either kind that it has acknowledged.
        """
        return max(self.acknowledged_lease_epoch(), self.acknowledged_portfolio_epoch())

    def granted_until_s(self, witness):
        """Return when one witness's grant ends."""
        granted = self._granted.get(witness)
        return granted.until_s if granted else NEVER_S

    def confirmed_s(self, witness):
        """Return when the request was sent that a witness granted last."""
        granted = self._granted.get(witness)
        return granted.sent_s if granted else NEVER_S

    def witness_terms(self, now_s):
        """Return the terms of the witnesses whose grants currently count."""
        return {
            witness: granted.term
            for witness, granted in self._granted.items()
            if now_s < granted.until_s
        }

    def majority_of(self, witnesses):
        """Return whether these witnesses are a majority of each group."""
        return all(
            2 * len(witnesses & set(group)) > len(group) for group in self.groups
        )

    def _majority(self, field, missing):
        """Return the largest value of a field that a majority of each group reaches.

        Every request to the node reads it and only a grant changes it, so that it
        is cached until the next grant.
        """
        value = self._majorities.get(field)
        if value is None:
            value = self._count_majority(field, missing)
            self._majorities[field] = value
        return value

    def _count_majority(self, field, missing):
        if not self.groups or not all(self.groups):
            return missing
        return min(self._group_majority(group, field, missing) for group in self.groups)

    def _group_majority(self, group, field, missing):
        granted = [self._granted.get(witness) for witness in group]
        values = [missing if one is None else getattr(one, field) for one in granted]
        values.sort(reverse=True)
        return values[len(group) // 2]
