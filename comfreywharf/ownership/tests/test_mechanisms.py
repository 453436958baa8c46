"""Each mechanism of sole ownership, with a sequence of events that requires it.

Every scenario runs twice on the decision code. With all mechanisms it must end without
a violation and with the key served. With its one mechanism switched off, the same
sequence must end in two owners.
"""

import sys
from contextlib import contextmanager
from unittest import mock

import attrs
import pytest

from comfreywharf.ownership import (
    HeldClaim,
    Holder,
    InFlight,
    LeaseTerms,
    OwnershipTable,
    Witness,
)
from comfreywharf.ownership.messages import Denial
from comfreywharf.ownership.quorum import QuorumLease
from comfreywharf.ownership.tests.builders import (
    KEYS,
    SERVICE,
    Violation,
    make_world,
    move,
)
from comfreywharf.ownership.witness import _WatchedLease
from comfreywharf.records import SliceMove, fold, key_hash

fold_module = sys.modules[fold.__module__]

KEY = KEYS[0]
LONG_S = 2.9


class Cluster:
    """A world and the nodes that have a role for one key."""

    def __init__(self):
        self.world = make_world()
        self.owner = self._node("owner")
        self.standby = self._node("standby")
        self.witnesses = [self._node(f"witness{index}") for index in range(3)]

    def _node(self, role):
        return self.world.nodes[self.world.role(role, KEY)]

    def run(self, duration_s):
        self.world.run(duration_s)

    def serves(self, node, wanted_s=0.1):
        return self.world.request(node.node_id, KEY, wanted_s)

    def slice_of_key(self):
        return self.world.folded_log().slice_at(SERVICE, key_hash(KEY))

    def plan(self, owner, standby):
        slice_ = self.slice_of_key()
        change = SliceMove(
            service=SERVICE,
            start=slice_.start,
            base_epoch=slice_.epoch,
            owner=owner.node_id,
            standby=standby.node_id,
        )
        move(self.world, [change])

    def spare(self):
        """Return a node that is neither owner nor standby."""
        names = sorted(self.world.nodes)
        taken = {self.owner.node_id, self.standby.node_id}
        return self.world.nodes[next(name for name in names if name not in taken)]

    def isolate(self, node):
        others = [name for name in self.world.nodes if name != node.node_id]
        self.world.cuts |= {(node.node_id, other) for other in others}
        self.world.cuts |= {(other, node.node_id) for other in others}


@contextmanager
def off(target, name, replacement):
    """Replace one attribute, which switches a mechanism off."""
    with mock.patch.object(target, name, replacement):
        yield


def restarted_witnesses(cluster):
    """Two witnesses restart during a takeover that isn't recorded in the log.

    The owner freezes, and its standby takes over and can't reach the log. Two
    witnesses restart, and the owner thaws and requests its lease from them. Without
    the mechanism both nodes answer, since the restarted witnesses have lost the memory
    of their grants.
    """
    cluster.standby.appends = False
    cluster.owner.frozen = True
    cluster.run(2.0)
    assert cluster.serves(cluster.standby)
    for witness in cluster.witnesses[:2]:
        if witness is not cluster.standby:
            witness.restart()
    cluster.owner.frozen = False
    cluster.run(0.6)
    cluster.run(3.0)


def stale_standby_after_move(cluster):
    """A standby that hasn't folded a move claims the earlier owner's lease.

    A slice moves to a new owner while the standby can't read the log. The earlier
    owner releases the slice and freezes. The standby, which still is the earlier
    owner's standby in its own fold, claims the lease. Without the mechanism the new
    owner and the stale standby both answer, since only the portfolio epoch shows the
    witnesses that the claim is based on an outdated assignment.
    """
    cluster.standby.reads_log = False
    target = cluster.spare()
    cluster.plan(target, cluster.owner)
    cluster.run(1.0)
    assert cluster.serves(target)
    cluster.owner.frozen = True
    cluster.run(2.5)
    assert cluster.serves(target)


