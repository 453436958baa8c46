"""Each mechanism of sole ownership, with the sequence that needs it.

Every scenario runs twice on the decision code: as it is, where it must end
without a violation and with the key served, and with the one mechanism switched
off, where the same sequence must end in two owners.
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
from comfreywharf.ownership.witness import _Watched
from comfreywharf.records import SliceMove, fold, key_hash

fold_module = sys.modules[fold.__module__]

KEY = KEYS[0]
LONG_S = 2.9


class Stage:
    """A world and the nodes that matter for one key."""

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

    def piece(self):
        return self.world.truth().owner_of(SERVICE, key_hash(KEY))

    def plan(self, owner, standby):
        piece = self.piece()
        change = SliceMove(
            service=SERVICE,
            start=piece.start,
            base_epoch=piece.epoch,
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
    """Switch one mechanism off."""
    with mock.patch.object(target, name, replacement):
        yield


def restarted_witnesses(stage):
    """Two witnesses restart during a takeover that the log doesn't know of.

    Symptom: the returned owner and its standby both answer.
    Sequence: the owner freezes, its standby takes over and can't reach the log;
    two witnesses restart; the owner thaws and asks them for its lease.
    Cause: the restarted witnesses have forgotten what they granted.
    """
    stage.standby.appends = False
    stage.owner.frozen = True
    stage.run(2.0)
    assert stage.serves(stage.standby)
    for witness in stage.witnesses[:2]:
        if witness is not stage.standby:
            witness.restart()
    stage.owner.frozen = False
    stage.run(0.6)
    stage.run(3.0)


def stale_standby_after_move(stage):
    """A standby that hasn't folded a move claims the earlier owner's lease.

    Symptom: the new owner and a stale standby both answer.
    Sequence: a slice moves to a new owner while the standby can't read the log;
    the earlier owner releases the slice, then dies; the standby, in whose fold
    it still stands by for the dead owner, claims its lease.
    Cause: nothing but the portfolio epoch tells the witnesses that the claim is
    built on an old assignment.
    """
    stage.standby.reads_log = False
    target = stage.spare()
    stage.plan(target, stage.owner)
    stage.run(1.0)
    assert stage.serves(target)
    stage.owner.frozen = True
    stage.run(2.5)
    assert stage.serves(target)


def unheard_portfolio(stage):
    """The witnesses haven't folded a move when the owner releases and dies.

    Symptom: the new owner and the former standby both answer.
    Sequence: neither the witnesses nor the standby read the log when a slice
    moves, and the earlier owner reaches only the new one; it releases the slice
    and its lease lapses; the stale standby claims it from stale witnesses.
    Cause: the release went out before a majority of the witnesses had heard of
    the move by the owner's renewals.
    """
    target = stage.spare()
    for node in stage.world.nodes.values():
        node.reads_log = node in (stage.owner, target)
    stage.isolate(stage.owner)
    stage.world.cuts.discard((stage.owner.node_id, target.node_id))
    stage.world.cuts.discard((target.node_id, stage.owner.node_id))
    stage.plan(target, stage.owner)
    stage.run(3.0)
    for node in stage.world.nodes.values():
        node.reads_log = True
    stage.world.cuts.clear()
    stage.run(3.0)


def healed_lapse_after_takeover(stage):
    """An owner thaws after its standby took over and gave the share back.

    Symptom: the owner answers for a slice that the log gave to its standby.
    Sequence: the owner freezes; its standby takes over, has it recorded and
    gives the claim back; the owner thaws and gets its lease again before it has
    folded anything.
    Cause: a lapse is healed without the log only if nobody else held the lease
    meanwhile, which the witnesses' terms tell.
    """
    stage.owner.frozen = True
    stage.run(2.5)
    assert stage.serves(stage.standby)
    stage.owner.reads_log = False
    stage.owner.frozen = False
    stage.run(1.0)
    assert stage.serves(stage.standby)
    stage.owner.reads_log = True
    stage.run(1.0)


def long_request(stage):
    """An owner is lost while a request longer than its lease runs.

    Symptom: the effect of the old request comes after the new owner's.
    Sequence: a request with a deadline of almost 3 s is forwarded; the owner's
    node dies, and its backend server runs the request on.
    Cause: the lease has lapsed long before the deadline.
    """
    assert stage.serves(stage.owner, LONG_S)
    stage.owner.frozen = True
    stage.run(2.0)
    stage.run(3.0)
    assert stage.serves(stage.standby)


def unheard_long_request(stage):
    """A long request is forwarded without the witnesses having heard of it.

    Symptom, sequence and cause are those of a long request, but the owner dies
    before its next renewal.
    """
    stage.world.messages.clear()
    stage.serves(stage.owner, LONG_S)
    stage.owner.frozen = True
    stage.world.messages.clear()
    stage.run(3.5)


def busy_at_release(stage):
    """A slice moves while a request for it runs.

    Symptom: the new owner serves beside the earlier owner's request.
    Sequence: a request is forwarded, the slice moves, the release is asked for.
    Cause: a release before the request's answer or deadline lets both act.
    """
    target = stage.spare()
    assert stage.serves(stage.owner, 0.9)
    stage.plan(target, stage.owner)
    stage.run(0.5)
    stage.run(1.5)
    assert stage.serves(target)


def unreleased_move(stage):
    """A slice moves to a node that folds the move first.

    Symptom: both the new and the earlier owner answer.
    Sequence: the planner's record reaches the new owner, the earlier one can't
    read the log.
    Cause: without the release the new owner can't know that the earlier stopped.
    """
    stage.owner.reads_log = False
    stage.plan(stage.spare(), stage.owner)
    stage.run(1.0)
    assert stage.serves(stage.owner)
    stage.owner.reads_log = True
    stage.run(1.0)


def replaced_machine(stage):
    """A frozen machine is replaced by a new process under the same id.

    Symptom: the old machine's request takes effect beside the new one's.
    Sequence: a long request runs at the owner's backend server; the machine
    freezes and is replaced at once; the new process asks for the lease.
    Cause: the witnesses granted the lease before the old process's was over.
    """
    assert stage.serves(stage.owner, LONG_S)
    stage.owner.restart()
    stage.world.forwarded = [
        attrs.evolve(one, node_id="the old machine") for one in stage.world.forwarded
    ]
    stage.run(2.5)
    stage.run(4.0)


def backend_lost_under_way(stage):
    """A backend server is lost while a request is in its socket.

    Symptom: the thawed server applies the request after the takeover.
    Sequence: a request is forwarded; the server freezes; its node gives the
    lease up; the standby takes over at once; the server thaws.
    Cause: a surrender that doesn't tell how far deadlines reach.
    """
    assert stage.serves(stage.owner, 0.9)
    node = stage.owner
    node.backend_up = False
    node.carry_out(node.agent.surrender(node.state, "backend lost", node.now_s()))
    stage.run(0.6)
    stage.run(2.0)
    assert stage.serves(stage.standby)


def surrender_and_recover(stage):
    """A backend server comes back just after its node gave the lease up.

    Symptom: the recovered owner and its standby both answer.
    Sequence: the node gives the lease up, the standby takes over, the backend
    server announces itself again within the lease's old length.
    Cause: the holder counts grants from before the surrender.
    """
    stage.standby.appends = False
    node = stage.owner
    node.backend_up = False
    node.carry_out(node.agent.surrender(node.state, "backend lost", node.now_s()))
    stage.run(0.3)
    assert stage.serves(stage.standby)
    node.backend_up = True
    node.agent.recover()
    with mock.patch.object(stage.world, "send", lambda *message: None):
        node.carry_out(node.agent.renewed("", 0, 0, node.now_s()))
        node.carry_out(node.agent.tick(node.state, node.now_s(), True))
    stage.run(1.0)


def two_shares(stage):
    """Give the owner a second slice, whose standby is another node."""
    other = stage.spare()
    first = stage.piece()
    pieces = stage.world.truth().slices[SERVICE].slices
    second = next(piece for piece in pieces if piece.start != first.start)
    change = SliceMove(
        service=SERVICE,
        start=second.start,
        base_epoch=second.epoch,
        owner=stage.owner.node_id,
        standby=other.node_id,
    )
    move(stage.world, [change])
    stage.run(1.5)
    return other


def share_that_grows(stage):
    """A slice gets another standby while two takers hold their shares.

    Symptom: the former and the new standby both answer.
    Sequence: an owner of two slices with different standbys is lost, and both
    claim; the planner, in whose fold nothing is taken over yet, makes one the
    standby of the other's slice.
    Cause: a share that follows the fold takes in a slice that the other taker
    still serves.
    """
    other = two_shares(stage)
    stage.standby.appends = other.appends = False
    stage.owner.frozen = True
    stage.run(2.0)
    assert stage.serves(stage.standby)
    stage.standby.reads_log = False
    stage.plan(stage.owner, other)
    stage.run(1.0)
    stage.standby.appends = other.appends = True
    stage.standby.reads_log = True
    stage.run(1.0)


def two_views(stage):
    """A slice gets another standby while the former one holds a claim.

    Symptom: the former and the new standby both answer.
    Sequence: an owner is lost, its standby claims and can't reach the log; the
    planner names another standby, which claims as well.
    Cause: the two claims are built on different views of the assignment.
    """
    stage.standby.appends = False
    stage.owner.frozen = True
    stage.run(2.0)
    assert stage.serves(stage.standby)
    stage.standby.reads_log = False
    stage.plan(stage.owner, stage.spare())
    stage.run(1.5)
    stage.standby.appends = stage.standby.reads_log = True
    stage.run(1.0)


def takeover_before_release(stage):
    """A new owner is lost before the earlier one has released the slice.

    Symptom: the earlier owner and the new owner's standby both answer.
    Sequence: a slice moves while the earlier owner can't read the log; the new
    owner is lost; its standby takes over and has it recorded.
    Cause: the takeover's record forgets that a release is still awaited.
    """
    target = stage.spare()
    stage.owner.reads_log = False
    stage.plan(target, stage.standby)
    target.frozen = True
    stage.run(2.5)
    assert stage.serves(stage.owner)
    stage.owner.reads_log = True
    stage.run(1.0)


def stale_taker_of_replaced_witnesses(stage):
    """A witness is replaced while others haven't heard of it.

    Symptom: the owner and a stale standby both answer.
    Sequence: one witness is silent for long, the owner replaces it; another one
    neither reads the log nor hears the owner; the silent one comes back, and a
    standby that doesn't read the log claims the lease from these two.
    Cause: the owner counts on the new witnesses before a majority of the earlier
    ones refuses claims that are built on the epoch before.
    """
    standby = stage.standby
    lost = next(node for node in stage.witnesses if node is not standby)
    left = [node for node in stage.witnesses if node is not lost]
    stale = standby if standby in left else left[0]
    for node in (lost, stale, standby):
        node.reads_log = False
    lost.frozen = True
    stage.run(1.9)
    for node in {lost, stale}:
        stage.world.cuts.add((stage.owner.node_id, node.node_id))
        stage.world.cuts.add((node.node_id, stage.owner.node_id))
    stage.run(0.7)
    lost.frozen = False
    stage.run(2.0)
    for node in stage.world.nodes.values():
        node.reads_log = True
    stage.world.cuts.clear()
    stage.run(1.0)


def drifting_clocks(stage):
    """An owner's clock runs slower than those of its witnesses.

    Symptom: the owner still answers when its standby has taken over.
    Sequence: the owner is cut off; its witnesses' clocks reach the lease's end
    first.
    Cause: neither side allows for the drift between clocks.
    """
    for node in stage.world.nodes.values():
        node.set_rate(1.0 if node is stage.owner else 1.2)
    stage.run(1.0)
    stage.isolate(stage.owner)
    stage.run(2.0)
    stage.world.cuts.clear()


def early_record(stage):
    """A taker's record is late, and the owner has begun anew meanwhile.

    Symptom: the late record gives the slice to the taker, the owner serves on.
    Sequence: the owner freezes; the standby claims, its record is held up; the
    standby freezes; the owner thaws, gets its lease back and serves; the record
    reaches the log, and the standby thaws and folds it, the owner doesn't yet.
    Cause: a record built on an earlier hold of the lease must be refused.
    """
    world = stage.world
    stage.owner.frozen = True
    stage.standby.appends = True
    world.log_up = True
    held_up = []
    original = world.append

    def hold_up(node, record):
        if node is stage.standby:
            held_up.append(record)
        else:
            original(node, record)

    with mock.patch.object(world, "append", hold_up):
        stage.run(2.0)
        assert held_up
        stage.standby.frozen = True
        stage.owner.frozen = False
        stage.run(3.0)
        assert stage.serves(stage.owner)
        stage.owner.reads_log = False
        world.waiting_appends += held_up
        world.land_appends()
        stage.standby.frozen = False
        stage.run(2.0)
    stage.owner.reads_log = True
    stage.run(2.0)


def no_terms(self, granting):
    self._chart.fire("majority_unbroken")


def never_stale(self, watched, claim, view):
    return Denial.NONE


def follow_the_fold(self, key, now_s):
    return self.held_since_s is not None and self.lease.held(now_s)


def without_drift(self, sent_s):
    return sent_s + self.lease_s * (1 + self.drift)


def start_without_record(original=Holder.granted):
    def granted(self, witness, number, term, now_s):
        original(self, witness, number, term, now_s)
        if self.phase == "starting":
            self._chart.fire("started")

    return granted


def always_covered(original=OwnershipTable.right_to_serve):
    def right_to_serve(self, *arguments):
        return attrs.evolve(original(self, *arguments), covered=True)

    return right_to_serve


def forget_earlier_process(original=Witness.renew):
    def renew(self, renewal, *arguments):
        watched = self._watched.get(renewal.owner_id)
        if watched and watched.incarnation != renewal.incarnation:
            watched.expires_s = watched.reach_s = float("-inf")
        return original(self, renewal, *arguments)

    return renew


MECHANISMS = {
    "silence after a restart": (
        restarted_witnesses,
        lambda: off(LeaseTerms, "silent_until_s", lambda self, started_s: started_s),
    ),
    "portfolio epoch at the witness": (
        stale_standby_after_move,
        lambda: off(Witness, "_claim_denial", never_stale),
    ),
    "witnesses told before a release": (
        unheard_portfolio,
        lambda: off(QuorumLease, "acknowledged_portfolio_epoch", lambda self: 1 << 60),
    ),
    "terms tell of a taker": (
        healed_lapse_after_takeover,
        lambda: off(Holder, "_regain", no_terms),
    ),
    "reach in renewals": (
        long_request,
        lambda: off(_Watched, "held_until_s", lambda self, fences: self.expires_s),
    ),
    "coverage before a forward": (
        unheard_long_request,
        lambda: off(OwnershipTable, "right_to_serve", always_covered()),
    ),
    "a release waits for what is in flight": (
        busy_at_release,
        lambda: off(InFlight, "busy_until_s", lambda self, *range_and_now: 0.0),
    ),
    "the new owner waits for the release": (
        unreleased_move,
        lambda: off(OwnershipTable, "_release_leases", lambda self, *slice_: ()),
    ),
    "a new process waits for the old one": (
        replaced_machine,
        lambda: off(Witness, "renew", forget_earlier_process()),
    ),
    "a surrender tells what is in flight": (
        backend_lost_under_way,
        lambda: off(InFlight, "all_until_s", lambda self, now_s: now_s),
    ),
    "the lease begins in the log": (
        early_record,
        lambda: off(Holder, "granted", start_without_record()),
    ),
    "a claim keeps its share": (
        share_that_grows,
        lambda: off(HeldClaim, "holds", follow_the_fold),
    ),
    "takers have one view": (
        two_views,
        lambda: off(Witness, "_claim_denial", never_stale),
    ),
    "a takeover awaits the earlier release": (
        takeover_before_release,
        lambda: off(fold_module, "_awaited_after_take", lambda *arguments: ""),
    ),
    "earlier witnesses are asked until they were told": (
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
    stage = Stage()
    scenario(stage)
    stage.run(8.0)
    assert stage.world.served(KEY)


@pytest.mark.parametrize("name", MECHANISMS)
def test_scenario_needs_its_mechanism(name):
    """The same sequence ends in two owners once the mechanism is off."""
    scenario, switched_off = MECHANISMS[name]
    stage = Stage()
    with switched_off(), pytest.raises(Violation):
        scenario(stage)
        stage.run(2.0)


def test_deaf_owner_lets_go():
    """An owner that hears no answers stops keeping its standby out.

    Symptom: keys have no owner although their standby is well.
    Sequence: renewals reach the witnesses, their answers don't come back; the
    owner stops serving, and asks on.
    Cause: each ask extends the lease at the witnesses, so that no claim is
    granted.
    """
    stage = Stage()
    for name in stage.world.nodes:
        if name != stage.owner.node_id:
            stage.world.cuts.add((name, stage.owner.node_id))
    stage.run(6.0)
    assert stage.world.served(KEY)


def test_losses_one_after_another():
    """A healthy owner stays one when its witnesses are lost one by one.

    Symptom: keys of a healthy node have no owner, for good.
    Sequence: a witness's machine is lost for good, later another one's.
    Cause: nobody took the first one's place while a majority still stood.
    """
    stage = Stage()
    first, second, _ = stage.witnesses
    first.frozen = True
    stage.run(6.0)
    assert first.node_id not in stage.world.witnesses_of(KEY)
    second.frozen = True
    stage.run(2.0)
    assert stage.world.served(KEY)
