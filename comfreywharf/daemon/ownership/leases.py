"""Carry out the decisions of the `OwnershipAgent`: calls, appends and events."""

import gevent
from absl import logging
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.lease_messages import (
    claim_request,
    grant_of,
    renew_request,
)
from comfreywharf.daemon.records.follower import NotAcknowledged, new_record_id
from comfreywharf.ownership import (
    Append,
    OwnershipAgent,
    ProbeMembers,
    Report,
    RequestRelease,
    Right,
    SendClaim,
    SendRenewal,
    SendUnclaim,
    longest_lease_s,
)
from comfreywharf.routing import Reason
from comfreywharf.ticks import PHASE_S, seconds_to_tick
from comfreywharf.transport import CallError
from comfreywharf.transport.gen.ttypes import ReleaseRequest

__all__ = ["Leases"]

TICK_S = 0.02
LONG_TICK_S = 0.1
CALL_TIMEOUT_S = 0.3

COVER_TIMEOUT_S = 0.25
"""How long a request waits until a majority of witnesses has granted its deadline."""

MIN_ROUND_INTERVAL_S = 0.004
"""The shortest time between two renewal rounds that are started by `force_round`."""

EXPIRE_INTERVAL_S = 1.0
"""How often rights in flight whose deadline has passed are dropped."""

RELEASE_TIMEOUT_S = 1.0
RELEASE_RETRY_S = 0.02

RELEASE_HOLD_S = 0.25
"""How long a request waits at the new owner for the previous owner's release."""