def unacknowledged_portfolio(cluster):
    """The witnesses haven't folded a move when the owner releases the slice.

    Neither the witnesses nor the standby read the log when a slice moves, and the
    earlier owner can reach only the new one. It releases the slice and its lease
    lapses, and the stale standby claims it from stale witnesses. Without the mechanism
    the new owner and the former standby both answer, since the release was sent before
    a majority of the witnesses had acknowledged the move in the owner's renewals.
    """
    target = cluster.spare()
    for node in cluster.world.nodes.values():
        node.reads_log = node in (cluster.owner, target)
    cluster.isolate(cluster.owner)
    cluster.world.cuts.discard((cluster.owner.node_id, target.node_id))
    cluster.world.cuts.discard((target.node_id, cluster.owner.node_id))
    cluster.plan(target, cluster.owner)
    cluster.run(3.0)
    for node in cluster.world.nodes.values():
        node.reads_log = True
    cluster.world.cuts.clear()
    cluster.run(3.0)


def healed_lapse_after_takeover(cluster):
    """An owner thaws after its standby took over and gave the share back.

    The owner freezes. Its standby takes over, has the takeover recorded and gives the
    claim back. The owner thaws and gets its lease again before it has folded any
    record. Without the mechanism it answers for a slice that the log assigns to its
    standby: a lapse may be healed without the log only if no other node held the lease
    meanwhile, which the witnesses' terms show.
    """
    cluster.owner.frozen = True
    cluster.run(2.5)
    assert cluster.serves(cluster.standby)
    cluster.owner.reads_log = False
    cluster.owner.frozen = False
    cluster.run(1.0)
    assert cluster.serves(cluster.standby)
    cluster.owner.reads_log = True
    cluster.run(1.0)


def long_request(cluster):
    """An owner is lost while a request longer than its lease runs.

    A request with a deadline of almost 3 s is forwarded. The owner's node is lost, and
    its backend server continues the request. Without the mechanism the old request may
    take effect after the new owner's requests, since the lease lapses long before the
    deadline.
    """
    assert cluster.serves(cluster.owner, LONG_S)
    cluster.owner.frozen = True
    cluster.run(2.0)
    cluster.run(3.0)
    assert cluster.serves(cluster.standby)


def uncovered_long_request(cluster):
    """A long request is forwarded before the witnesses have received its deadline.

    The fault is that of `long_request`, but the owner is lost before its next renewal.
    """
    cluster.world.messages.clear()
    cluster.serves(cluster.owner, LONG_S)
    cluster.owner.frozen = True
    cluster.world.messages.clear()
    cluster.run(3.5)


def busy_at_release(cluster):
    """A slice moves while a request for it runs.

    A request is forwarded, the slice moves, and the release is requested. Without the
    mechanism the slice is released before the request's answer or deadline, and the new
    owner serves while the earlier owner's request may still take effect.
    """
    target = cluster.spare()
    assert cluster.serves(cluster.owner, 0.9)
    cluster.plan(target, cluster.owner)
    cluster.run(0.5)
    cluster.run(1.5)
    assert cluster.serves(target)


def unreleased_move(cluster):
    """A slice moves to a node that folds the move first.

    The planner's record reaches the new owner, and the earlier one can't read the log.
    Without the mechanism both answer: only the release shows the new owner that
    the earlier one has stopped.
    """
    cluster.owner.reads_log = False
    cluster.plan(cluster.spare(), cluster.owner)
    cluster.run(1.0)
    assert cluster.serves(cluster.owner)
    cluster.owner.reads_log = True
    cluster.run(1.0)


def replaced_machine(cluster):
    """A frozen machine is replaced by a new process under the same id.

    A long request runs on the owner's backend server. The machine freezes and is
    replaced at once, and the new process requests the lease. Without the mechanism the
    witnesses grant it before the old process's lease is over, and requests of both
    machines take effect at the same time.
    """
    assert cluster.serves(cluster.owner, LONG_S)
    cluster.owner.restart()
    cluster.world.forwarded = [
        attrs.evolve(one, node_id="the old machine") for one in cluster.world.forwarded
    ]
    cluster.run(2.5)
    cluster.run(4.0)


