"""Whether the earlier process of a node has certainly ended."""

from comfreywharf.membership.predecessors import has_predecessor_ended
from comfreywharf.records.tests.builders import make_member


def has_ended(host="10.0.0.1", **fields):
    values = {"host": "10.0.0.1", "peer_port": 7, "incarnation": 5, **fields}
    member = make_member("a", **{"lease_incarnation": 5, **values})
    return has_predecessor_ended(member, host, 7)


def test_a_process_at_the_same_address_has_ended():
    """Two processes can't listen at one address."""
    assert has_ended()


def test_a_process_at_another_address_may_be_frozen():
    """Guards against two owners after a machine was replaced."""
    assert not has_ended(host="10.0.0.2")
    assert not has_ended(peer_port=8)


def test_the_holder_of_the_lease_may_be_of_before_the_last_announcement():
    """Guards against two owners after a machine was replaced, and restarted at once."""
    assert not has_ended(lease_incarnation=4)


def test_a_new_node_has_no_predecessor():
    assert not has_predecessor_ended(None, "10.0.0.1", 7)
