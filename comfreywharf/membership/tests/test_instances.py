"""Heartbeats that come late, twice, or of an instance that has ended."""

import pytest

from comfreywharf.membership.instances import LATEST_REPORT_S, Instances, Word
from comfreywharf.membership.lives import Life

NOW_S = 100.0
A, B = Life("a"), Life("b")


def test_a_life_from_first_word_to_leaving():
    """The usual order."""
    instances = Instances()
    assert instances.hear(A, 1, False, NOW_S) is Word.FIRST
    assert instances.hear(A, 2, False, NOW_S) is Word.SAME
    assert instances.hear(A, 3, True, NOW_S) is Word.LEAVES
    assert instances.hear(A, 4, True, NOW_S) is Word.LEAVING
    assert instances.hear(A, 4, True, NOW_S) is Word.STALE


def test_a_late_heartbeat_doesnt_undo_a_leaving():
    """Symptom: a leaving server gets new work again.
    Sequence: "ready" is held up and comes behind "draining".
    Cause: the state of the last heartbeat to arrive counted."""
    instances = Instances()
    instances.hear(A, 1, False, NOW_S)
    instances.hear(A, 3, True, NOW_S)
    assert instances.hear(A, 2, False, NOW_S) is Word.STALE
    assert instances.leaving


def test_an_earlier_life_isnt_revived():
    """Symptom: each request is answered by 421, for as long as the node runs.
    Sequence: a crashes, b registers at its address, a heartbeat of a arrives.
    Cause: the last instance to be heard of counted as the living one."""
    instances = Instances()
    instances.hear(A, 5, False, NOW_S)
    assert instances.hear(B, 1, False, NOW_S) is Word.RIVAL
    instances.begin(B, 1, NOW_S)
    assert instances.hear(A, 6, False, NOW_S) is Word.STALE
    assert instances.living == B


def test_a_server_that_only_deregisters_leaves_as_well():
    """Some never say that they drain."""
    instances = Instances()
    instances.hear(A, 1, False, NOW_S)
    assert instances.leave(A) is Word.LEAVES
    assert instances.leave(A) is Word.STALE
    assert instances.leave(B) is Word.STALE


def test_after_its_end_an_instance_is_gone_for_good():
    """A heartbeat that was on its way when the server died changes nothing."""
    instances = Instances()
    instances.hear(A, 1, False, NOW_S)
    instances.end()
    assert instances.hear(A, 2, False, NOW_S) is Word.STALE
    assert instances.hear(B, 1, False, NOW_S) is Word.FIRST


FIRST, SECOND = Life("a", 1_000), Life("a", 2_000)


def second_life(sequence=1):
    """Return what knows of a server's first life, and then of its second."""
    instances = Instances()
    instances.hear(FIRST, 900, False, NOW_S)
    assert instances.hear(SECOND, sequence, False, NOW_S + 1) is Word.RIVAL
    instances.begin(SECOND, sequence, NOW_S + 1)
    return instances


def test_a_second_life_under_one_id_is_heard_from_its_first_report_on():
    """Symptom: a server that leaves gets new work until it is gone.
    Sequence: it was started again under its id, and counts its reports from 1; it
    says that it drains by its fifth, while the first life had come to 900.
    Cause: its reports passed for late ones of the first."""
    instances = second_life()
    assert instances.hear(SECOND, 5, True, NOW_S + 2) is Word.LEAVES


@pytest.mark.parametrize("leaving", [False, True])
def test_a_late_report_of_the_first_life_changes_nothing(leaving):
    """Symptom: a server that has just begun is taken out of service.
    Sequence: its first life's last report was held up and comes behind its own.
    Cause: the two were told apart by a number that only grew in the first."""
    instances = second_life()
    assert instances.hear(FIRST, 901, leaving, NOW_S + 2) is Word.STALE
    assert (instances.living, instances.leaving) == (SECOND, False)


def test_a_late_report_of_a_life_that_was_never_heard_changes_nothing():
    """The node began after that life had ended."""
    instances = Instances()
    instances.hear(SECOND, 1, False, NOW_S)
    assert instances.hear(FIRST, 901, False, NOW_S + 1) is Word.STALE


def test_a_late_deregistration_of_the_first_life_changes_nothing():
    """Unless it names no start: then it is of the life that has the id."""
    instances = second_life()
    assert instances.leave(FIRST) is Word.STALE
    assert instances.leave(Life("a")) is Word.LEAVES


def test_a_start_that_lies_behind_is_believed_once_no_report_can_be_that_late():
    """Symptom: a server is never used again. Sequence: its machine's clock is set
    back, and it is started again under its id. Cause: it passes for its past."""
    instances = second_life()
    back = Life("a", 500)
    assert instances.hear(back, 1, False, NOW_S + LATEST_REPORT_S) is Word.STALE
    late_s = NOW_S + 1 + LATEST_REPORT_S
    assert instances.hear(back, 2, False, late_s) is Word.RIVAL


def test_equal_starts_are_one_life():
    """Its reports are told apart by their numbers alone."""
    instances = second_life(sequence=10)
    assert instances.hear(Life("a", 2_000), 10, False, NOW_S + 2) is Word.STALE
    assert instances.hear(Life("a", 2_000), 11, False, NOW_S + 2) is Word.SAME


def test_a_report_without_the_start_that_its_life_gives_is_of_nobody():
    """Another writer's, or a damaged one."""
    instances = second_life()
    assert instances.hear(Life("a"), 9, True, NOW_S + 2) is Word.STALE
    assert not instances.leaving
