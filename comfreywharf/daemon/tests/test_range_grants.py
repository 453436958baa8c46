"""Grants of ranges that requests wait for, and releases that next owners wait for."""

from types import SimpleNamespace

import gevent
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.range_grants import Orders, RangeGrants
from comfreywharf.daemon.requests.load import _RESULTS
from comfreywharf.load.admission import Result
from comfreywharf.ownership.holds import GrantAnswer, HoldTerms
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.records import KEY_SPACE, Slice
from comfreywharf.routing import Reason

SLICE = Slice(start=0, end=KEY_SPACE, owner="a", epoch=5)


class SlowOrders(Orders):
    """Accepts a grant after 30 ms."""

    def __init__(self):
        self.granted = 0

    def connect_to_process(self):
        return 1

    def grant(self, process, numbers, order):
        gevent.sleep(0.03)
        self.granted += 1
        return GrantAnswer.TAKEN

    def release(self, first, last, fence, timeout_s):
        return ""


def make_grants(orders):
    """Return the grants of a node that may serve one slice."""
    until_s = boottime_s() + 60
    table = SimpleNamespace(
        serving=lambda state, now_s: [("booking", SLICE, 10, until_s)]
    )
    node = SimpleNamespace(
        backend=SimpleNamespace(
            orders=orders, announcement=SimpleNamespace(instance="i-1")
        ),
        leases=SimpleNamespace(table=table),
        follower=SimpleNamespace(state=None),
        report=lambda *args, **fields: None,
    )
    terms = HoldTerms(lease_s=1.5, longest_s=10.0)
    book = ListedHoldBook.of_new_process(terms, boottime_s())
    return RangeGrants(node, book, 1.0)


def test_all_requests_wait_for_a_grant_in_flight():
    """Guards against requests that the server refuses because their grant is late.

    Several requests for a new slice arrive at the same time. The first one sends the
    grant, and the others have to wait for its answer as well. Quick refusals would make
    the server appear fast.
    """
    orders = SlowOrders()
    grants = make_grants(orders)
    right = SimpleNamespace(service="booking", key_hash=1, slice_start=0, fence=10)
    held = []

    def ensure_grant():
        grants.ensure(right, boottime_s())
        held.append(grants.book.holds(("booking", 0), 10, boottime_s()))

    gevent.joinall([gevent.spawn(ensure_grant) for _ in range(5)])
    assert held == [True] * 5
    assert orders.granted == 1


class BlockedOrders(SlowOrders):
    """Leaves a grant unanswered until ``may_answer`` is set."""

    def __init__(self):
        super().__init__()
        self.may_answer = Event()

    def grant(self, process, numbers, order):
        self.may_answer.wait()
        return GrantAnswer.LOST


def test_release_ends_after_the_server_was_replaced_during_a_grant():
    """Guards against a next owner that waits for a release forever.

    A grant is in flight when another incarnation replaces the server. If the answer to
    the earlier incarnation's grant is dropped, the grant counts as in flight forever,
    and a release of the slice waits for it.
    """
    orders = BlockedOrders()
    grants = make_grants(orders)
    grants.book.unknown_until_s = float("-inf")
    tasks = grants.push()
    gevent.idle()
    grants.backend_changed()
    grants._node.backend = SimpleNamespace(
        orders=SlowOrders(), announcement=SimpleNamespace(instance="i-2")
    )
    orders.may_answer.set()
    gevent.joinall(tasks)
    assert not grants.book.awaits_answer("booking", SLICE.start, SLICE.end)


def test_release_of_an_earlier_fence_ends_after_a_newer_grant():
    """Guards against a server that drops keys shortly after they were granted.

    A slice is to be released, and the server doesn't answer. The slice comes back and
    is granted under a higher fence. The pending release must not be tried again.
    """
    grants = make_grants(SlowOrders())
    slice_range = ("booking", SLICE.start, SLICE.end)
    gevent.joinall(grants.push())
    assert grants._may_be_held(slice_range, 10)
    grants._node.leases.table.serving = lambda state, now_s: [
        ("booking", SLICE, 20, now_s + 60)
    ]
    gevent.joinall(grants.push())
    assert not grants._may_be_held(slice_range, 10)
    assert grants._may_be_held(slice_range, 20)


def test_refusal_without_a_grant_is_ignored_by_admission():
    """Guards against refusals that shorten the service times of admission.

    A server refuses requests without a grant in 1 ms each. If these count as completed
    requests, admission expects answers within 12 ms and queues far too many requests.
    """
    assert _RESULTS[Reason.NOT_YET_OWNER] is Result.UNUSED
