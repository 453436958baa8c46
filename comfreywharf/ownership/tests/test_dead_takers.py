"""What a taker tells of its claims when it gives them up with its lease."""

import pytest

from comfreywharf.ownership import SendUnclaim
from comfreywharf.ownership.holds import NOTHING_HELD_S
from comfreywharf.ownership.tests.builders import KEYS, make_world

KEY = KEYS[0]


def taker(world):
    """Have a key's owner freeze; return its taker, whose record isn't written."""
    owner = world.nodes[world.role("owner", KEY)]
    standby = world.nodes[world.role("standby", KEY)]
    standby.appends = False
    owner.frozen = True
    world.run(2.5)
    assert owner.node_id in standby.agent.claims
    return standby


def told_of_claims(node, held_until_s):
    """Return how long its claims still act, as a node tells when it gives up."""
    actions = node.agent.surrender(
        node.state, "backend lost", node.now_s(), held_until_s
    )
    return {a.claim.reach_s for a in actions if isinstance(a, SendUnclaim)}


def test_what_a_dead_server_had_under_a_claim_is_not_waited_for():
    """Symptom: a lost node's keys are dark for a lease after their taker's server
    crashed as well.
    Sequence: a standby takes keys over; before its record is written, its server's
    port refuses, which proves that the server is dead.
    Cause: the end of the claim's grants is told, as if the server still had them."""
    standby = taker(make_world(fenced=True))
    assert told_of_claims(standby, NOTHING_HELD_S) == {0.0}


def test_where_it_isnt_known_what_a_server_has_its_claims_last_to_their_end():
    """Symptom: two servers hold the same keys. Sequence: a taker's node gives up, and
    its server goes on. Cause: what isn't known was taken for nothing."""
    standby = taker(make_world(fenced=True))
    (claim,) = standby.agent.claims.values()
    left_s = claim.lease.until_s() - standby.now_s()
    assert left_s > 0
    assert told_of_claims(standby, None) == {left_s}


def test_a_living_server_has_a_claims_keys_until_its_last_grant_ends():
    standby = taker(make_world(fenced=True))
    now_s = standby.now_s()
    (told_s,) = told_of_claims(standby, now_s + 0.25)
    assert told_s == pytest.approx(0.25)


def test_a_claim_is_never_told_to_last_beyond_its_own_end():
    standby = taker(make_world(fenced=True))
    (claim,) = standby.agent.claims.values()
    left_s = claim.lease.until_s() - standby.now_s()
    assert told_of_claims(standby, standby.now_s() + 60.0) == {left_s}


def test_what_a_dead_server_had_under_earlier_claims_is_not_waited_for():
    """Symptom: as for one claim. Sequence: a claim ends while its grants run, and the
    next one is tried; then the server is proved dead.
    Cause: the end of the earlier claim's grants is told with the next one."""
    standby = taker(make_world(fenced=True))
    agent, now_s = standby.agent, standby.now_s()
    (owner_id,) = agent.claims
    standby.carry_out(agent._end_claim(agent.claims[owner_id], now_s))
    standby.carry_out(agent.lapsed(standby.state, owner_id, now_s))
    assert owner_id in agent.claims
    assert told_of_claims(standby, NOTHING_HELD_S) == {0.0}


def test_what_was_forwarded_without_fences_counts_until_its_deadline():
    """Symptom: a request takes effect beside the next owner's. Sequence: a taker's
    server is taken for dead. Cause: only a server that checks fences ends its work
    with its grants."""
    world = make_world()
    standby = taker(world)
    assert world.request(standby.node_id, KEY, 0.8)
    (told_s,) = told_of_claims(standby, NOTHING_HELD_S)
    assert told_s >= 0.8
