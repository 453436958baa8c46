"""Tests of the hot key counter: found within a window, and forgotten."""

import random

from comfreywharf.load.hotkeys import REPORTED_KEYS, WINDOW_S, HotKeys


def test_hottest_keys_are_found_among_very_many():
    """The 25 hottest of 100,000 keys are reported after one window.

    Each hot key gets about 1% of the requests; the others share the rest.
    """
    rng = random.Random(1)
    keys = HotKeys(0.0)
    for number in range(40_000):
        hot = rng.random() < 0.25
        key = rng.randrange(25) if hot else 25 + rng.randrange(100_000)
        keys.count("booking", key, WINDOW_S * number / 40_000)
    found = keys.hottest(WINDOW_S)
    assert {item.key_hash for item in found} == set(range(REPORTED_KEYS))
    assert all(100 < item.requests_per_s < 300 for item in found)


def test_key_without_further_requests_is_forgotten():
    """A key without further requests is no longer reported."""
    keys = HotKeys(0.0)
    for _ in range(100):
        keys.count("booking", 7, 0.1)
    assert [item.key_hash for item in keys.hottest(WINDOW_S)] == [7]
    assert keys.hottest(2 * WINDOW_S) == []
    assert keys.hottest(10 * WINDOW_S) == []
