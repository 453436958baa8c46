"""Tests of the bound on the retries of all nodes together."""

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from comfreywharf.routing import RetryBudget, burst_of_node


def test_all_nodes_together_stay_within_the_fleets_budget():
    """Guard against a burst that is bounded for each node but not for all together.

    Ten nodes that each saved up a full burst would otherwise send 200 retries
    at once when a server refuses everything.
    """
    nodes = [RetryBudget() for _ in range(10)]
    requests = 1000
    for node in nodes:
        for _ in range(requests):
            node.earn(0.1, burst=5.0)
    at_once = sum(node.take() for node in nodes for _ in range(100))
    later = 0
    for node in nodes:
        for _ in range(requests // len(nodes)):
            node.earn(0.1, burst=5.0)
            later += node.take()
    assert at_once + later <= 0.2 * requests + 58


class FleetRetries(RuleBasedStateMachine):
    """Nodes that join, restart and leave, and a server that refuses at times.

    Whatever the nodes do, the retries of any sequence of steps stay within the fraction
    of the requests in it, and what all nodes together may have saved up before: the
    fleet's burst, or one for each node.
    """

    FRACTION = 0.2
    FLEET_BURST = 12.0

    def __init__(self):
        super().__init__()
        self.budgets = [RetryBudget()]
        self.most_nodes = 1
        self.steps = []

    def burst(self):
        """Return what a node may save up."""
        return burst_of_node(self.FLEET_BURST, len(self.budgets))

    @rule(
        node=st.integers(0, 60),
        requests=st.integers(1, 120),
        retries=st.integers(0, 10),
        unreached=st.integers(0, 3),
    )
    def serve(self, node, requests, retries, unreached):
        """Let a node get requests, and send retries of which some reach no server."""
        budget = self.budgets[node % len(self.budgets)]
        for _ in range(requests):
            budget.earn(self.FRACTION, self.burst())
        sent = sum(budget.take() for _ in range(retries))
        given_back = min(sent, unreached)
        for _ in range(given_back):
            budget.give_back()
        self.steps.append((requests, sent - given_back))

    @rule(requests=st.integers(1, 80), retries=st.integers(0, 20))
    def serve_everywhere(self, requests, retries):
        """Let each node get the same requests, and send retries."""
        for node in range(len(self.budgets)):
            self.serve(node, requests, retries, 0)

    @rule(nodes=st.integers(1, 8))
    def join(self, nodes):
        """Add nodes; the others hear of them before their next request."""
        self.budgets += [RetryBudget() for _ in range(nodes)]
        self.most_nodes = max(self.most_nodes, len(self.budgets))

    @rule(node=st.integers(0, 60))
    def restart(self, node):
        """A new process begins without retries."""
        self.budgets[node % len(self.budgets)] = RetryBudget()

    @precondition(lambda self: len(self.budgets) > 1)
    @rule(node=st.integers(0, 60))
    def leave(self, node):
        """Remove a node."""
        del self.budgets[node % len(self.budgets)]

    @invariant()
    def retries_stay_within_the_bound(self):
        """Check all windows that end now."""
        saved = max(self.FLEET_BURST, self.most_nodes)
        requests = retries = 0
        for step_requests, step_retries in reversed(self.steps):
            requests += step_requests
            retries += step_retries
            assert retries <= self.FRACTION * requests + saved + 1e-6


class FleetOfOwnBursts(FleetRetries):
    """The same with a burst that doesn't depend on the number of nodes."""

    def burst(self):
        """Return what a node may save up."""
        return self.FLEET_BURST


SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


def test_retries_of_a_changing_fleet_stay_within_its_bound():
    """Guards against saved-up retries that grow with the number of nodes."""
    run_state_machine_as_test(FleetRetries, settings=SETTINGS)


def test_the_bound_fails_if_each_node_has_the_whole_burst():
    """The state machine finds the fault that it guards against."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FleetOfOwnBursts, settings=SETTINGS)
