"""Tests of the bound on the retries of all nodes together."""

from comfreywharf.routing import RetryBudget


def test_all_nodes_together_stay_within_the_fleets_budget():
    """Guard against a burst that is bounded for each node but not for all together.

    Ten nodes that each saved up a full burst would otherwise send 200 retries
    at once when a server refuses everything.
    """
    nodes = [RetryBudget(max_tokens=5.0) for _ in range(10)]
    requests = 1000
    for node in nodes:
        for _ in range(requests):
            node.earn(0.1)
    at_once = sum(node.take() for node in nodes for _ in range(100))
    later = 0
    for node in nodes:
        for _ in range(requests // len(nodes)):
            node.earn(0.1)
            later += node.take()
    assert at_once + later <= 0.2 * requests + 58
