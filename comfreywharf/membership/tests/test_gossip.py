"""Tests of the partners of exchanges, and of how fast news reach all members."""

import random

import pytest

from comfreywharf.membership import PartnerChooser, push_count
from comfreywharf.membership.tests.builders import even_fleet

FLEET = even_fleet()
MAX_ROUNDS = 8
"""Rounds until all members must have a record. A round without the log takes at most
0.625 s, so that these take 5 s of the 8 s that a change may take."""


class Exchanges:
    """The exchanges of a fleet in rounds, without the log.

    In each round each node pulls from a partner, and a node that received the record
    in the round before pushes it. An exchange with a lost node goes to a spare.
    """

    def __init__(self, domains, seed, cut_off=""):
        self.domains = domains
        self.cut_off = cut_off
        self.pushes = push_count(len(domains))
        self.choosers = {
            node_id: PartnerChooser(random.Random(f"{seed} {node_id}"))
            for node_id in domains
        }
        self.nodes = {
            domain: [n for n, there in domains.items() if there == domain]
            for domain in domains.values()
        }
        self.has, self.fresh = set(), set()

    def partners(self, node_id, count):
        """Return the partners that a node's exchanges reach."""
        own = self.domains[node_id]
        near = [n for n in self.nodes[own] if n != node_id]
        far = [n for d, there in self.nodes.items() if d != own for n in there]
        chosen = self.choosers[node_id].choose(near, far, count)
        first = [n for n in (chosen[0], *chosen[count:]) if self.reaches(node_id, n)]
        rest = [n for n in chosen[1:count] if self.reaches(node_id, n)]
        return [*first[:1], *rest]

    def reaches(self, node_id, other):
        ends = {self.domains[node_id], self.domains[other]}
        return len(ends) == 1 or self.cut_off not in ends

    def play_round(self):
        received = set()
        for node_id in self.fresh:
            received.update(self.partners(node_id, self.pushes))
        for node_id in self.domains:
            if self.has.intersection(self.partners(node_id, 1)):
                received.add(node_id)
        self.fresh = received - self.has
        self.has |= received

    def rounds_until_all_have(self, first):
        """Return the rounds until all nodes that a node reaches have its record."""
        self.has, self.fresh = {first}, {first}
        reached = {n for n in self.domains if self.reaches(first, n)}
        rounds = 0
        while not reached <= self.has:
            self.play_round()
            rounds += 1
        return rounds


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("first", "cut_off"), [(0, ""), (0, "c"), (2, "c")])
def test_a_record_reaches_640_members_in_6_domains_in_time(seed, first, cut_off):
    """Guards against news that stay within a domain, also if one is cut off."""
    exchanges = Exchanges(FLEET, seed, cut_off)
    assert exchanges.rounds_until_all_have(f"node-{first}") <= MAX_ROUNDS


@pytest.mark.parametrize("seed", range(5))
def test_members_of_small_domains_hear_from_others_in_time(seed):
    """Guards against two nodes of a domain that exchange only with each other."""
    domains = even_fleet(12) | {"single": "g"}
    for first in ("node-0", "single"):
        exchanges = Exchanges(domains, seed)
        assert exchanges.rounds_until_all_have(first) <= MAX_ROUNDS


def test_one_in_four_partners_is_in_another_domain():
    """Guards against exchanges that mostly cross failure domains."""
    chooser = PartnerChooser(random.Random(1))
    near, far = [f"near-{n}" for n in range(9)], [f"far-{n}" for n in range(45)]
    pulls = [chooser.choose(near, far, 1)[0] for _ in range(40)]
    pushes = [chooser.choose(near, far, 4)[:4] for _ in range(10)]
    assert sum(partner in far for partner in pulls) == 10
    assert all(sum(partner in far for partner in push) == 1 for push in pushes)


def test_partners_and_spares_are_distinct():
    """Guards against a lost partner that is asked again as its own spare."""
    chooser = PartnerChooser(random.Random(1))
    for near, far in (("abc", "defg"), ("a", "d"), ("abcdef", ""), ("", "abcdef")):
        for count in range(5):
            chosen = chooser.choose(near, far, count)
            assert len(chosen) == len(set(chosen))
            assert len(chosen) == (min(count + 2, len(near + far)) if count else 0)


def test_a_partner_in_a_cut_off_domain_is_replaced_by_a_near_one():
    """Guards against rounds that are lost while another domain is cut off."""
    chooser = PartnerChooser(random.Random(1))
    near = ["a", "b", "c"]
    for _ in range(8):
        assert set(near) & set(chooser.choose(near, ["x", "y", "z"], 1))
