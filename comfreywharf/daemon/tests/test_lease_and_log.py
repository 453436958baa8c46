"""Leases while the log is unreachable, so that their records can't be appended."""

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
    """Have the only witness of a lease grant it."""
    holder.use_witnesses([("w",)])
    renewal = holder.renewal(OwnLease(), now_s, now_s)
    holder.grant_received("w", renewal.round, 1, now_s)


@pytest.mark.parametrize("heartbeat_first", [False, True])
def test_reacquired_lease_is_given_up_while_the_log_is_unreachable(heartbeat_first):
    """Guards against keys without a server while the log is unreachable, up to 9 s.

    A server restarts at its address, so that the lease is reacquired, and a majority
    grants it. With ``heartbeat_first``, the server's heartbeat arrives before the
    lease's record is appended. Then the log becomes unreachable. The lease has to be
    given up in both cases: if the node kept renewing it after a heartbeat, no standby
    could claim the keys.
    """
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    leases = node.leases
    node.follower.reachable = True
    leases.reacquire("another process may be there")
    if heartbeat_first:
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


def test_second_surrender_reports_held_grants_again():
    """Guards against two servers that hold the same keys for a second.

    A lease is reacquired while its server holds grants, and a majority grants it. The
    log becomes unreachable, so that the lease is given up again. If the second
    surrender reports no held grants to the witnesses, a taker's server gets the keys
    while the owner's server still holds them.
    """
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    node.grants = SimpleNamespace(held_until_s=lambda now_s: now_s + 1.0)
    leases = node.leases
    leases.holder.use_witnesses([("w",)])
    renewal_lease_s = []
    leases._action_handlers[SendRenewal] = lambda action: renewal_lease_s.append(
        action.renewal.lease_s
    )
    node.follower.reachable = True
    leases.reacquire("another process may be there")
    grant_by_majority(leases.holder, boottime_s())
    node.follower.reachable = False
    leases._follow_log_reachability()
    assert leases.holder.phase == "surrendered"
    assert len(renewal_lease_s) == 2
    assert min(renewal_lease_s) > 0.9


def started_without_a_log():
    """Return a node whose first lease is granted while the log is unreachable."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    grant_by_majority(node.leases.holder, boottime_s())
    assert node.leases.holder.phase == "starting"
    node.leases._follow_log_reachability()
    return node


def test_first_lease_is_given_up_without_the_log_and_reacquired_with_it():
    """Guards against keys without a server at a node that starts in an outage.

    The witnesses grant the node's first lease while the log is unreachable. Not only a
    reacquired lease but also the first one has to be given up then.
    """
    node = started_without_a_log()
    assert node.leases.holder.phase == "surrendered"
    node.follower.reachable = True
    node.leases._follow_log_reachability()
    assert node.leases.holder.phase == "acquiring"


def test_lease_surrendered_by_a_stopping_node_isnt_reacquired():
    """Guards against a stopping node that gets its keys back.

    Its lease was given up because its record couldn't be appended. Then the node
    stops, and the log becomes reachable again.
    """
    node = started_without_a_log()
    node.leases.surrender("stopping")
    node.follower.reachable = True
    node.leases._follow_log_reachability()
    assert node.leases.holder.phase == "surrendered"


def test_held_lease_is_kept_while_the_log_is_unreachable():
    """Guards against keys without a server at the start of each outage of the log."""
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    holder = node.leases.holder
    grant_by_majority(holder, boottime_s())
    holder.start_read_back(holder.generation)
    node.leases._follow_log_reachability()
    assert holder.phase == "held"


def test_late_refusal_doesnt_reacquire_a_surrendered_lease():
    """Guards against keys that stay without a server after their server has left.

    The server leaves, and its lease is given up. A grant that was sent before is then
    refused as outdated. If that reacquired the lease, the node would renew it for a
    server that gets no requests.
    """
    node = Node(SETTINGS, OwnPorts(SETTINGS))
    node.follower.reachable = True
    node.close_to_new_work()
    assert node.leases.holder.phase == "surrendered"
    node.leases.reacquire("grant outdated")
    assert node.leases.holder.phase == "surrendered"
