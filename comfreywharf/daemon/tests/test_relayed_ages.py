"""The age of data at relays of each level, in virtual time and without news."""

import random

import pytest

from comfreywharf.daemon.membership.gossip import earliest_answer_s
from comfreywharf.daemon.membership.relay_client import LONG_POLL_S, MAX_AGE_MARGIN_S
from comfreywharf.daemon.records.logclient import complete_at_s
from comfreywharf.membership.relays import RelayedAge, Relays
from comfreywharf.platform.configuration import READ_WAIT_S
from comfreywharf.platform.ports import PlatformPorts
from comfreywharf.routes import max_relayed_age_s
from comfreywharf.transport.gen.ttypes import ExchangeReply, ExchangeRequest

RECORDS_WAIT_S = PlatformPorts.read_options.wait_s
PAUSE_S = PlatformPorts.read_options.pause_s
APPLY_S = 2.5
LINK_S = 0.02
"""Time of a message from one node to another, or to the log."""

DURATION_S = 30.0


def make_poll(next_offset=5, routes_version=3, evacuations_version=None):
    return ExchangeRequest(
        next_offset=5, routes_version=3, wait_ms=int(LONG_POLL_S * 1000)
    ), ExchangeReply(
        next_offset=next_offset,
        routes_version=routes_version,
        evacuations_version=evacuations_version,
    )


def confirmations_of_reader(rng, wait_s, pause_s):
    """Return ``(at_s, confirmed_s)`` of each read of the log by the root."""
    sent_s, found = -3 * wait_s - rng.random(), []
    while sent_s < DURATION_S:
        at_s = sent_s + wait_s + 2 * LINK_S
        found.append((at_s, complete_at_s(sent_s, wait_s, has_records=False)))
        sent_s = at_s + pause_s
    return found


def confirmations_of_member(rng, relay):
    """Return the same for a member that polls a relay, and the ages it was told."""
    sent_s, found, ages = relay[1][0] + rng.random(), [], []
    while sent_s < DURATION_S:
        answered_s = sent_s + LINK_S + LONG_POLL_S
        confirmed_s = max(c for at_s, c in relay if at_s <= answered_s)
        ages.append(answered_s - confirmed_s)
        earliest_s = earliest_answer_s(*make_poll(), sent_s)
        found.append((answered_s + LINK_S, earliest_s - ages[-1]))
        sent_s = answered_s + LINK_S
    return found, ages


def told_ages(rng, levels, wait_s, pause_s):
    """Return the ages that relays of each level tell their members."""
    confirmed, by_level = confirmations_of_reader(rng, wait_s, pause_s), []
    for _ in range(levels):
        confirmed, ages = confirmations_of_member(rng, confirmed)
        by_level.append(ages)
    return by_level


@pytest.mark.parametrize("seed", range(20))
def test_relays_of_three_levels_are_fresh_while_there_is_no_news(seed):
    """Guards against a quiet fleet whose members avoid their relays.

    Each of them would read the log and the routes instead.
    """
    rng = random.Random(seed)
    domains = {f"node-{n}": "abcdef"[n % 6] for n in range(640)}
    relays = Relays(
        "new", "a", RECORDS_WAIT_S + MAX_AGE_MARGIN_S, max_relayed_age_s(APPLY_S)
    )
    records = told_ages(rng, 3, RECORDS_WAIT_S, PAUSE_S)
    routes = told_ages(rng, 3, READ_WAIT_S, 0.0)
    for level, relay_id in enumerate(first_of_each_level(domains)):
        age = RelayedAge(max(records[level]), max(routes[level]))
        assert relays.is_fresh(domains, relay_id, age), (level, age)


def first_of_each_level(domains):
    """Return a relay of each level: those between some member and the log."""
    paths = [path_of(node_id, domains) for node_id in domains]
    return list(reversed(max(paths, key=len)))


def path_of(node_id, domains):
    path = []
    while node_id := Relays(node_id, "a", 1.5).choose(domains, 0.0):
        path.append(node_id)
    return path


@pytest.mark.parametrize(
    "news", [{"next_offset": 6}, {"routes_version": 4}, {"evacuations_version": 0}]
)
def test_an_answer_with_news_may_have_come_at_once(news):
    """Guards against data that is taken for newer than it is."""
    assert earliest_answer_s(*make_poll(**news), 10.0) == 10.0


def test_an_answer_without_news_came_after_the_wait():
    """Guards against an age that grows by the wait at each level."""
    assert 10.0 < earliest_answer_s(*make_poll(), 10.0) < 10.0 + LONG_POLL_S
