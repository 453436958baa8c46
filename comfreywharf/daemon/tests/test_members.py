"""The members among which a node chooses for a service not divided by key."""

from types import SimpleNamespace

import attrs

from comfreywharf.daemon.requests.members import Members
from comfreywharf.load import TwoChoices
from comfreywharf.records.tests.builders import make_member


def make_members(*entries):
    """Return the `Members` of a node that has folded these entries."""
    state = SimpleNamespace(members={entry.node_id: entry for entry in entries})
    return Members(
        SimpleNamespace(
            settings=SimpleNamespace(node_id="me", failure_domain="z"),
            incarnation=1,
            follower=SimpleNamespace(state=state),
            ports=SimpleNamespace(make_chooser=TwoChoices),
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
