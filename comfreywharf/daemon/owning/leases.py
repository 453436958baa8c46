"""The shell around the ownership decisions: it carries out what they ask for."""

import gevent
from absl import logging
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.owning.lease_messages import (
    claim_request,
    grant_of,
    renew_request,
)
from comfreywharf.daemon.recording.follower import NotAcknowledged, new_record_id
from comfreywharf.ownership import (
    Append,
    AskRelease,
    OwnershipAgent,
    ProbeMembers,
    Report,
    Right,
    SendClaim,
    SendRenewal,
    SendUnclaim,
)
from comfreywharf.routing import Reason
from comfreywharf.transport import CallError
from comfreywharf.transport.gen.ttypes import ReleaseRequest

__all__ = ["Leases"]

TICK_S = 0.02
LONG_TICK_S = 0.1
CALL_TIMEOUT_S = 0.3
COVER_TIMEOUT_S = 0.25
MIN_ROUND_INTERVAL_S = 0.004
EXPIRE_INTERVAL_S = 1.0
RELEASE_TIMEOUT_S = 1.0
RELEASE_RETRY_S = 0.02
RELEASE_HOLD_S = 0.25


class Leases:
    """Hold this node's lease, and tell the request path what it may serve.

    Each `acquire` that returned a `Right` without a reason is followed by one
    `finish`, when the backend server answered, or proved that it did not run
    the request, or when the right's deadline passed.
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
        self._wake = Event()
        self._forced = False
        self._forced_s = float("-inf")
        self._wanted = True
        self._granted = Event()
        self._released = Event()
        self._listeners = []
        self._perform = {
            SendRenewal: self._send_renewal,
            SendClaim: self._send_claim,
            SendUnclaim: self._send_unclaim,
            Append: self._append,
            AskRelease: self._ask_release,
            Report: self._add_event,
            ProbeMembers: self._probe_members,
        }
        node.follower.subscribe(self._on_folded)
        node.follower.subscribe_loaded(self._on_loaded)

    # What the request path asks.

    def acquire(self, service, key, now_s, remaining_s):
        """Return the `Right` to serve one request, or why there is none.

        It may wait a few milliseconds, where a request asks for more time than
        the lease covers and the witnesses have to be told.
        """
        right = self._ask_right(service, key, now_s, remaining_s)
        if right.reason is Reason.NOT_YET_OWNER and self.holder.owns(now_s):
            right = self._await_release(service, key, now_s, remaining_s)
        if right.reason is not None or not right.key_hash:
            return right
        right = self.table.begin(right)
        covered = right.covered or self._cover(service, key, right)
        if covered and self._node.grants.ensure(right, now_s):
            return right
        self.table.finish(right)
        return Right(reason=Reason.NOT_YET_OWNER)

    def _ask_right(self, service, key, now_s, remaining_s):
        state = self._node.follower.state
        return self.table.right_to_serve(state, service, key, now_s, remaining_s)

    def _await_release(self, service, key, now_s, remaining_s):
        """Hold a request at the new owner until the earlier one has released.

        It is held as well until the witnesses know of the slice's new fence. Either
        takes a few milliseconds. Refused, the request would be held at its ingress
        node instead, which learns nothing of that and asks again at growing
        intervals: callers then saw gaps of 75 to 155 ms.
        """
        deadline_s = now_s + remaining_s
        end_s = min(deadline_s, now_s + RELEASE_HOLD_S)
        right = Right(reason=Reason.NOT_YET_OWNER)
        while right.reason is Reason.NOT_YET_OWNER and now_s < end_s:
            self._released.wait(end_s - now_s)
            now_s = boottime_s()
            right = self._ask_right(service, key, now_s, deadline_s - now_s)
        return right

    def subscribe(self, listener):
        """Call ``listener()`` whenever something else may be served than before."""
        self._listeners.append(listener)

    def _wake_held(self):
        """Let the requests that are held here ask again."""
        self._released.set()
        self._released.clear()
        self._tell_listeners()

    def _tell_listeners(self):
        for listener in self._listeners:
            listener()

    def renew_now(self, timeout_s):
        """Ask the witnesses, and wait until the lease counts from now or so.

        Whatever is granted for as long as the lease lasts is then granted for nearly a
        whole lease.
        """
        asked_s = boottime_s()
        wanted_s = self.terms.held_until_s(asked_s)
        with gevent.Timeout(timeout_s, False):
            self.force_round()
            while self.holder.lease.until_s() < wanted_s:
                self._granted.wait()

    def _cover(self, service, key, right):
        """Tell the witnesses of a long deadline before anything is forwarded.

        They then make a taker wait for it. Were the request forwarded first, a
        loss at that moment would let a new owner serve beside it.
        """
        with gevent.Timeout(COVER_TIMEOUT_S, False):
            while True:
                self.force_round()
                self._granted.wait()
                now_s = boottime_s()
                again = self.table.right_to_serve(
                    self._node.follower.state,
                    service,
                    key,
                    now_s,
                    right.deadline_s - now_s,
                )
                if again.reason is not None or again.fence != right.fence:
                    return False
                if again.covered:
                    return True
        return False

    def finish(self, right):
        """Say that nothing forwarded under a right can take effect any more."""
        self.table.finish(right)

    def held(self):
        """Return whether this node holds its lease, read back from the log."""
        return self.holder.phase == "held"

    def still_held(self, right, now_s):
        """Return whether an answer that arrived at ``now_s`` may be vouched for.

        A server that checks fences has answered for a key that it held, and its answer
        is passed on however late it comes.
        """
        return self._node.ports.fenced or now_s <= right.deadline_s

    # The loop.

    def run(self):
        """Drive the agent until the greenlet is killed."""
        self._node.incarnation_chosen.wait()
        self.agent.begin(self._node.incarnation)
        self._node.witnessing.begin(self._node.process_start_s)
        expired_s = boottime_s()
        while True:
            self._wake.wait(self._wait_s(boottime_s()))
            self._wake.clear()
            forced, self._forced = self._forced, False
            self._follow_log()
            now_s = boottime_s()
            state = self._node.follower.state
            self.carry_out(self.agent.tick(state, now_s, self._may_hold(), forced))
            if now_s > expired_s + EXPIRE_INTERVAL_S:
                self.inflight.expire(now_s)
                expired_s = now_s

    def _wait_s(self, now_s):
        """Return how long the agent may be left alone.

        While the lease is held and nothing is claimed, only the next renewal is
        due; looking every 20 ms took 0.9% of a core from each idle node.
        """
        if self.holder.phase != "held" or self.agent.claims:
            return TICK_S
        return min(max(self.holder.next_round_s - now_s, TICK_S), LONG_TICK_S)

    def _may_hold(self):
        return self._node.follower.usable and self._node.backend is not None

    def force_round(self):
        """Ask the witnesses now instead of at the next interval."""
        if boottime_s() < self._forced_s + MIN_ROUND_INTERVAL_S:
            gevent.sleep(MIN_ROUND_INTERVAL_S)
        self._forced_s = boottime_s()
        self._forced = True
        self._wake.set()

    def hear_lapse(self, owner_id):
        """Take a witness's word that an owner's lease lapsed."""
        state = self._node.follower.state
        self.carry_out(self.agent.lapsed(state, owner_id, boottime_s()))
        self._wake.set()

    def surrender(self, reason, held_until_s=None):
        """Give the lease up at once, and until `recover`, so that standbys may begin.

        ``held_until_s`` is as in `OwnershipAgent.surrender`.
        """
        self._wanted = False
        self._give_up(reason, held_until_s)

    def _give_up(self, reason, held_until_s):
        state = self._node.follower.state
        self.carry_out(self.agent.surrender(state, reason, boottime_s(), held_until_s))

    def recover(self):
        """Ask for the lease again after a surrender."""
        self._wanted = True
        self._follow_log()

    def begin_anew(self, reason):
        """Give the lease up and ask for it again, so that its fence grows.

        One that was given up for good isn't asked for: it would be renewed beside a
        server that gets no work, and no standby could claim.
        """
        if not self._wanted:
            return
        self._give_up(reason, self._node.grants.held_until_s(boottime_s()))
        self._follow_log()

    def _follow_log(self):
        """Ask for a lease that has to be written down only while it can be.

        A node that has its witnesses' majority and can't append renews all the same,
        and no standby may claim: its keys would be dark for as long as the store is
        away, which is up to 9 s. What its server was granted before may still run:
        told of no hold, a standby's server would have the keys beside it for a second.
        """
        if not self._wanted:
            return
        reachable = self._node.follower.reachable
        if self.holder.phase == "surrendered" and reachable:
            self.agent.recover()
            self._wake.set()
        elif self.holder.phase == "starting" and not reachable:
            held_until_s = self._node.grants.held_until_s(boottime_s())
            self._give_up("log out of reach", held_until_s)

    # What the agent asks for.

    def carry_out(self, actions):
        """Do what the agent asked for."""
        for action in actions:
            self._perform[type(action)](action)

    def _send_renewal(self, action):
        gevent.spawn(self._renew, action.witness, renew_request(action.renewal))

    def _renew(self, witness, request):
        grant = self._call_witness(witness, "renew", request)
        now_s = boottime_s()
        if grant is not None:
            self.agent.lost_witnesses.heard(witness, now_s)
        if grant is None or not grant.granted:
            why = grant.denial.value if grant else "no answer"
            self._node.report("renewal_denied", witness=witness, why=why)
            return
        told_epoch = self.holder.lease.told_epoch()
        self.carry_out(self.agent.renewed(witness, request.round, grant.term, now_s))
        self._grant_counted()
        if self.holder.lease.told_epoch() > told_epoch:
            self._wake_held()

    def _probe_members(self, action):
        gevent.spawn(self._probe)

    def _probe(self):
        reachable = self._node.gossip.reach_all()
        reachable.add(self._node.settings.node_id)
        self.agent.lost_witnesses.probed(reachable, boottime_s())
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
            denied = self.agent.claim_denied(owner_id, grant.denial, now_s)
            self.carry_out(denied)
            return
        self.carry_out(self.agent.claimed(owner_id, witness, number, grant.term, now_s))
        self._grant_counted()

    def _grant_counted(self):
        self._granted.set()
        self._granted.clear()
        if self.holder.phase == "starting" or self.agent.claims:
            self._wake.set()
            self._tell_listeners()

    def _send_unclaim(self, action):
        request = claim_request(action.claim)
        gevent.spawn(self._call_witness, action.witness, "unclaim", request)

    def _call_witness(self, witness, method, request):
        """Return a witness's `Grant`, or ``None`` without an answer."""
        if witness == self._node.settings.node_id:
            reply = getattr(self._node.witnessing, method)(request)
            return grant_of(reply) if reply else None
        client = self._node.peers.client(witness)
        if client is None:
            return None
        try:
            reply = client.call(method, request, timeout_s=CALL_TIMEOUT_S)
        except CallError as error:
            logging.debug("%s: %s", method, error)
            return None
        return grant_of(reply) if reply else None

    def _append(self, action):
        gevent.spawn(self._append_and_tell, action)

    def _append_and_tell(self, action):
        follower = self._node.follower
        try:
            outcome = follower.append(action.record)
        except NotAcknowledged:
            outcome = None
        self.carry_out(
            self.agent.appended(follower.state, action.purpose, outcome, boottime_s())
        )
        self._wake.set()

    def _ask_release(self, action):
        gevent.spawn(self._fetch_release, action)

    def _fetch_release(self, action):
        """Ask until the slice is released, or isn't this node's any more."""
        key, received = action.key, 0
        while self.agent.awaits(self._node.follower.state, key, boottime_s()):
            reply = self._call_release(action.previous, key, received)
            if reply is None or not reply.released:
                wait_ms = reply.retry_after_ms if reply else 0
                gevent.sleep(max(RELEASE_RETRY_S, wait_ms / 1000))
                continue
            now_s = boottime_s()
            self._node.memory.put_in(key.service, reply.answers, now_s)
            received += len(reply.answers)
            self._node.grants.take_handover(key, reply.handover)
            if not reply.more:
                self.carry_out(self.agent.released(key, reply.vouched, now_s))
                self._wake_held()
                self._wake.set()
                return
        self.agent.stop_asking(key)

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
            logging.debug("release: %s", error)
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
            self._tell_listeners()
