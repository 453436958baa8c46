"""Decide which witnesses replace lost, silent or leaving ones."""

from comfreywharf.ownership.actions import report
from comfreywharf.ownership.lostwitnesses import LostWitnesses
from comfreywharf.ownership.witnesses import choose_witnesses
from comfreywharf.ownership.witnessmoves import WitnessMoves
from comfreywharf.records import LeaseStarted, WitnessesReset

__all__ = ["WitnessGroups"]

_REQUESTING = frozenset({"acquiring", "lapsed", "starting"})
"""The states of the lease in which a node requests a majority and has none."""


class WitnessGroups:
    """Choose the witnesses for a node's own lease, and replace lost or unfit ones.

    ``holder`` is the `Holder` of that lease; its ``candidates`` are set here.
    """

    def __init__(self, node_id, incarnation, terms, holder, make_id):
        self._node_id = node_id
        self._incarnation = incarnation
        self._terms = terms
        self._holder = holder
        self._make_id = make_id
        self.lost = LostWitnesses(terms)
        self._moves = WitnessMoves(node_id, terms)

    def set_incarnation(self, incarnation):
        """Set this process's incarnation, once the log is read to its end."""
        self._incarnation = incarnation

    def choose(self, state, kept=(), avoided=()):
        """Return a group for a node that has none, or one that replaces some of it."""
        wanted = self._terms.witnesses
        return choose_witnesses(state, self._node_id, kept, avoided, wanted)

    def earlier_acknowledged(self, own_lease):
        """Return whether a majority of each group refuses claims on the old epoch."""
        return self._holder.lease.acknowledged_lease_epoch() >= own_lease.lease_epoch

    def lease_started_record(self, own_lease, witnesses):
        """Return the record by which the lease continues with a group."""
        return LeaseStarted(
            record_id=self._make_id(),
            node_id=self._node_id,
            incarnation=self._incarnation,
            base_lease_epoch=own_lease.lease_epoch,
            witnesses=witnesses,
        )

    def start_report(self, state, offset):
        """Return the event of a lease that was started by the record at ``offset``."""
        ids, domains = self._witnesses_as_text(state)
        return report("lease_started", offset=offset, witnesses=ids, domains=domains)

    def record_report(self, state, offset):
        """Return the event of witnesses that were recorded beside a lease."""
        ids, domains = self._witnesses_as_text(state)
        return report(
            "witnesses_recorded", offset=offset, witnesses=ids, domains=domains
        )

    def _witnesses_as_text(self, state):
        members = state.members
        ids = members[self._node_id].witnesses
        domains = [members[i].failure_domain if i in members else "-" for i in ids]
        return " ".join(ids), " ".join(domains)

    def replace_lost(self, state, own_lease, may_hold, now_s):
        """Return ``(wants_probe, record)`` for replacing a lost majority.

        The members have to be probed first; ``record`` is `None` until then, and
        also if no replacement is needed or possible.
        """
        requesting = (
            may_hold
            and not own_lease.reset_pending
            and self._holder.phase in _REQUESTING
        )
        wants_probe, wants_reset = self.lost.evaluate(
            own_lease.witnesses, requesting, now_s
        )
        if wants_probe or not wants_reset:
            return wants_probe, None
        group = self.lost.choose(state, self._node_id)
        if not group or set(group) == set(own_lease.witnesses):
            return False, None
        return False, WitnessesReset(
            record_id=self._make_id(),
            node_id=self._node_id,
            incarnation=self._incarnation,
            base_lease_epoch=own_lease.lease_epoch,
            witnesses=group,
        )

    def replace_unfit(self, state, own_lease, now_s):
        """Return the record that replaces unfit or poorly spread witnesses, if any.

        If a silent or leaving witness were kept while there still is a majority, the
        next loss would leave none, and the keys of a healthy node would have no
        owner; so would the loss of a domain that holds most of the witnesses. The new
        group is recorded only once a majority of it grants the lease, so that the
        lease has no gap. The earlier group receives renewals as well until a majority
        of it has acknowledged the new epoch.
        """
        if own_lease.earlier_witnesses:
            self._holder.candidates = ()
            acknowledged = self.earlier_acknowledged(own_lease)
            return (
                self.lease_started_record(own_lease, own_lease.witnesses)
                if acknowledged
                else None
            )
        self._holder.candidates = group = self._better_group(state, own_lease, now_s)
        if not group or not self._holder.granted_by_majority(group, now_s):
            return None
        return self.lease_started_record(own_lease, group)

    def _better_group(self, state, own_lease, now_s):
        """Return a group without unfit witnesses, or a better one; else ``()``."""
        unfit = self._holder.silent_witnesses(now_s) | _leaving(state)
        if unfit.isdisjoint(own_lease.witnesses):
            return self._moves.better_group(state, own_lease.witnesses, unfit, now_s)
        return self.choose(state, set(own_lease.witnesses) - unfit, unfit)


def _leaving(state):
    """Return the draining nodes; they are about to leave, and unfit as witnesses."""
    return {m.node_id for m in state.members.values() if m.draining}