def backend_lost_with_a_request_in_flight(cluster):
    """A backend server is lost while a request is in its socket.

    A request is forwarded, and the server freezes. Its node gives up the lease, the
    standby takes over, and the server thaws. Without the mechanism the surrender
    doesn't include the outstanding deadlines, and the thawed server applies the request
    after the takeover.
    """
    assert cluster.serves(cluster.owner, 0.9)
    node = cluster.owner
    node.backend_up = False
    node.carry_out(node.agent.surrender(node.state, "backend lost", node.now_s()))
    cluster.run(0.6)
    cluster.run(2.0)
    assert cluster.serves(cluster.standby)


def surrender_and_recover(cluster):
    """A backend server returns shortly after its node gave up the lease.

    The node gives up the lease, the standby takes over, and the backend server
    announces itself again before the original lease would have ended. If the holder
    counted grants from before the surrender, the recovered owner and its standby would
    both answer.
    """
    cluster.standby.appends = False
    node = cluster.owner
    node.backend_up = False
    node.carry_out(node.agent.surrender(node.state, "backend lost", node.now_s()))
    cluster.run(0.3)
    assert cluster.serves(cluster.standby)
    node.backend_up = True
    node.agent.recover()
    with mock.patch.object(cluster.world, "send", lambda *message: None):
        node.carry_out(node.agent.renewal_granted("", 0, 0, node.now_s()))
        node.carry_out(node.agent.tick(node.state, node.now_s(), True))
    cluster.run(1.0)


def two_shares(cluster):
    """Give the owner a second slice, whose standby is another node."""
    other = cluster.spare()
    first = cluster.slice_of_key()
    slices = cluster.world.folded_log().slices[SERVICE].slices
    second = next(slice_ for slice_ in slices if slice_.start != first.start)
    change = SliceMove(
        service=SERVICE,
        start=second.start,
        base_epoch=second.epoch,
        owner=cluster.owner.node_id,
        standby=other.node_id,
    )
    move(cluster.world, [change])
    cluster.run(1.5)
    return other


def share_that_grows(cluster):
    """A slice gets another standby while two takers hold their shares.

    An owner of two slices with different standbys is lost, and both standbys claim its
    lease. The planner, whose fold has no takeover yet, makes one the standby of the
    other's slice. Without the mechanism the share follows the fold and includes a slice
    that the other taker still serves, so that both answer.
    """
    other = two_shares(cluster)
    cluster.standby.appends = other.appends = False
    cluster.owner.frozen = True
    cluster.run(2.0)
    assert cluster.serves(cluster.standby)
    cluster.standby.reads_log = False
    cluster.plan(cluster.owner, other)
    cluster.run(1.0)
    cluster.standby.appends = other.appends = True
    cluster.standby.reads_log = True
    cluster.run(1.0)


def two_views(cluster):
    """A slice gets another standby while the former one holds a claim.

    An owner is lost, and its standby claims the lease and can't reach the log. The
    planner assigns another standby, which claims it as well. Without the mechanism both
    standbys answer, since their claims are based on different views of the assignment.
    """
    cluster.standby.appends = False
    cluster.owner.frozen = True
    cluster.run(2.0)
    assert cluster.serves(cluster.standby)
    cluster.standby.reads_log = False
    cluster.plan(cluster.owner, cluster.spare())
    cluster.run(1.5)
    cluster.standby.appends = cluster.standby.reads_log = True
    cluster.run(1.0)


def takeover_before_release(cluster):
    """A new owner is lost before the earlier one has released the slice.

    A slice moves while the earlier owner can't read the log. The new owner is lost, and
    its standby takes over and has the takeover recorded. Without the mechanism the
    record drops the fact that a release is still awaited, and the earlier owner and the
    new owner's standby both answer.
    """
    target = cluster.spare()
    cluster.owner.reads_log = False
    cluster.plan(target, cluster.standby)
    target.frozen = True
    cluster.run(2.5)
    assert cluster.serves(cluster.owner)
    cluster.owner.reads_log = True
    cluster.run(1.0)


