"""The members among which a node chooses for a service not divided by key."""

from types import SimpleNamespace

import attrs
import pytest

from comfreywharf.daemon.requests import members as members_module
from comfreywharf.daemon.requests.members import Members
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.load import TwoChoices
from comfreywharf.load.choice import ChoiceTerms
from comfreywharf.load.coldstart import ColdTerms
from comfreywharf.membership.evacuations import Evacuations
from comfreywharf.records.tests.builders import make_member
from comfreywharf.routes import RoutedService, RouteTable
from comfreywharf.routing import Reason
from comfreywharf.transport.gen.ttypes import PassedLoad, ServerLoad

COLD_TERMS = ColdTerms(requests_per_s=4.0)
COLD_START_S = 3.0


def make_members(*entries, cold_terms=None, make_chooser=TwoChoices):
    """Return the `Members` of a node that has folded these entries."""
    state = SimpleNamespace(members={entry.node_id: entry for entry in entries})
    service = RoutedService(name="files", cold_start_s=COLD_START_S)
    return Members(
        SimpleNamespace(
            settings=SimpleNamespace(node_id="me", failure_domain="z"),
            incarnation=1,
            follower=SimpleNamespace(state=state),
            evacuations=Evacuations(bound_s=5.0),
            routes=SimpleNamespace(table=RouteTable(services=(service,))),
            ports=SimpleNamespace(
                make_chooser=make_chooser, cold_terms=lambda service: cold_terms
            ),
        )
    )


def entry(node_id, service, host, announced_offset):
    return attrs.evolve(
        make_member(node_id),
        service=service,
        host=host,
        announced_offset=announced_offset,
    )


def test_a_member_whose_address_was_reassigned_isnt_chosen():
    """Guards against requests that are refused with no-backend for eighteen seconds.

    A machine is lost, and its address is assigned to a machine of another service. The
    lost one is still a member, but the node at its address has no server of the
    service.
    """
    members = make_members(
        entry("lost", "files", "10.0.0.4", 5),
        entry("other", "booking", "10.0.0.4", 9),
        entry("well", "files", "10.0.0.5", 6),
    )
    assert {members.choose("files") for _ in range(20)} == {"well"}
    assert members.designated("files", "suspect") == "well"


def chosen_fraction(members, node_id, count=2000):
    """Return how often a member is chosen, of ``count`` times."""
    return sum(members.choose("files") == node_id for _ in range(count)) / count


def test_a_server_that_its_node_reports_as_cold_is_chosen_for_what_it_bears():
    """Guards against a cold server that gets as many requests as a warm one."""
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("abc")]
    members = make_members(*entries, cold_terms=COLD_TERMS)
    members.choose("files")
    reply = refusal(Reason.BACKEND_COLD)
    reply.cold_ms = 60_000
    members.record_outcome(members.record_sent("files", "a"), reply)
    # Two warm servers with one slot of 0.1 s each bear 20 requests a second.
    assert 0.1 < chosen_fraction(members, "a") < 0.25


def test_a_server_that_joins_is_taken_for_cold_before_its_first_answer(monkeypatch):
    """Guards against a first request of each node to a server that has just joined."""
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("bc")]
    members = make_members(*entries, cold_terms=COLD_TERMS)
    members.choose("files")
    joined = entry("a", "files", "10.0.0.9", 9)
    members._node.follower.state.members["a"] = joined
    now_s = members_module.boottime_s() + members_module.LIST_AGE_S + 0.01
    monkeypatch.setattr(members_module, "boottime_s", lambda: now_s)
    assert chosen_fraction(members, "a") < 0.25
    later_s = now_s + COLD_START_S + 0.01
    monkeypatch.setattr(members_module, "boottime_s", lambda: later_s)
    assert chosen_fraction(members, "a") > 0.25


