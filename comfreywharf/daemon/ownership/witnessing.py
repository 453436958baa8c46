"""Run this node's `Witness`: answer owners and takers, send notices of expiry."""

import gevent
from absl import logging
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.lease_messages import (
    claim_of,
    grant_reply,
    renewal_of,
)
from comfreywharf.ownership import (
    Denial,
    Grant,
    OwnerView,
    Witness,
    longest_lease_s,
)
from comfreywharf.records import (
    LeaseStarted,
    NodeAnnounced,
    NodeRemoved,
    WitnessesReset,
)
from comfreywharf.transport import CallError
from comfreywharf.transport.gen.ttypes import LapsedNotice

__all__ = ["Witnessing"]

MAX_WAIT_S = 0.5
"""The longest wait for the next notice. While a machine is suspended its timers stand
still, and a lease that lapsed meanwhile is noticed by the end of this time."""

MIN_WAIT_S = 0.02
NOTICE_TIMEOUT_S = 0.3
DEFAULT_LONGEST_REQUEST_S = 5.0

_CHANGING_WITNESSES = (NodeAnnounced, LeaseStarted, WitnessesReset, NodeRemoved)
"""Records that may change whose witness a node is."""


class Witnessing:
    """Act as a witness for the leases of other nodes.

    After a start, nothing is granted until the fold has caught up with the log: a
    witness with an older state could grant a claim that the log has made void.
    """

    def __init__(self, node, terms):
        self._node = node
        self._terms = terms
        self._witness = None
        self._watched_ids = None
        self._due = Event()
        node.follower.subscribe(self._on_folded)
        node.follower.subscribe_loaded(self._members_changed)

    def begin(self, now_s, first_named):
        """Start to answer; the silent period after a restart begins at ``now_s``.

        ``first_named`` is as in `Witness`.
        """
        self._witness = Witness(self._terms, now_s, self._node.incarnation, first_named)
        self._due.set()

    def run(self):
        """Notify the takers of expired leases until the greenlet is killed."""
        while True:
            self._due.wait(self._wait_s(boottime_s()))
            self._due.clear()
            if self._witness is not None:
                self._notify_takers(boottime_s())

    def _wait_s(self, now_s):
        if self._witness is None:
            return None
        due_s = self._witness.next_notice_s(self._watched_owners()) - now_s
        return min(max(due_s, MIN_WAIT_S), MAX_WAIT_S)

    def _on_folded(self, record, result):
        if result.accepted and isinstance(record, _CHANGING_WITNESSES):
            self._members_changed()

    def _members_changed(self):
        self._watched_ids = None
        self._due.set()

    def _watched_owners(self):
        """Return the owners whose witness this node is."""
        if self._watched_ids is None:
            members = self._node.follower.state.members
            own_id = self._node.settings.node_id
            self._watched_ids = [
                member.node_id
                for member in members.values()
                if any(own_id in group for group in member.witness_groups)
            ]
            now_s = boottime_s()
            self._witness.drop_owners_except(members, now_s)
            state = self._node.follower.state
            longest_s = {one: longest_lease_s(state, one) for one in self._watched_ids}
            self._witness.watch(longest_s, now_s)
        return self._watched_ids

    def renew(self, request):
        """Answer an owner's `Renewal`."""
        renewal = renewal_of(request)
        view = self._owner_view(renewal.owner_id)
        if self._is_stale():
            return grant_reply(Grant(granted=False, denial=Denial.SILENT))
        if view is None:
            return grant_reply(Grant(granted=False, denial=Denial.STALE))
        if renewal.lease_s < self._terms.lease_s:
            # The owner gives its lease up, and its standbys are to be told now.
            self._due.set()
        return grant_reply(
            self._witness.renew(renewal, view, self._longest_request_s(), boottime_s())
        )

    def claim(self, request):
        """Answer a taker's `Claim`."""
        claim = claim_of(request)
        view = self._owner_view(claim.owner_id)
        if self._is_stale():
            return grant_reply(Grant(granted=False, denial=Denial.SILENT))
        if view is None:
            return grant_reply(Grant(granted=False, denial=Denial.STALE))
        return grant_reply(
            self._witness.claim(claim, view, self._longest_request_s(), boottime_s())
        )

    def unclaim(self, request):
        """Withdraw the share that a taker claimed."""
        if self._witness is not None:
            self._witness.unclaim(claim_of(request), boottime_s())

    def _is_stale(self):
        """Return whether the fold may lack a record that resets the witnesses."""
        limit_s = self._terms.stale_after_s
        if limit_s is None:
            return False
        return boottime_s() - self._node.follower.confirmed_s > limit_s

    def _owner_view(self, owner_id):
        state = self._node.follower.state
        member = state.members.get(owner_id)
        if self._witness is None or member is None:
            return None
        return OwnerView(
            incarnation=member.incarnation,
            lease_epoch=member.lease_epoch,
            lease_incarnation=member.lease_incarnation,
            portfolio_epoch=member.portfolio_epoch,
            checks_fences=member.checks_fences,
            longest_lease_s=longest_lease_s(state, owner_id),
        )

    def _longest_request_s(self):
        """Return the longest time that a request of an owner may take."""
        services = self._node.follower.state.config.services.values()
        limits = [s.longest_request_ms / 1000 for s in services if s.divided_by_key]
        return max(limits, default=DEFAULT_LONGEST_REQUEST_S)

    def _notify_takers(self, now_s):
        state = self._node.follower.state
        lapsed = self._witness.lapsed_owners(self._watched_owners(), now_s)
        if not lapsed:
            return
        for owner_id in lapsed:
            for taker_id in takers_of(state, owner_id):
                notice = LapsedNotice(
                    owner_id=owner_id,
                    lease_epoch=state.members[owner_id].lease_epoch,
                    event_clock=0,
                )
                gevent.spawn(self._send_notice, taker_id, notice)

    def _send_notice(self, taker_id, notice):
        if taker_id == self._node.settings.node_id:
            self._node.leases.receive_lapse_notice(notice.owner_id)
            return
        client = self._node.peers.client(taker_id)
        try:
            if client is not None:
                client.call("lapsed", notice, timeout_s=NOTICE_TIMEOUT_S)
        except CallError as error:
            logging.debug("sending a lapse notice failed: %s", error)


def takers_of(state, owner_id):
    """Return the nodes that may claim a share of an owner's expired lease."""
    takers = set()
    for slice_map in state.slices.values():
        for slice_ in slice_map.slices:
            if slice_.owner == owner_id:
                takers.add(slice_.standby)
            if slice_.previous == owner_id:
                takers.update((slice_.owner, slice_.standby))
    return takers - {"", owner_id}