def stale_taker_of_replaced_witnesses(cluster):
    """A witness is replaced while other witnesses haven't folded the replacement.

    One witness is silent for a long time, and the owner replaces it. Another one
    neither reads the log nor receives messages of the owner. The silent one returns,
    and a standby that doesn't read the log claims the lease from these two. Without the
    mechanism the owner relies on the new witnesses before a majority of the earlier
    ones refuses claims that are based on the earlier epoch, so that both nodes answer.
    """
    standby = cluster.standby
    lost = next(node for node in cluster.witnesses if node is not standby)
    left = [node for node in cluster.witnesses if node is not lost]
    stale = standby if standby in left else left[0]
    for node in (lost, stale, standby):
        node.reads_log = False
    lost.frozen = True
    cluster.run(1.9)
    for node in {lost, stale}:
        cluster.world.cuts.add((cluster.owner.node_id, node.node_id))
        cluster.world.cuts.add((node.node_id, cluster.owner.node_id))
    cluster.run(0.7)
    lost.frozen = False
    cluster.run(2.0)
    for node in cluster.world.nodes.values():
        node.reads_log = True
    cluster.world.cuts.clear()
    cluster.run(1.0)


def drifting_clocks(cluster):
    """An owner's clock runs slower than those of its witnesses.

    The owner is partitioned from the others, and the witnesses' clocks reach the end of
    the lease first. Without an allowance for the drift between clocks, the owner still
    answers when its standby has taken over.
    """
    for node in cluster.world.nodes.values():
        node.set_rate(1.0 if node is cluster.owner else 1.2)
    cluster.run(1.0)
    cluster.isolate(cluster.owner)
    cluster.run(2.0)
    cluster.world.cuts.clear()


def early_record(cluster):
    """A taker's record is late, and the owner's lease has restarted meanwhile.

    The owner freezes, and the standby claims its lease. The standby's record is
    delayed, and the standby freezes. The owner thaws, gets its lease back and serves.
    The record reaches the log, and the standby thaws and folds it before the owner
    does. A record that is based on an earlier hold of the lease must be refused;
    otherwise it assigns the slice to the taker while the owner still serves it.
    """
    world = cluster.world
    cluster.owner.frozen = True
    cluster.standby.appends = True
    world.log_up = True
    held_up = []
    original = world.append

    def hold_up(node, record):
        if node is cluster.standby:
            held_up.append(record)
        else:
            original(node, record)

    with mock.patch.object(world, "append", hold_up):
        cluster.run(2.0)
        assert held_up
        cluster.standby.frozen = True
        cluster.owner.frozen = False
        cluster.run(3.0)
        assert cluster.serves(cluster.owner)
        cluster.owner.reads_log = False
        world.waiting_appends += held_up
        world.append_waiting()
        cluster.standby.frozen = False
        cluster.run(2.0)
    cluster.owner.reads_log = True
    cluster.run(2.0)


def heal_despite_other_terms(self, granting):
    self._chart.fire("majority_unbroken")


def never_denied(self, watched, claim, view):
    return Denial.NONE


def hold_without_a_fixed_share(self, key, now_s):
    return self.held_since_s is not None and self.lease.held(now_s)


def without_drift(self, sent_s, lease_s=None):
    return sent_s + (lease_s or self.lease_s) * (1 + self.drift)


def never_silent(self, started_s, longest_lease_s=0.0):
    return started_s


def start_without_record(original=Holder.grant_received):
    def grant_received(self, witness, number, term, now_s):
        original(self, witness, number, term, now_s)
        if self.phase == "starting":
            self._chart.fire("started")

    return grant_received


def always_covered(original=OwnershipTable.right_to_serve):
    def right_to_serve(self, *arguments):
        return attrs.evolve(original(self, *arguments), covered=True)

    return right_to_serve


def ignore_earlier_process(original=Witness.renew):
    def renew(self, renewal, *arguments):
        watched = self._watched.get(renewal.owner_id)
        if watched and watched.incarnation != renewal.incarnation:
            watched.expires_s = watched.reach_until_s = float("-inf")
        return original(self, renewal, *arguments)

    return renew


