"""Tests of which absent members are excluded, and when they are probed."""

from types import SimpleNamespace

from comfreywharf.load.absences import Absences

MEMBERS = [SimpleNamespace(node_id=name) for name in "abc"]


def names(members):
    return [member.node_id for member in members]


def test_absent_members_are_excluded_even_if_they_are_a_majority():
    """Two lost members are excluded although they are more than half of three.

    Guards against requests that are sent to two lost machines and refused while the
    third server has idle slots. Ejection excludes at most half of the members, here
    one; the third server was ejected because a request had reached it just before
    it was up.
    """
    absences = Absences()
    for name in "abc":
        absences.record_absent(name, 1.0)
    assert names(absences.usable(MEMBERS, 1.1)) == []
    assert names(absences.usable(MEMBERS, 1.3)) == ["a"]
    absences.record_sent("a")
    assert names(absences.usable(MEMBERS, 1.3)) == ["b"]
    absences.record_sent("b")
    absences.record_sent("c")
    absences.record_present("c", 1.31)
    absences.record_absent("a", 1.6)
    absences.record_absent("b", 1.6)
    assert names(absences.usable(MEMBERS, 1.7)) == ["c"]


def test_an_absent_member_is_probed_less_and_less_often():
    """The pause between probes of a lost member grows, and each is one request.

    Guards against frequent requests that wait for a lost machine to time out.
    """
    absences = Absences()
    now_s, probes = 0.0, 0
    absences.record_absent("a", now_s)
    while now_s < 20:
        now_s += 0.05
        if names(absences.usable(MEMBERS, now_s)) == ["a"]:
            probes += 1
            absences.record_sent("a")
            absences.record_absent("a", now_s)
    assert probes <= 8


def test_a_member_that_answers_its_probe_is_used_at_once():
    """A server that restarted isn't excluded because of its earlier absence."""
    absences = Absences()
    absences.record_absent("a", 0.0)
    absences.record_sent("a")
    absences.record_present("a", 0.31)
    assert names(absences.usable(MEMBERS, 0.32)) == ["a", "b", "c"]


def test_a_second_failure_from_before_a_loss_doesnt_extend_the_pause():
    """A second failure of a request sent before the loss doesn't extend the pause."""
    absences = Absences()
    absences.record_absent("a", 0.0)
    absences.record_absent("a", 0.1)
    assert names(absences.usable(MEMBERS, 0.26)) == ["a"]
