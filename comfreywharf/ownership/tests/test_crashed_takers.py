"""The end of a taker's claims that it sends when it gives up its lease."""

import pytest

from comfreywharf.ownership import SendUnclaim
from comfreywharf.ownership.holds import NOTHING_HELD_S
from comfreywharf.ownership.tests.builders import KEYS, make_world

KEY = KEYS[0]


def taker(world):
    """Freeze a key's owner; return its taker, whose record isn't written."""
    owner = world.nodes[world.role("owner", KEY)]
    standby = world.nodes[world.role("standby", KEY)]
    standby.appends = False
    owner.frozen = True
    world.run(2.5)
    assert owner.node_id in standby.agent.claims
    return standby


def reported_claim_ends(node, held_until_s):
    """Return for how long a node's claims may act, as it reports when it gives up."""
    actions = node.agent.surrender(
        node.state, "backend lost", node.now_s(), held_until_s
    )
    return {a.claim.reach_s for a in actions if isinstance(a, SendUnclaim)}


def test_claim_ends_at_once_if_the_takers_server_crashed():
    """Guards against a lost node's keys being unavailable for a lease after their
    taker's server crashed as well.

    A standby takes over keys. Before its record is written, its server's port refuses
    connections, which proves that the server has crashed. The end of the claim's grants
    must not be sent as if the server still held them."""
    standby = taker(make_world(fenced=True))
    assert reported_claim_ends(standby, NOTHING_HELD_S) == {0.0}


def test_claim_lasts_to_its_end_if_the_servers_holds_are_unknown():
    """Guards against two servers that hold the same keys: a taker's node gives up its
    lease while its server continues. An unknown end must not count as no hold."""
    standby = taker(make_world(fenced=True))
    (claim,) = standby.agent.claims.values()
    left_s = claim.lease.until_s() - standby.now_s()
    assert left_s > 0
    assert reported_claim_ends(standby, None) == {left_s}


def test_claim_lasts_until_the_last_grant_of_a_running_server():
    standby = taker(make_world(fenced=True))
    now_s = standby.now_s()
    (reported_s,) = reported_claim_ends(standby, now_s + 0.25)
    assert reported_s == pytest.approx(0.25)


def test_reported_end_never_exceeds_the_claims_own_end():
    standby = taker(make_world(fenced=True))
    (claim,) = standby.agent.claims.values()
    left_s = claim.lease.until_s() - standby.now_s()
    assert reported_claim_ends(standby, standby.now_s() + 60.0) == {left_s}


def test_earlier_claims_end_at_once_if_the_takers_server_crashed():
    """Guards against the same fault after several claims: a claim ends while its grants
    last, the next one starts, and then the server is proved to have crashed. The end of
    the earlier claim's grants must not be sent with the next claim."""
    standby = taker(make_world(fenced=True))
    agent, now_s = standby.agent, standby.now_s()
    (owner_id,) = agent.claims
    standby.carry_out(agent._end_claim(agent.claims[owner_id], now_s))
    standby.carry_out(agent.lapse_notified(standby.state, owner_id, now_s))
    assert owner_id in agent.claims
    assert reported_claim_ends(standby, NOTHING_HELD_S) == {0.0}


def test_claim_lasts_until_the_deadline_of_a_request_forwarded_without_fences():
    """Guards against a request that takes effect at the same time as the next owner's.

    A taker's server counts as crashed. Only a server that checks fences stops its work
    when its grants end."""
    world = make_world()
    standby = taker(world)
    assert world.request(standby.node_id, KEY, 0.8)
    (reported_s,) = reported_claim_ends(standby, NOTHING_HELD_S)
    assert reported_s >= 0.8
