"""Tests of heartbeats that are late, repeated or from an earlier incarnation."""

import pytest

from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.membership.instances import (
    MAX_REPORT_DELAY_S,
    HeartbeatKind,
    InstanceTracker,
)

NOW_S = 100.0
A, B = ServerIncarnation("a"), ServerIncarnation("b")


def test_reports_in_order_from_the_first_one_to_leaving():
    """Each kind of report that arrives in order is recognized."""
    instances = InstanceTracker()
    assert instances.receive_heartbeat(A, 1, False, NOW_S) is HeartbeatKind.FIRST
    assert instances.receive_heartbeat(A, 2, False, NOW_S) is HeartbeatKind.SAME
    assert instances.receive_heartbeat(A, 3, True, NOW_S) is HeartbeatKind.LEAVES
    assert instances.receive_heartbeat(A, 4, True, NOW_S) is HeartbeatKind.LEAVING
    assert instances.receive_heartbeat(A, 4, True, NOW_S) is HeartbeatKind.STALE


def test_a_late_heartbeat_does_not_undo_leaving():
    """Guard against new work for a leaving server.

    A "ready" report is delayed and arrives after "draining", so that the last
    report to arrive isn't the newest one.
    """
    instances = InstanceTracker()
    instances.receive_heartbeat(A, 1, False, NOW_S)
    instances.receive_heartbeat(A, 3, True, NOW_S)
    assert instances.receive_heartbeat(A, 2, False, NOW_S) is HeartbeatKind.STALE
    assert instances.leaving


def test_an_earlier_incarnation_does_not_become_current_again():
    """Guard against answering each request with 421 for as long as the node runs.

    Server a crashes, b registers at its address, and then a late heartbeat of a
    arrives, so that the last server to report isn't the current one.
    """
    instances = InstanceTracker()
    instances.receive_heartbeat(A, 5, False, NOW_S)
    assert instances.receive_heartbeat(B, 1, False, NOW_S) is HeartbeatKind.RIVAL
    instances.set_current(B, 1, NOW_S)
    assert instances.receive_heartbeat(A, 6, False, NOW_S) is HeartbeatKind.STALE
    assert instances.current == B


def test_a_server_that_only_deregisters_leaves_as_well():
    """Some servers never report that they drain."""
    instances = InstanceTracker()
    instances.receive_heartbeat(A, 1, False, NOW_S)
    assert instances.record_leaving(A, 1.0) is HeartbeatKind.LEAVES
    assert instances.record_leaving(A, 1.0) is HeartbeatKind.STALE
    assert instances.record_leaving(B, 1.0) is HeartbeatKind.STALE


def test_an_ended_incarnation_does_not_become_current_again():
    """A heartbeat that was in transit when the server crashed changes nothing."""
    instances = InstanceTracker()
    instances.receive_heartbeat(A, 1, False, NOW_S)
    instances.end_current()
    assert instances.receive_heartbeat(A, 2, False, NOW_S) is HeartbeatKind.STALE
    assert instances.receive_heartbeat(B, 1, False, NOW_S) is HeartbeatKind.FIRST


FIRST, SECOND = ServerIncarnation("a", 1_000), ServerIncarnation("a", 2_000)


def tracker_after_restart(sequence=1):
    """Return an `InstanceTracker` after a server's first and second incarnation."""
    instances = InstanceTracker()
    instances.receive_heartbeat(FIRST, 900, False, NOW_S)
    assert (
        instances.receive_heartbeat(SECOND, sequence, False, NOW_S + 1)
        is HeartbeatKind.RIVAL
    )
    instances.set_current(SECOND, sequence, NOW_S + 1)
    return instances


def test_reports_of_a_second_incarnation_count_from_the_first_one_on():
    """Guard against new work for a leaving server that had restarted.

    The second incarnation numbers its reports from 1 and reports with the fifth
    that it drains, while the first one had reached 900. Its reports must not be
    considered late ones of the first incarnation.
    """
    instances = tracker_after_restart()
    assert (
        instances.receive_heartbeat(SECOND, 5, True, NOW_S + 2) is HeartbeatKind.LEAVES
    )


@pytest.mark.parametrize("leaving", [False, True])
def test_a_late_report_of_the_first_incarnation_changes_nothing(leaving):
    """Guard against taking a server that has just restarted out of service.

    The last report of its first incarnation is delayed, arrives after the first
    report of the second one, and has a higher sequence number.
    """
    instances = tracker_after_restart()
    assert (
        instances.receive_heartbeat(FIRST, 901, leaving, NOW_S + 2)
        is HeartbeatKind.STALE
    )
    assert (instances.current, instances.leaving) == (SECOND, False)


def test_a_late_report_of_an_unseen_earlier_incarnation_changes_nothing():
    """The node started after that incarnation had ended."""
    instances = InstanceTracker()
    instances.receive_heartbeat(SECOND, 1, False, NOW_S)
    assert (
        instances.receive_heartbeat(FIRST, 901, False, NOW_S + 1) is HeartbeatKind.STALE
    )


def test_a_late_deregistration_of_the_first_incarnation_changes_nothing():
    """Without a start, it applies to the current incarnation with that id."""
    instances = tracker_after_restart()
    assert instances.record_leaving(FIRST, 1.0) is HeartbeatKind.STALE
    assert instances.record_leaving(ServerIncarnation("a"), 1.0) is HeartbeatKind.LEAVES


def test_an_earlier_start_is_accepted_once_no_report_can_be_that_late():
    """Guard against never using a server again whose clock was set back.

    The server restarts under its id after its machine's clock was set back, so
    that its start is before that of its earlier incarnation.
    """
    instances = tracker_after_restart()
    back = ServerIncarnation("a", 500)
    assert (
        instances.receive_heartbeat(back, 1, False, NOW_S + MAX_REPORT_DELAY_S)
        is HeartbeatKind.STALE
    )
    late_s = NOW_S + 1 + MAX_REPORT_DELAY_S
    assert instances.receive_heartbeat(back, 2, False, late_s) is HeartbeatKind.RIVAL


def test_equal_starts_are_one_incarnation():
    """Its reports are ordered by their sequence numbers alone."""
    instances = tracker_after_restart(sequence=10)
    assert (
        instances.receive_heartbeat(ServerIncarnation("a", 2_000), 10, False, NOW_S + 2)
        is HeartbeatKind.STALE
    )
    assert (
        instances.receive_heartbeat(ServerIncarnation("a", 2_000), 11, False, NOW_S + 2)
        is HeartbeatKind.SAME
    )


def test_a_report_without_the_usual_start_is_ignored():
    """Such a report is from another sender, or damaged."""
    instances = tracker_after_restart()
    assert (
        instances.receive_heartbeat(ServerIncarnation("a"), 9, True, NOW_S + 2)
        is HeartbeatKind.STALE
    )
    assert not instances.leaving