class Leases:
    """Hold this node's lease, and decide which requests may be served here.

    For each `Right` without a reason that `acquire` returned, call `finish` once:
    when the backend server has answered, when it is certain that the server did
    not run the request, or when the right's deadline has passed.
    """

    def __init__(self, node):
        self._node = node
        settings = node.settings
        self.terms = node.ports.lease_terms(settings)
        self.agent = OwnershipAgent(
            settings.node_id,
            node.incarnation,
            self.terms,
            new_record_id,
            node.ports.fenced,
        )
        self.table = self.agent.table
        self.inflight = self.agent.inflight
        self.holder = self.agent.holder
        self.work_times = self.agent.work_times
        self._wake = Event()
        self._forced = False
        self._forced_s = float("-inf")
        self._lease_wanted = True
        self._granted = Event()
        self._released = Event()
        self._listeners = []
        self._action_handlers = {
            SendRenewal: self._send_renewal,
            SendClaim: self._send_claim,
            SendUnclaim: self._send_unclaim,
            Append: self._append,
            RequestRelease: self._request_release,
            Report: self._add_event,
            ProbeMembers: self._probe_members,
        }
        node.follower.subscribe(self._on_folded)
        node.follower.subscribe_loaded(self._on_loaded)

    # Called by the request path.

    def acquire(self, service, key, now_s, remaining_s):
        """Return the `Right` to serve one request, or one with a refusal reason.

        This may wait a few milliseconds if the request's deadline exceeds what the
        lease covers, since the witnesses have to acknowledge the longer one first.
        """
        right = self._query_right(service, key, now_s, remaining_s)
        if right.reason is Reason.NOT_YET_OWNER and self.holder.owns(now_s):
            right = self._await_release(service, key, now_s, remaining_s)
        if right.reason is not None or not right.key_hash:
            return right
        right = self.table.begin_request(right)
        covered = right.covered or self._cover_deadline(service, key, right)
        if covered and self._node.grants.ensure(right, now_s):
            return right
        self.table.finish_request(right)
        return Right(reason=Reason.NOT_YET_OWNER)

    def _query_right(self, service, key, now_s, remaining_s):
        state = self._node.follower.state
        return self.table.right_to_serve(state, service, key, now_s, remaining_s)

    def _await_release(self, service, key, now_s, remaining_s):
        """Hold a request at the new owner until the previous owner has released.

        The request is also held until the witnesses have acknowledged the slice's new
        fence. Both take a few milliseconds. If the request were refused instead, its
        ingress node would hold it, get no notification of the release, and retry at
        growing intervals, which causes gaps of 75 to 155 ms for callers.
        """
        deadline_s = now_s + remaining_s
        end_s = min(deadline_s, now_s + RELEASE_HOLD_S)
        right = Right(reason=Reason.NOT_YET_OWNER)
        while right.reason is Reason.NOT_YET_OWNER and now_s < end_s:
            self._released.wait(end_s - now_s)
            now_s = boottime_s()
            right = self._query_right(service, key, now_s, deadline_s - now_s)
        return right

    def subscribe(self, listener):
        """Call ``listener()`` whenever the set of servable keys may have changed."""
        self._listeners.append(listener)

    def _wake_held_requests(self):
        """Have the requests that are held here check their right again."""
        self._released.set()
        self._released.clear()
        self._notify_listeners()

    def _notify_listeners(self):
        for listener in self._listeners:
            listener()

    def renew_now(self, timeout_s):
        """Renew the lease now, and wait up to ``timeout_s`` for the renewal.

        Grants that last as long as the lease then last nearly a whole lease.
        """
        requested_s = boottime_s()
        wanted_s = self.terms.held_until_s(requested_s, self.holder.lease_s)
        with gevent.Timeout(timeout_s, False):
            self.force_round()
            while self.holder.lease.until_s() < wanted_s:
                self._granted.wait()

    def _cover_deadline(self, service, key, right):
        """Inform the witnesses of a long deadline before the request is forwarded.

        They then make a taker wait until the deadline. If the request were forwarded
        first and this node were lost before informing them, a new owner could serve
        the key while the request is still running.

        Return whether the deadline is covered.
        """
        with gevent.Timeout(COVER_TIMEOUT_S, False):
            while True:
                self.force_round()
                self._granted.wait()
                now_s = boottime_s()
                rechecked = self.table.right_to_serve(
                    self._node.follower.state,
                    service,
                    key,
                    now_s,
                    right.deadline_s - now_s,
                )
                if rechecked.reason is not None or rechecked.fence != right.fence:
                    return False
                if rechecked.covered:
                    return True
        return False

    def finish(self, right):
        """Record that nothing forwarded under a right can take effect any more."""
        self.table.finish_request(right)

    def holds_lease(self):
        """Return whether this node holds its lease and read it back from the log."""
        return self.holder.phase == "held"

    def may_forward_answer(self, right, now_s):
        """Return whether an answer that arrived at ``now_s`` may go to the caller.

        A server that checks fences answers only for a key that it held, so that its
        answer is forwarded however late it arrives. Any other server's answer must
        arrive by the right's deadline.
        """
        return self._node.ports.fenced or now_s <= right.deadline_s

    # The agent's loop.

    def run(self):
        """Drive the agent until the greenlet is killed."""
        self._node.incarnation_chosen.wait()
        self.agent.set_incarnation(self._node.incarnation, self._node.ended_predecessor)
        self._node.witnessing.begin(
            self._node.process_start_s, self._node.first_named_offset
        )
        self._node.grants.earlier_process_granted(self._earlier_grants_end_s())
        expired_s = boottime_s()
        while True:
            self._wake.wait(self._wait_s(boottime_s()))
            self._wake.clear()
            forced, self._forced = self._forced, False
            self._follow_log_reachability()
            now_s = boottime_s()
            state = self._node.follower.state
            held_until_s = self._node.grants.held_until_s(now_s)
            self.carry_out(
                self.agent.tick(
                    state, now_s, self._may_hold_lease(), forced, held_until_s
                )
            )
            if now_s > expired_s + EXPIRE_INTERVAL_S:
                self.inflight.expire(now_s)
                expired_s = now_s

    def _earlier_grants_end_s(self):
        """Return until when grants of an earlier process of this node may last."""
        node = self._node
        longest_s = longest_lease_s(node.follower.state, node.settings.node_id)
        return node.process_start_s + max(self.terms.lease_s, longest_s)

    def _wait_s(self, now_s):
        """Return how long the loop may sleep before the agent's next tick.

        While the lease is held and nothing is claimed, only the next renewal is
        due. Ticking every 20 ms costs each idle node 0.9% of a core.
        """
        if self.holder.phase != "held" or self.agent.claims:
            return TICK_S
        round_s = max(self.holder.next_round_s - now_s, TICK_S)
        return min(round_s, seconds_to_tick(now_s, LONG_TICK_S, PHASE_S))

    def _may_hold_lease(self):
        return self._node.follower.usable and self._node.backend is not None

    def force_round(self):
        """Start a renewal round now instead of at the next interval."""
        if boottime_s() < self._forced_s + MIN_ROUND_INTERVAL_S:
            gevent.sleep(MIN_ROUND_INTERVAL_S)
        self._forced_s = boottime_s()
        self._forced = True
        self._wake.set()

    def receive_lapse_notice(self, owner_id):
        """Handle a witness's notice that an owner's lease expired."""
        state = self._node.follower.state
        self.carry_out(self.agent.lapse_notified(state, owner_id, boottime_s()))
        self._wake.set()

    def surrender(self, reason, held_until_s=None):
        """Give the lease up at once, until `recover`, so that standbys can take over.

        ``held_until_s`` is as in `OwnershipAgent.surrender`.
        """
        self._lease_wanted = False
        self._give_up(reason, held_until_s)

    def _give_up(self, reason, held_until_s):
        state = self._node.follower.state
        self.carry_out(self.agent.surrender(state, reason, boottime_s(), held_until_s))

    def recover(self):
        """Acquire the lease again after a surrender."""
        self._lease_wanted = True
        self._follow_log_reachability()

    def reacquire(self, reason):
        """Give the lease up and acquire it again, so that its fence grows.

        Do nothing if the lease was given up by `surrender`: otherwise it would be
        renewed for a server that gets no requests, and no standby could claim the keys.
        """
        if not self._lease_wanted:
            return
        self._give_up(reason, self._node.grants.held_until_s(boottime_s()))
        self._follow_log_reachability()

    def _follow_log_reachability(self):
        """Give up a starting lease while the log is unreachable; reacquire it later.

        A new lease takes effect only once its record is in the log. A node that has a
        majority of its witnesses but can't append would keep renewing, so that no
        standby may claim, and its keys would have no server until the log is reachable
        again, which takes up to 9 s.

        The surrender reports how long earlier grants of the server last. Without it, a
        standby's server could hold the same keys at the same time for a second.
        """
        if not self._lease_wanted:
            return
        reachable = self._node.follower.reachable
        if self.holder.phase == "surrendered" and reachable:
            self.agent.recover()
            self._wake.set()
        elif self.holder.phase == "starting" and not reachable:
            held_until_s = self._node.grants.held_until_s(boottime_s())
            self._give_up("log out of reach", held_until_s)

    # The agent's actions.

    def carry_out(self, actions):
        """Perform the agent's actions."""
        for action in actions:
            self._action_handlers[type(action)](action)

    def _send_renewal(self, action):
        gevent.spawn(self._renew, action.witness, renew_request(action.renewal))

    def _renew(self, witness, request):
        grant = self._call_witness(witness, "renew", request)
        now_s = boottime_s()
        if grant is not None:
            self.agent.lost_witnesses.answer_received(witness, now_s)
        if grant is None or not grant.granted:
            why = grant.denial.value if grant else "no answer"
            self._node.report("renewal_denied", witness=witness, why=why)
            if grant is not None:
                self.agent.renewal_denied(witness, grant, now_s)
            return
        acknowledged_epoch = self.holder.lease.acknowledged_epoch()
        self.carry_out(
            self.agent.renewal_granted(witness, request.round, grant.term, now_s)
        )
        self._wake_grant_waiters()
        if self.holder.lease.acknowledged_epoch() > acknowledged_epoch:
            self._wake_held_requests()

    def _probe_members(self, action):
        gevent.spawn(self._probe)

    def _probe(self):
        reachable = self._node.gossip.reachable_members()
        reachable.add(self._node.settings.node_id)
        self.agent.lost_witnesses.members_probed(reachable, boottime_s())
        self._wake.set()

    def _send_claim(self, action):
        gevent.spawn(self._claim, action.witness, claim_request(action.claim))

    def _claim(self, witness, request):
        grant = self._call_witness(witness, "claim", request)
        if grant is None:
            return
        now_s = boottime_s()
        owner_id, number = request.owner_id, request.round
        if not grant.granted:
            self.carry_out(
                self.agent.claim_denied(owner_id, witness, grant.denial, now_s)
            )
            return
        self.carry_out(
            self.agent.claim_granted(owner_id, witness, number, grant.term, now_s)
        )
        self._wake_grant_waiters()

    def _wake_grant_waiters(self):
        self._granted.set()
        self._granted.clear()
        if self.holder.phase == "starting" or self.agent.claims:
            self._wake.set()
            self._notify_listeners()

    def _send_unclaim(self, action):
        request = claim_request(action.claim)
        gevent.spawn(self._call_witness, action.witness, "unclaim", request)

    def _call_witness(self, witness, method, request):
        """Call a witness; return its `Grant`, or ``None`` if it didn't answer."""
        if witness == self._node.settings.node_id:
            reply = getattr(self._node.witnessing, method)(request)
            return grant_of(reply) if reply else None
        client = self._node.peers.client(witness)
        if client is None:
            return None
        try:
            reply = client.call(method, request, timeout_s=CALL_TIMEOUT_S)
        except CallError as error:
            logging.debug("call of %s to a witness failed: %s", method, error)
            return None
        return grant_of(reply) if reply else None

    def _append(self, action):
        gevent.spawn(self._append_and_report, action)

    def _append_and_report(self, action):
        follower = self._node.follower
        outcome, retry_after_s = None, 0.0
        try:
            outcome = follower.append(action.record)
        except NotAcknowledged as error:
            retry_after_s = error.retry_after_s
        self.carry_out(
            self.agent.appended(
                follower.state, action.purpose, outcome, boottime_s(), retry_after_s
            )
        )
        self._wake.set()

    def _request_release(self, action):
        gevent.spawn(self._fetch_release, action)

    def _fetch_release(self, action):
        """Request a release until it is complete or this node no longer needs it."""
        key, received = action.key, 0
        while self.agent.awaits_release(self._node.follower.state, key, boottime_s()):
            reply = self._call_release(action.previous, key, received)
            if reply is None or not reply.released:
                wait_ms = reply.retry_after_ms if reply else 0
                gevent.sleep(max(RELEASE_RETRY_S, wait_ms / 1000))
                continue
            now_s = boottime_s()
            self._node.memory.import_answers(key.service, reply.answers, now_s)
            received += len(reply.answers)
            self._node.grants.take_handover(key, reply.handover)
            if not reply.more:
                self.carry_out(self.agent.release_received(key, reply.vouched, now_s))
                self._wake_held_requests()
                self._wake.set()
                return
        self.agent.release_request_ended(key)

    def _call_release(self, previous, key, received):
        client = self._node.peers.client(previous)
        if client is None:
            return None
        request = ReleaseRequest(
            service_name=key.service,
            slice_start=key.start,
            slice_epoch=key.epoch,
            asker_id=self._node.settings.node_id,
            skip=received,
            event_clock=0,
        )
        try:
            return client.call("release", request, timeout_s=RELEASE_TIMEOUT_S)
        except CallError as error:
            logging.debug("release call failed: %s", error)
            return None

    def _add_event(self, action):
        self._node.reporter.add(action.name, action.fields)

    def _on_loaded(self):
        self.agent.loaded(self._node.follower.state, boottime_s())
        self._wake.set()

    def _on_folded(self, record, result):
        state = self._node.follower.state
        self.agent.folded(state, record, result, boottime_s())
        if result.changed:
            self._wake.set()
            self._notify_listeners()