MECHANISMS = {
    "silence after a restart": (
        restarted_witnesses,
        lambda: off(LeaseTerms, "silent_until_s", never_silent),
    ),
    "portfolio epoch at the witness": (
        stale_standby_after_move,
        lambda: off(Witness, "_claim_denial", never_denied),
    ),
    "witnesses acknowledge the move before a release": (
        unacknowledged_portfolio,
        lambda: off(QuorumLease, "acknowledged_portfolio_epoch", lambda self: 1 << 60),
    ),
    "a changed term shows that a taker had the lease": (
        healed_lapse_after_takeover,
        lambda: off(Holder, "_regain", heal_despite_other_terms),
    ),
    "deadlines in renewals": (
        long_request,
        lambda: off(_WatchedLease, "held_until_s", lambda self, fences: self.expires_s),
    ),
    "witnesses receive the deadline before a forward": (
        uncovered_long_request,
        lambda: off(OwnershipTable, "right_to_serve", always_covered()),
    ),
    "a release waits for requests in flight": (
        busy_at_release,
        lambda: off(InFlight, "busy_until_s", lambda self, *range_and_now: 0.0),
    ),
    "the new owner waits for the release": (
        unreleased_move,
        lambda: off(OwnershipTable, "_release_leases", lambda self, *slice_: ()),
    ),
    "a new process waits for the old one": (
        replaced_machine,
        lambda: off(Witness, "renew", ignore_earlier_process()),
    ),
    "a surrender reports the deadlines of requests in flight": (
        backend_lost_with_a_request_in_flight,
        lambda: off(InFlight, "all_until_s", lambda self, now_s: now_s),
    ),
    "the lease starts with a record": (
        early_record,
        lambda: off(Holder, "grant_received", start_without_record()),
    ),
    "a claim keeps its share": (
        share_that_grows,
        lambda: off(HeldClaim, "holds", hold_without_a_fixed_share),
    ),
    "takers have one view": (
        two_views,
        lambda: off(Witness, "_claim_denial", never_denied),
    ),
    "a takeover awaits the earlier release": (
        takeover_before_release,
        lambda: off(fold_module, "_awaited_after_take", lambda *arguments: ""),
    ),
    "earlier witnesses count until they acknowledge the new epoch": (
        stale_taker_of_replaced_witnesses,
        lambda: off(fold_module, "_earlier_witnesses", lambda *arguments: ()),
    ),
    "both sides allow for drift": (
        drifting_clocks,
        lambda: off(LeaseTerms, "held_until_s", without_drift),
    ),
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_scenario_keeps_one_owner(name):
    """The sequence ends without two owners, and the key is served in the end."""
    scenario, _ = MECHANISMS[name]
    cluster = Cluster()
    scenario(cluster)
    cluster.run(8.0)
    assert cluster.world.served(KEY)


@pytest.mark.parametrize("name", MECHANISMS)
def test_scenario_needs_its_mechanism(name):
    """The same sequence ends in two owners if the mechanism is switched off."""
    scenario, switched_off = MECHANISMS[name]
    cluster = Cluster()
    with switched_off(), pytest.raises(Violation):
        scenario(cluster)
        cluster.run(2.0)


def test_owner_that_receives_no_answers_pauses_its_requests():
    """Guards against keys without an owner although their standby is healthy.

    Renewals reach the witnesses, and their answers are lost. The owner stops serving.
    If it kept sending requests, each one would extend the lease at the witnesses, so
    that no claim would be granted.
    """
    cluster = Cluster()
    for name in cluster.world.nodes:
        if name != cluster.owner.node_id:
            cluster.world.cuts.add((name, cluster.owner.node_id))
    cluster.run(6.0)
    assert cluster.world.served(KEY)


def test_witnesses_lost_one_after_another_are_replaced():
    """Guards against keys of a healthy node that permanently have no owner.

    A witness's machine is lost permanently, and later another one's. The first one has
    to be replaced while there still is a majority.
    """
    cluster = Cluster()
    first, second, _ = cluster.witnesses
    first.frozen = True
    cluster.run(6.0)
    assert first.node_id not in cluster.world.witnesses_of(KEY)
    second.frozen = True
    cluster.run(2.0)
    assert cluster.world.served(KEY)
