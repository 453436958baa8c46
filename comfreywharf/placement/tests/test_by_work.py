"""Placement by work and capacity under load, compared with counted requests."""

import pytest

from comfreywharf.placement.tests.work_builders import (
    COUNTING,
    DESK,
    KEYS,
    PROOFS,
    WEIGHING,
    hot_range,
    settled,
)

HOT_S = 5.0
COOL_S = 4.0


def play_hot_ranges(deployment, tuning):
    """Return ``(requests beyond what owners bear, keys moved)`` over two hot ranges."""
    cluster = settled(deployment, tuning)
    for keys in (60, 200):
        cluster.set_hot(hot_range(cluster, keys))
        cluster.run(HOT_S)
        cluster.set_hot(None)
        cluster.run(COOL_S)
    return cluster.beyond, cluster.keys_moved


@pytest.mark.parametrize("deployment", [DESK, PROOFS], ids=["desk", "proofs"])
def test_hot_ranges_cost_fewer_requests_and_moves_than_by_counting(deployment):
    """Guards against keys that move back and forth while a range is hot for 5 s."""
    beyond, moved = play_hot_ranges(deployment, WEIGHING)
    counted_beyond, counted_moved = play_hot_ranges(deployment, COUNTING)
    print("beyond", beyond, counted_beyond, "keys moved", moved, counted_moved)
    assert beyond < 0.8 * counted_beyond
    assert moved < 0.1 * counted_moved


@pytest.mark.parametrize("deployment", [DESK, PROOFS], ids=["desk", "proofs"])
def test_variation_and_slow_spells_move_few_keys(deployment):
    """Guards against moves where no owner needs more than it bears."""
    cluster = settled(deployment, utilisation=0.5)
    cluster.run(15.0)
    print("keys moved", cluster.keys_moved, cluster.reasons)
    assert cluster.keys_moved < 0.02 * KEYS


def test_slow_servers_own_fewer_keys_before_they_are_full():
    """Guards against slow servers that need more slots than they have in a calm run."""
    cluster = settled(DESK, utilisation=0.65)
    cluster.run(10.0)
    sent = 10.0 * cluster.rate_per_s
    print("beyond", cluster.beyond / sent)
    assert cluster.beyond < 0.005 * sent
