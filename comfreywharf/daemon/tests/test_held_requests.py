"""Requests that are held at their owner, and the events that release them."""

import gevent
import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.node import Node
from comfreywharf.daemon.ownership import leases as leases_module
from comfreywharf.daemon.ports import OwnPorts
from comfreywharf.daemon.tests.builders import node_settings
from comfreywharf.ownership import Grant, Right
from comfreywharf.ownership.holder import OwnLease
from comfreywharf.routing import Reason

SETTINGS = node_settings()


@pytest.fixture
def leases(monkeypatch):
    monkeypatch.setattr(leases_module, "RELEASE_HOLD_S", 60.0)
    leases = Node(SETTINGS, OwnPorts(SETTINGS)).leases
    monkeypatch.setattr(leases.holder, "owns", lambda now_s: True)
    return leases


def test_a_request_is_held_until_the_witnesses_grant_the_fence(leases, monkeypatch):
    """Guards against refusals, or gaps of 250 ms, after each split of a slice.

    A request arrives while the new fence of its slice waits for a renewal. It has to
    be woken once the witnesses have granted the renewal.
    """
    monkeypatch.setattr(
        leases, "_query_right", lambda *args: right_once_granted(leases)
    )
    leases.holder.use_witnesses([("w",)])
    monkeypatch.setattr(leases, "_call_witness", lambda *args: Grant(granted=True))
    held = gevent.spawn(leases.acquire, "booking", b"", boottime_s(), 30.0)
    gevent.sleep(0)
    assert not held.ready()
    own = OwnLease(lease_epoch=5)
    renewal = leases.holder.renewal(own, boottime_s(), boottime_s())
    leases._renew("w", renewal)
    held.join(5.0)
    assert held.ready()
    assert held.value.reason is None


def right_once_granted(leases):
    if leases.holder.lease.acknowledged_epoch() >= 5:
        return Right(service="booking")
    return Right(reason=Reason.NOT_YET_OWNER)


@pytest.mark.parametrize("fenced", [True, False])
def test_a_late_answer_of_a_server_that_checks_fences_is_forwarded(leases, fenced):
    """Guards against an unknown outcome that is reported for a completed booking.

    The server's answer arrives just after the request's deadline. Only for servers that
    don't check fences may it be dropped, since the node may have been paused for longer
    than its lease.
    """
    leases._node.ports.fenced = fenced
    right = Right(deadline_s=10.0)
    assert leases.may_forward_answer(right, 9.9)
    assert leases.may_forward_answer(right, 10.1) is fenced
