"""Tests of the comparison of ways to bound arrivals beyond the first."""

import pytest

from comfreywharf_dev.comparisons.retries import (
    LOADS,
    RETRY_WAYS,
    simulate_retries,
)


@pytest.mark.parametrize("load", LOADS, ids=lambda load: f"{load.nodes} nodes")
@pytest.mark.parametrize("name", ["at owners", "divided, 0.7", "divided, 0.9"])
def test_ways_that_count_arrivals_stay_within_the_bound(name, load):
    """The bound holds at any number of nodes and any rate of requests."""
    assert simulate_retries(RETRY_WAYS[name], load).most <= 1.0


def test_uncounted_arrivals_exceed_the_bound():
    """The comparison shows the fault that the others don't have."""
    load = LOADS[0]
    assert simulate_retries(RETRY_WAYS["own bursts"], load).most > 1.0


def test_callers_of_one_refusing_server_get_the_retries_of_all_requests():
    """Guards against retries that only the refusing server's own requests earn."""
    load = LOADS[0]
    at_owners = simulate_retries(RETRY_WAYS["at owners"], load)
    divided = simulate_retries(RETRY_WAYS["divided, 0.7"], load)
    assert divided.served > at_owners.served + 0.1
