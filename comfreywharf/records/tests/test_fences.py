"""Tests that fences increase with each incarnation of a backend server."""

from comfreywharf.records import ClusterState, Slice
from comfreywharf.records.tests.builders import make_member

SLICE = Slice(start=0, end=10, owner="owner", standby="standby", epoch=5)


def takeover_fence(owner_lease, standby_lease):
    members = {
        "owner": make_member("owner", lease_epoch=owner_lease),
        "standby": make_member("standby", lease_epoch=standby_lease),
    }
    return ClusterState(members=members).takeover_fence(SLICE)


def test_a_standby_takes_over_under_a_higher_fence_after_each_loss_of_its_server():
    """Guard against granting keys to two incarnations of a server under one fence.

    A standby takes keys over; before its record is written its server crashes and
    restarts, and the standby takes the same keys over again. The fence of a
    takeover must therefore not depend on the owner's lease alone.
    """
    before = takeover_fence(owner_lease=7, standby_lease=9)
    after = takeover_fence(owner_lease=7, standby_lease=30)
    assert before < after


def test_a_takeover_fence_is_between_the_owners_and_any_later_records():
    """The fence is above the owner's, and below that of any later record."""
    owners = 2 * 7
    assert owners < takeover_fence(owner_lease=7, standby_lease=-1) < 2 * 8
    assert owners < takeover_fence(owner_lease=7, standby_lease=9) < 2 * 10