def test_a_refusal_for_lack_of_room_counts_against_its_member():
    """Guards against a near server that is preferred though it refuses its requests."""
    members = make_members(entry("a", "files", "10.0.0.4", 5))
    members.choose("files")
    members.record_outcome(
        members.record_sent("files", "a"), refusal(Reason.OVERLOADED)
    )
    assert members._services["files"].members["a"].refused_fraction > 0


def test_a_limited_member_is_chosen_for_what_it_takes():
    """Guards against requests of all nodes to a server in need that refuses them."""
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("abc")]
    members = make_members(*entries)
    members.choose("files")
    reply = refusal(Reason.BACKEND_LIMITED)
    reply.limit_per_s = 5.0
    members.record_outcome(members.record_sent("files", "a"), reply)
    # Two others with one slot of 0.1 s each bear 20 requests a second.
    assert 0.15 < chosen_fraction(members, "a") < 0.25


def test_a_member_that_takes_nothing_is_asked_again_after_a_while(monkeypatch):
    """Guards against a server that recovers and gets no requests for good."""
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("ab")]
    members = make_members(*entries)
    members.choose("files")
    reply = refusal(Reason.BACKEND_LIMITED)
    reply.limit_per_s = 0.0
    members.record_outcome(members.record_sent("files", "a"), reply)
    assert chosen_fraction(members, "a") == 0.0
    later_s = members_module.boottime_s() + members_module.LIMIT_KEPT_S
    monkeypatch.setattr(members_module, "boottime_s", lambda: later_s)
    assert chosen_fraction(members, "a") > 0.25


def test_limited_members_alone_share_by_what_they_take():
    """Where all servers are in need, the one in greater need gets less."""
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("ab")]
    members = make_members(*entries)
    members.choose("files")
    for name, limit_per_s in (("a", 2.0), ("b", 8.0)):
        reply = refusal(Reason.BACKEND_LIMITED)
        reply.limit_per_s = limit_per_s
        members.record_outcome(members.record_sent("files", name), reply)
    assert 0.15 < chosen_fraction(members, "a") < 0.25


def load_reply():
    """Return a refusal that tells a full server's load."""
    reply = refusal(Reason.OVERLOADED)
    reply.load = ServerLoad(running=3, waiting=5, slots=3, work_ms=100)
    return reply


def test_the_load_in_a_reply_is_kept_with_its_age():
    """Guards against a refusal that tells nothing of the server."""
    members = make_members(entry("a", "files", "10.0.0.4", 5))
    members.choose("files")
    members.record_outcome(members.record_sent("files", "a"), load_reply())
    member = members._services["files"].members["a"]
    assert member.load.present == 8
    assert member.has_load(members_module.boottime_s())
    assert not member.has_load(members_module.boottime_s() + 1.1)


def test_a_late_reply_tells_nothing_of_a_restarted_server():
    """Guards against a server that is avoided for the load of its earlier start."""
    members = make_members(entry("a", "files", "10.0.0.4", 5))
    members.choose("files")
    sent = members.record_sent("files", "a")
    member = members._services["files"].members["a"]
    member.reset_measurements(announced_offset=9)
    members.record_outcome(sent, load_reply())
    assert member.load is None


def test_a_reply_without_a_load_leaves_the_last_one():
    """A node of an older build tells none, and an own refusal says nothing."""
    members = make_members(entry("a", "files", "10.0.0.4", 5))
    members.choose("files")
    for reply in (load_reply(), refusal(Reason.PEER_LOST), None):
        members.record_outcome(members.record_sent("files", "a"), reply)
    assert members._services["files"].members["a"].load.present == 8


def passing_reply(node_id, **load):
    """Return a full server's refusal that passes on another server's load."""
    reply = load_reply()
    fields = {"running": 2, "waiting": 0, "slots": 3, "work_ms": 100, **load}
    passed = PassedLoad(node_id=node_id, load=ServerLoad(**fields), age_ms=200)
    reply.passed_loads = [passed]
    return reply


