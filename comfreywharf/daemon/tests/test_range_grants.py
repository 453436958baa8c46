"""Grants as the request path waits for them."""

from types import SimpleNamespace

import gevent
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.owning.range_grants import Orders, RangeGrants
from comfreywharf.daemon.requests.load import _RESULTS
from comfreywharf.load.admission import Result
from comfreywharf.ownership.holds import GrantAnswer, HoldTerms
from comfreywharf.ownership.listed_holds import ListedHoldBook
from comfreywharf.records import KEY_SPACE, Slice
from comfreywharf.routing import Reason

PIECE = Slice(start=0, end=KEY_SPACE, owner="a", epoch=5)


class SlowOrders(Orders):
    """Answers a grant after a moment."""

    def __init__(self):
        self.granted = 0

    def reach(self):
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
        serving=lambda state, now_s: [("booking", PIECE, 10, until_s)]
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


def test_every_request_waits_for_a_grant_that_another_one_asked_for():
    """Symptom: requests are refused by their own server, and it looks fast.
    Sequence: a slice comes, and several requests for it at the same moment; the
    first asks for the grant, the others go on without it.
    Cause: a grant that was under way wasn't waited for."""
    orders = SlowOrders()
    grants = make_grants(orders)
    right = SimpleNamespace(service="booking", key_hash=1, slice_start=0, fence=10)
    held = []

    def ask():
        grants.ensure(right, boottime_s())
        held.append(grants.book.holds(("booking", 0), 10, boottime_s()))

    gevent.joinall([gevent.spawn(ask) for _ in range(5)])
    assert held == [True] * 5
    assert orders.granted == 1


class HeldUpOrders(SlowOrders):
    """Answers a grant only once it may."""

    def __init__(self):
        super().__init__()
        self.may_answer = Event()

    def grant(self, process, numbers, order):
        self.may_answer.wait()
        return GrantAnswer.LOST


def test_a_release_ends_though_the_server_was_replaced_during_a_grant():
    """Symptom: a slice's next owner waits for its release for good.
    Sequence: a grant is under way, another life takes the server's place, the grant's
    answer comes, the planner moves the slice.
    Cause: an answer for the earlier life was dropped, so that a grant of the slice
    counted as under way for ever, which a release waits for."""
    orders = HeldUpOrders()
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
    assert not grants.book.awaits_answer("booking", PIECE.start, PIECE.end)


def test_an_earlier_lifes_release_ends_once_the_keys_are_granted_anew():
    """Symptom: a server drops keys that it was granted a moment ago.
    Sequence: a slice is to be released and the server doesn't answer; the slice comes
    back and is granted under a higher fence; the release is tried once more.
    Cause: it was tried for as long as the slice was held under any fence."""
    grants = make_grants(SlowOrders())
    place = ("booking", PIECE.start, PIECE.end)
    gevent.joinall(grants.push())
    assert grants._may_be_held(place, 10)
    grants._node.leases.table.serving = lambda state, now_s: [
        ("booking", PIECE, 20, now_s + 60)
    ]
    gevent.joinall(grants.push())
    assert not grants._may_be_held(place, 10)
    assert grants._may_be_held(place, 20)


def test_a_refusal_for_want_of_a_grant_teaches_admission_nothing():
    """Symptom: admission expects answers within 12 ms, and queues far too many.
    Sequence: a server refuses requests whose grant hasn't come, in 1 ms each.
    Cause: their time counted as that of requests which it had done."""
    assert _RESULTS[Reason.NOT_YET_OWNER] is Result.UNUSED
