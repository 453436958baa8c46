"""Tests of heartbeats that are late, repeated or from an earlier incarnation."""

import pytest

from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.membership.instances import LATEST_REPORT_S, Instances, Word

NOW_S = 100.0
A, B = ServerIncarnation("a"), ServerIncarnation("b")


def test_a_life_from_first_word_to_leaving():
    """Reports that arrive in order."""
    instances = Instances()
    assert instances.hear(A, 1, False, NOW_S) is Word.FIRST
    assert instances.hear(A, 2, False, NOW_S) is Word.SAME
    assert instances.hear(A, 3, True, NOW_S) is Word.LEAVES
    assert instances.hear(A, 4, True, NOW_S) is Word.LEAVING
    assert instances.hear(A, 4, True, NOW_S) is Word.STALE


def test_a_late_heartbeat_doesnt_undo_a_leaving():
    """Guard against new work for a leaving server.

    A "ready" report is delayed and arrives after "draining", so that the last
    report to arrive isn't the newest one.
    """
    instances = Instances()
    instances.hear(A, 1, False, NOW_S)
    instances.hear(A, 3, True, NOW_S)
    assert instances.hear(A, 2, False, NOW_S) is Word.STALE
    assert instances.leaving


def test_an_earlier_life_isnt_revived():
    """Guard against answering each request with 421 for as long as the node runs.

    Server a crashes, b registers at its address, and then a late heartbeat of a
    arrives, so that the last server to report isn't the current one.
    """
    instances = Instances()
    instances.hear(A, 5, False, NOW_S)
    assert instances.hear(B, 1, False, NOW_S) is Word.RIVAL
    instances.begin(B, 1, NOW_S)
    assert instances.hear(A, 6, False, NOW_S) is Word.STALE
    assert instances.living == B


def test_a_server_that_only_deregisters_leaves_as_well():
    """Some servers never report that they drain."""
    instances = Instances()
    instances.hear(A, 1, False, NOW_S)
    assert instances.leave(A) is Word.LEAVES
    assert instances.leave(A) is Word.STALE
    assert instances.leave(B) is Word.STALE


def test_after_its_end_an_instance_is_gone_for_good():
    """A heartbeat that was in transit when the server crashed changes nothing."""
    instances = Instances()
    instances.hear(A, 1, False, NOW_S)
    instances.end()
    assert instances.hear(A, 2, False, NOW_S) is Word.STALE
    assert instances.hear(B, 1, False, NOW_S) is Word.FIRST


FIRST, SECOND = ServerIncarnation("a", 1_000), ServerIncarnation("a", 2_000)


def second_life(sequence=1):
    """Return `Instances` that saw a server's first and second incarnation."""
    instances = Instances()
    instances.hear(FIRST, 900, False, NOW_S)
    assert instances.hear(SECOND, sequence, False, NOW_S + 1) is Word.RIVAL
    instances.begin(SECOND, sequence, NOW_S + 1)
    return instances


def test_a_second_life_under_one_id_is_heard_from_its_first_report_on():
    """Guard against new work for a leaving server that had restarted.

    The second incarnation numbers its reports from 1 and reports with the fifth
    that it drains, while the first one had reached 900. Its reports must not be
    considered late ones of the first incarnation.
    """
    instances = second_life()
    assert instances.hear(SECOND, 5, True, NOW_S + 2) is Word.LEAVES


@pytest.mark.parametrize("leaving", [False, True])
def test_a_late_report_of_the_first_life_changes_nothing(leaving):
    """Guard against taking a server that has just restarted out of service.

    The last report of its first incarnation is delayed, arrives after the first
    report of the second one, and has a higher sequence number.
    """
    instances = second_life()
    assert instances.hear(FIRST, 901, leaving, NOW_S + 2) is Word.STALE
    assert (instances.living, instances.leaving) == (SECOND, False)


def test_a_late_report_of_a_life_that_was_never_heard_changes_nothing():
    """The node started after that incarnation had ended."""
    instances = Instances()
    instances.hear(SECOND, 1, False, NOW_S)
    assert instances.hear(FIRST, 901, False, NOW_S + 1) is Word.STALE


def test_a_late_deregistration_of_the_first_life_changes_nothing():
    """Without a start, it applies to the current incarnation with that id."""
    instances = second_life()
    assert instances.leave(FIRST) is Word.STALE
    assert instances.leave(ServerIncarnation("a")) is Word.LEAVES


def test_a_start_that_lies_behind_is_believed_once_no_report_can_be_that_late():
    """Guard against never using a server again whose clock was set back.

    The server restarts under its id after its machine's clock was set back, so
    that its start is before that of its earlier incarnation.
    """
    instances = second_life()
    back = ServerIncarnation("a", 500)
    assert instances.hear(back, 1, False, NOW_S + LATEST_REPORT_S) is Word.STALE
    late_s = NOW_S + 1 + LATEST_REPORT_S
    assert instances.hear(back, 2, False, late_s) is Word.RIVAL


def test_equal_starts_are_one_life():
    """Its reports are ordered by their sequence numbers alone."""
    instances = second_life(sequence=10)
    assert (
        instances.hear(ServerIncarnation("a", 2_000), 10, False, NOW_S + 2)
        is Word.STALE
    )
    assert (
        instances.hear(ServerIncarnation("a", 2_000), 11, False, NOW_S + 2) is Word.SAME
    )


def test_a_report_without_the_start_that_its_life_gives_is_of_nobody():
    """Such a report is from another sender, or damaged."""
    instances = second_life()
    assert instances.hear(ServerIncarnation("a"), 9, True, NOW_S + 2) is Word.STALE
    assert not instances.leaving