def three_members():
    """Return members that choose by load, of which the first is beside this node."""
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("abc")]
    members = make_members(*entries)
    members._node.settings.node_id = "a"
    members._node.ports.chooses_by_load = True
    members.choose("files")
    return members


def test_a_reply_tells_the_load_of_another_member(monkeypatch):
    """Guards against a choice between servers whose loads only others know."""
    members, now_s = three_members(), members_module.boottime_s() + 1.0
    monkeypatch.setattr(members_module, "boottime_s", lambda: now_s)
    members.record_outcome(members.record_sent("files", "b"), passing_reply("c"))
    assert members._services["files"].members["c"].load.present == 2


@pytest.mark.parametrize(
    ("node_id", "load"), [("unknown", {}), ("c", {"slots": 0}), ("c", {"running": -1})]
)
def test_a_passed_load_that_says_what_cannot_be_is_ignored(node_id, load):
    """Guards against a node of another build, and one that knows other members."""
    members = three_members()
    reply = passing_reply(node_id, **load)
    members.record_outcome(members.record_sent("files", "b"), reply)
    assert members._services["files"].members["c"].load is None


def test_loads_are_passed_on_by_one_node_and_for_a_short_time():
    """Guards against loads that seem newer with each node that passes them on."""
    members, now_s = three_members(), members_module.boottime_s()
    members.record_outcome(members.record_sent("files", "b"), passing_reply("c"))
    (passed,) = members.passed_loads("files", members_module.boottime_s())
    assert passed.node_id == "b"
    assert passed.load == load_reply().load
    assert members.passed_loads("files", now_s + 2.0) is None


def test_known_loads_are_counted_by_who_told_them(monkeypatch):
    """Guards against an operator who can't see whether choices go by load."""
    members, now_s = three_members(), members_module.boottime_s() + 1.0
    monkeypatch.setattr(members_module, "boottime_s", lambda: now_s)
    members.record_outcome(members.record_sent("files", "b"), passing_reply("c"))
    assert members.known_loads(now_s) == {("files", "own"): 1, ("files", "passed"): 1}
    assert members.known_loads(now_s + 2.0) == {}


def test_nothing_is_passed_on_where_servers_are_not_chosen_by_load():
    """Guards against longer replies in a deployment without the setting."""
    members = three_members()
    members.record_outcome(members.record_sent("files", "b"), load_reply())
    members._node.ports.chooses_by_load = False
    assert members.passed_loads("files", members_module.boottime_s()) is None


def test_a_load_from_before_a_restart_is_not_taken_from_others(monkeypatch):
    """Guards against a server that is avoided for the load of its earlier start."""
    members, now_s = three_members(), members_module.boottime_s() + 1.0
    state = members._node.follower.state
    state.members["c"] = entry("c", "files", "10.0.0.2", 9)
    monkeypatch.setattr(members_module, "boottime_s", lambda: now_s)
    members.choose("files")
    members.record_outcome(members.record_sent("files", "b"), passing_reply("c"))
    assert members._services["files"].members["c"].load is None


class RecordingChooser(TwoChoices):
    """Keep the terms of the last choice."""

    def choose(self, members, rng, terms=None):
        """Return a random member."""
        self.terms = terms
        return rng.choice(members)


@pytest.mark.parametrize("cold_terms", [None, COLD_TERMS])
def test_the_chooser_is_told_what_a_request_needs(cold_terms):
    """Guards against a choice by load that has the terms of cold servers, or none."""
    chooser = RecordingChooser()
    entries = [entry(name, "files", f"10.0.0.{n}", n) for n, name in enumerate("ab")]
    members = make_members(
        *entries, cold_terms=cold_terms, make_chooser=lambda: chooser
    )
    terms = ChoiceTerms(now_s=1.0, target_s=0.5)
    assert members.choose("files", terms=terms) in {"a", "b"}
    assert chooser.terms is terms
