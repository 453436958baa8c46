"""What a node does with a lease that can't be written down."""

from types import SimpleNamespace

import gevent
import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.tests.builders import node_settings
from comfreywharf.ownership import SendRenewal
from comfreywharf.ownership.holder import OwnLease

SETTINGS = node_settings()


def grant_by_majority(holder, now_s):
    """Have the one witness of a lease grant it."""
    holder.use_witnesses([("w",)])
    renewal = holder.renewal(OwnLease(), now_s, now_s)
    holder.granted("w", renewal.round, 1, now_s)


@pytest.mark.parametrize("heard", [False, True])
def test_a_lease_that_cant_be_written_down_is_given_up(heard):
    """Symptom: keys are dark for as long as the store is away, up to 9 s, after a
    server began again in place.
    Sequence: a server begins again, and its lease with it; where it is ``heard``, its
    heartbeat comes before the lease's record is written; a majority grants the lease;
    the store goes away.
    Cause: only a lease that begins anew for a doubt about a connection is given up
    where it can't be written down. The heartbeat ends that, and the witnesses are
    renewed, so that no standby may claim."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    leases = node.leases
    node.follower.reachable = True
    leases.begin_anew("another process may be there")
    if heard:
        leases.surrender("backend lost", boottime_s())
        leases.recover()
    grant_by_majority(leases.holder, boottime_s())
    assert leases.holder.phase == "starting"
    node.follower.reachable = False
    node.incarnation_chosen.set()
    running = gevent.spawn(leases.run)
    gevent.sleep(0.2)
    running.kill()
    assert leases.holder.phase == "surrendered"


def test_what_still_runs_is_told_again_when_a_lease_cant_begin_anew():
    """Symptom: a taker's server holds keys for a second beside their owner's.
    Sequence: a lease begins anew while its server holds grants; a majority grants it;
    the store goes away, so that it is given up once more.
    Cause: the second time the witnesses were told of no hold."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    node.grants = SimpleNamespace(held_until_s=lambda now_s: now_s + 1.0)
    leases = node.leases
    leases.holder.use_witnesses([("w",)])
    told_s = []
    leases._perform[SendRenewal] = lambda action: told_s.append(action.renewal.lease_s)
    node.follower.reachable = True
    leases.begin_anew("another process may be there")
    grant_by_majority(leases.holder, boottime_s())
    node.follower.reachable = False
    leases._follow_log()
    assert leases.holder.phase == "surrendered"
    assert len(told_s) == 2
    assert min(told_s) > 0.9


def started_without_a_log():
    """Return the leases of a node whose first lease is granted with the log away."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    grant_by_majority(node.leases.holder, boottime_s())
    assert node.leases.holder.phase == "starting"
    node.leases._follow_log()
    return node


def test_a_first_lease_that_cant_be_written_down_is_given_up_and_asked_for_again():
    """Symptom: keys are dark for an outage of the store at a node that began in it.
    Sequence: a node begins, and its witnesses grant its first lease; the store is away.
    Cause: only a lease that begins anew was given up."""
    node = started_without_a_log()
    assert node.leases.holder.phase == "surrendered"
    node.follower.reachable = True
    node.leases._follow_log()
    assert node.leases.holder.phase == "acquiring"


def test_a_lease_that_was_given_up_for_good_meanwhile_isnt_asked_for_again():
    """Symptom: a node that stops has its keys again. Sequence: its lease can't be
    written down; it stops; the store is back. Cause: the lease is still wanted."""
    node = started_without_a_log()
    node.leases.surrender("stopping")
    node.follower.reachable = True
    node.leases._follow_log()
    assert node.leases.holder.phase == "surrendered"


def test_a_held_lease_is_kept_while_the_log_is_away():
    """Symptom: keys are dark at the beginning of each outage of the store."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    holder = node.leases.holder
    grant_by_majority(holder, boottime_s())
    holder.start_read_back(holder.continuity)
    node.leases._follow_log()
    assert holder.phase == "held"


def test_a_lease_that_was_given_up_for_good_isnt_asked_for_after_a_late_refusal():
    """Symptom: the keys of a server that has left stay dark.
    Sequence: a server leaves, and its lease is given up; an order that was sent
    before is answered as outdated.
    Cause: such an answer has the lease begin anew, also one that was given up for
    good. The node then renews it beside a server that gets no work."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    node.follower.reachable = True
    node.close_to_new_work()
    assert node.leases.holder.phase == "surrendered"
    node.leases.begin_anew("grant outdated")
    assert node.leases.holder.phase == "surrendered"
