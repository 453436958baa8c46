"""Grants that a backend server refuses because it has received a higher fence."""

from types import SimpleNamespace

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.range_grants import Orders, RangeGrants
from comfreywharf.daemon.servers.backend import Announcement
from comfreywharf.ownership.holds import GrantAnswer, HoldTerms
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.records import KEY_SPACE, Slice

SLICE = Slice(start=0, end=KEY_SPACE, owner="a", epoch=5)
TERMS = HoldTerms(lease_s=1.5, longest_s=10.0)


class FixedAnswerOrders(Orders):
    """Gives each grant the same answer, and records the requested fences."""

    def __init__(self, answer=GrantAnswer.TAKEN):
        self.answer = answer
        self.fences = []

    def connect_to_process(self):
        return 1

    def grant(self, process, numbers, order):
        self.fences.append(order.fence)
        return self.answer

    def release(self, first, last, fence, timeout_s):
        return ""


def backend(instance, port, orders):
    announcement = Announcement(
        name="s",
        service="booking",
        host="127.0.0.1",
        port=port,
        slots=1,
        connections=1,
        checks_fences=True,
        instance=instance,
    )
    return SimpleNamespace(orders=orders, announcement=announcement)


def serve(grants, fence, lease_s=1.5):
    """Let the node serve its slice under a fence for one lease from now on."""
    until_s = boottime_s() + lease_s
    grants._node.leases.table = SimpleNamespace(
        serving=lambda state, now_s: [("booking", SLICE, fence, until_s)]
    )


def make_grants(server):
    """Return the grants of a node with a server; its reacquisitions are recorded."""
    node = SimpleNamespace(
        backend=server,
        leases=SimpleNamespace(reacquired=[]),
        follower=SimpleNamespace(state=None),
        report=lambda *args, **fields: None,
    )
    node.leases.reacquire = node.leases.reacquired.append
    return RangeGrants(node, ListedHoldBook.of_new_process(TERMS, boottime_s()), 1.0)


def test_refusal_of_a_superseded_fence_keeps_the_newer_lease():
    """Guards against giving up a lease that has just been reacquired.

    An order is delayed, and the slice's fence grows. An order with the higher fence is
    accepted. Then the first order is sent and refused as outdated, which says nothing
    about the higher fence.
    """
    grants = make_grants(backend("i-1", 1, FixedAnswerOrders()))
    served = [("booking", SLICE, 10, boottime_s() + 1.5)]
    (late,) = grants.book.due_orders(served, boottime_s())
    serve(grants, 20)
    gevent.joinall(grants.push())
    orders = grants._node.backend.orders
    orders.answer = GrantAnswer.OUTDATED
    grants._send(grants._node.backend, 1, late)
    assert orders.fences == [20, 10]
    assert grants._node.leases.reacquired == []


def test_refusal_of_the_current_fence_reacquires_the_lease():
    grants = make_grants(backend("i-1", 1, FixedAnswerOrders(GrantAnswer.OUTDATED)))
    serve(grants, 10)
    gevent.joinall(grants.push())
    assert grants._node.leases.reacquired == ["grant outdated"]
    serve(grants, 20)
    gevent.joinall(grants.push())
    assert grants._node.leases.reacquired == ["grant outdated"] * 2


def test_refusal_keeps_a_newer_lease_before_its_first_grant():
    """Guards against giving up a newer lease before its first grant is sent.

    An order is sent late and refused, while the slice is already served under a higher
    fence. No order has carried that fence yet, so that the book doesn't have it.
    """
    grants = make_grants(backend("i-1", 1, FixedAnswerOrders(GrantAnswer.OUTDATED)))
    served = [("booking", SLICE, 10, boottime_s() + 1.5)]
    (late,) = grants.book.due_orders(served, boottime_s())
    serve(grants, 20)
    grants._send(grants._node.backend, 1, late)
    assert grants._node.leases.reacquired == []


def test_two_refusals_reacquire_the_lease_once():
    """Guards against keys without a server for longer than one renewal round.

    Two orders under one lease are refused, the second one while the lease is being
    reacquired and nothing is served. The second refusal must not give up the lease
    whose acquisition the first one started.
    """
    grants = make_grants(backend("i-1", 1, FixedAnswerOrders(GrantAnswer.OUTDATED)))
    until_s = boottime_s() + 1.5
    other = Slice(start=0, end=KEY_SPACE, owner="a", epoch=6)
    served = [("booking", SLICE, 10, until_s), ("lookup", other, 12, until_s)]
    orders = grants.book.due_orders(served, boottime_s())
    serve_nothing(grants)
    for order in orders:
        grants._send(grants._node.backend, 1, order)
    assert grants._node.leases.reacquired == ["grant outdated"]


def serve_nothing(grants):
    grants._node.leases.table = SimpleNamespace(serving=lambda state, now_s: [])


def test_refusal_of_a_superseded_fence_keeps_an_expired_lease():
    """Guards against a needless record of a new lease in the log.

    The newer lease expires before the delayed order is refused; a renewal alone would
    restore it. Nothing is served then, so that only the orders show which fence was in
    use.
    """
    orders = FixedAnswerOrders()
    grants = make_grants(backend("i-1", 1, orders))
    served = [("booking", SLICE, 10, boottime_s() + 1.5)]
    (late,) = grants.book.due_orders(served, boottime_s())
    serve(grants, 20)
    gevent.joinall(grants.push())
    serve_nothing(grants)
    orders.answer = GrantAnswer.OUTDATED
    grants._send(grants._node.backend, 1, late)
    assert grants._node.leases.reacquired == []
