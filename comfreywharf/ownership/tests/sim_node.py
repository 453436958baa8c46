"""One node of the simulation: its clock, its fold, its agent and its witness."""

from comfreywharf.ownership import (
    Append,
    LeaseTerms,
    OwnershipAgent,
    OwnerView,
    RequestRelease,
    SendClaim,
    SendRenewal,
    SendUnclaim,
    Witness,
    longest_lease_s,
)
from comfreywharf.records import ClusterState, NodeAnnounced, fold

__all__ = ["DOMAINS", "DRIFT", "SERVICE", "SimNode"]

SERVICE = "booking"
DRIFT = 0.2
TERMS = LeaseTerms(lease_s=1.0, drift=DRIFT, replace_witness_after_s=2.0)
LONGEST_S = 3.0
DOMAINS = ("agenskalns", "teika", "purvciems")


class SimNode:
    """A node that a `World` drives, and that sends and appends through it."""

    def __init__(self, world, node_id, rate, failure_domain):
        self.world = world
        self.failure_domain = failure_domain
        self.node_id = node_id
        self.rate = rate
        self.offset_s = 1000.0 * rate
        self.incarnation = 0
        self.frozen = False
        self.backend_up = True
        self.reads_log = True
        self.appends = True
        self.pending = []
        self.restart()

    def now_s(self):
        return self.offset_s + self.world.real_s * self.rate

    def set_rate(self, rate):
        """Let the clock run faster or slower from now on."""
        self.offset_s = self.now_s() - self.world.real_s * rate
        self.rate = rate

    def restart(self, predecessor_ended=False):
        """Restart the process with an empty memory.

        ``predecessor_ended`` says that the new process knows that the one before isn't
        frozen on another machine.
        """
        ended_predecessor = self.incarnation if predecessor_ended else None
        self.incarnation += 1
        self.state = ClusterState()
        self.agent = OwnershipAgent(
            self.node_id,
            self.incarnation,
            TERMS,
            self.world.make_id,
            fenced=self.world.fenced,
        )
        self.agent.set_incarnation(self.incarnation, ended_predecessor)
        longest_s = max(TERMS.lease_s, self.world.longest_lease_s)
        self.unknown_until_s = self.now_s() + longest_s
        self.witness = None
        self.caught_up = False
        self.announced = False
        self.requested_releases = {}
        self.frozen = False

    def alive(self, incarnation):
        return self.incarnation == incarnation and not self.frozen

    def fold_some(self, count):
        """Fold up to ``count`` records that the log holds."""
        log = self.world.log
        for offset in range(self.state.next_offset, len(log))[:count]:
            result = fold(self.state, offset, log[offset])
            self.agent.folded(self.state, log[offset], result, self.now_s())
        if not self.caught_up and self.state.next_offset == len(log):
            self.caught_up = True
            is_new = self.node_id not in self.state.members
            first_named = self.state.next_offset if is_new else None
            self.witness = Witness(TERMS, self.now_s(), self.incarnation, first_named)

    def tick(self, forced=False):
        """Have the agent act, and the witness report lapses."""
        if self.frozen or not self.caught_up:
            return
        self._announce()
        self._read_back()
        now_s = self.now_s()
        self.agent.inflight.expire(now_s)
        self._tick_agent(forced)
        self._request_releases()
        self._report_lapses(now_s)

    def _tick_agent(self, forced):
        held_until_s = self.held_until_s()
        self.carry_out(
            self.agent.tick(
                self.state, self.now_s(), self.backend_up, forced, held_until_s
            )
        )

    def held_until_s(self):
        """Return when the server's last grant ends, as this process knows it.

        A new process knows only how long grants of the one before may last. ``None``
        stands for servers whose grants aren't known.
        """
        if not self.world.fenced:
            return None
        return max(self.unknown_until_s, self.world.held_until_s(self))

    def _announce(self):
        if self.announced:
            return
        self.announced = True
        self.world.append(
            self,
            NodeAnnounced(
                record_id=self.world.make_id(),
                node_id=self.node_id,
                incarnation=self.incarnation,
                host="127.0.0.1",
                caller_port=1,
                peer_port=2,
                operator_port=3,
                failure_domain=self.failure_domain,
                region="riga",
                service=SERVICE,
                checks_fences=self.world.fenced,
            ),
        )

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, SendRenewal):
                self._send_renewal(action)
            elif isinstance(action, SendClaim):
                self._send_claim(action)
            elif isinstance(action, SendUnclaim):
                self.world.send(
                    self.node_id,
                    action.witness,
                    lambda node, claim=action.claim: node.on_unclaim(claim),
                )
            elif isinstance(action, Append):
                self.world.append(self, action.record)
                self.pending.append((self.incarnation, action, self.world.real_s))
            elif isinstance(action, RequestRelease):
                self.requested_releases[action.key] = action.previous

    def _send_renewal(self, action):
        incarnation = self.incarnation

        def deliver_request(node):
            grant = node.on_renewal(action.renewal)
            if grant is not None:
                self.world.send(
                    node.node_id, self.node_id, lambda me: deliver_answer(grant)
                )

        def deliver_answer(grant):
            if self.alive(incarnation) and not grant.granted:
                self.agent.renewal_denied(action.witness, grant, self.now_s())
            elif self.alive(incarnation):
                number = action.renewal.round
                self.carry_out(
                    self.agent.renewal_granted(
                        action.witness, number, grant.term, self.now_s()
                    )
                )

        self.world.send(self.node_id, action.witness, deliver_request)

    def _send_claim(self, action):
        incarnation = self.incarnation

        def deliver_request(node):
            grant = node.on_claim(action.claim)
            if grant is not None:
                self.world.send(
                    node.node_id, self.node_id, lambda me: deliver_answer(grant)
                )

        def deliver_answer(grant):
            if self.alive(incarnation):
                claim = action.claim
                if not grant.granted:
                    self.carry_out(
                        self.agent.claim_denied(
                            claim.owner_id, action.witness, grant.denial, self.now_s()
                        )
                    )
                    return
                self.carry_out(
                    self.agent.claim_granted(
                        claim.owner_id,
                        action.witness,
                        claim.round,
                        grant.term,
                        self.now_s(),
                    )
                )

        self.world.send(self.node_id, action.witness, deliver_request)

    def _read_back(self):
        """Notify the agent of appended records that the fold has reached."""
        waiting, self.pending = self.pending, []
        for incarnation, action, since_s in waiting:
            if incarnation != self.incarnation:
                continue
            outcome = self.state.outcomes.get(action.record.record_id)
            if outcome is None and self.world.real_s < since_s + 2.0:
                self.pending.append((incarnation, action, since_s))
                continue
            self.carry_out(
                self.agent.appended(self.state, action.purpose, outcome, self.now_s())
            )

    def _request_releases(self):
        for key, previous in list(self.requested_releases.items()):
            if not self.agent.awaits_release(self.state, key, self.now_s()):
                self.agent.release_request_ended(key)
                del self.requested_releases[key]
                continue
            self._request_release(key, previous)

    def _request_release(self, key, previous):
        incarnation = self.incarnation

        def deliver_request(node):
            decision = node.on_release(key)
            if decision is not None and decision.released:
                self.world.send(node.node_id, self.node_id, lambda me: deliver_answer())

        def deliver_answer():
            if self.alive(incarnation) and key in self.requested_releases:
                del self.requested_releases[key]
                self.carry_out(self.agent.release_received(key, True, self.now_s()))

        self.world.send(self.node_id, previous, deliver_request)

    def _report_lapses(self, now_s):
        watched = [
            m.node_id
            for m in self.state.members.values()
            if any(self.node_id in group for group in m.witness_groups)
        ]
        longest_s = {one: longest_lease_s(self.state, one) for one in watched}
        self.witness.watch(longest_s, now_s)
        for owner_id in self.witness.lapsed_owners(watched, now_s):
            for node_id in self.world.nodes:
                self.world.send(
                    self.node_id,
                    node_id,
                    lambda node, owner_id=owner_id: node.on_lapsed(owner_id),
                )

    def view(self, owner_id):
        member = self.state.members.get(owner_id)
        if self.witness is None or member is None:
            return None
        return OwnerView(
            incarnation=member.incarnation,
            lease_epoch=member.lease_epoch,
            lease_incarnation=member.lease_incarnation,
            portfolio_epoch=member.portfolio_epoch,
            checks_fences=self.world.fenced,
            longest_lease_s=longest_lease_s(self.state, owner_id),
        )

    def on_renewal(self, renewal):
        view = self.view(renewal.owner_id)
        if view is None:
            return None
        return self.witness.renew(renewal, view, LONGEST_S, self.now_s())

    def on_claim(self, claim):
        view = self.view(claim.owner_id)
        if view is None:
            return None
        return self.witness.claim(claim, view, LONGEST_S, self.now_s())

    def on_unclaim(self, claim):
        if self.witness is not None:
            self.witness.unclaim(claim, self.now_s())

    def on_lapsed(self, owner_id):
        if self.caught_up:
            self.carry_out(
                self.agent.lapse_notified(self.state, owner_id, self.now_s())
            )

    def on_release(self, key):
        if not self.caught_up:
            return None
        decision = self.agent.decide_release(
            self.state, key.service, key.start, key.epoch, self.now_s()
        )
        if decision.notify_witnesses:
            self._tick_agent(True)
        if decision.released:
            self.world.released(self.node_id, key)
        return decision
