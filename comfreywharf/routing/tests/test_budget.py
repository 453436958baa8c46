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

from comfreywharf.routing import BurstTerms, RetryBudget
from comfreywharf.routing.budget import SAVED_PART


def test_all_nodes_together_stay_within_the_fleets_budget():
    """Guard against a burst that is bounded for each node but not for all together.

    Ten nodes that each saved up a full burst would otherwise send 200 retries
    at once when a server refuses everything.
    """
    terms = BurstTerms(fleet_retries=50.0 / SAVED_PART, window_s=10.0)
    nodes = [RetryBudget(terms, now_s=0.0) for _ in range(10)]
    for node in nodes:
        node.update(len(nodes), now_s=0.0)
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


class FleetRetries(RuleBasedStateMachine):
    """Nodes that join, restart and leave, and a server that refuses at times.

    Whatever the nodes do, the retries of all of them in any window stay within the
    fraction of the requests in it and the fleet's retries beside that. Nodes that are
    more than these save up one each.
    """

    FRACTION = 0.2
    TERMS = BurstTerms(fleet_retries=24.0, window_s=10.0)

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.most_nodes = 1
        self.steps = []
        self.budgets = [self.new_budget()]

    def new_budget(self):
        """Return the budget of a process that has just started."""
        return RetryBudget(self.TERMS, self.now_s)

    def nodes_known(self):
        """Return how many nodes each of them takes for the fleet."""
        return len(self.budgets)

    @rule(
        node=st.integers(0, 60),
        requests=st.integers(1, 120),
        retries=st.integers(0, 10),
        unreached=st.integers(0, 3),
    )
    def serve(self, node, requests, retries, unreached):
        """Let a node get requests, and send retries of which some reach no server."""
        budget = self.budgets[node % len(self.budgets)]
        budget.update(self.nodes_known(), self.now_s)
        for _ in range(requests):
            budget.earn(self.FRACTION)
        sent = sum(budget.take() for _ in range(retries))
        given_back = min(sent, unreached)
        for _ in range(given_back):
            budget.give_back()
        self.steps.append((self.now_s, requests, sent - given_back))

    @rule(requests=st.integers(1, 80), retries=st.integers(0, 20))
    def serve_everywhere(self, requests, retries):
        """Let each node get the same requests, and send retries."""
        for node in range(len(self.budgets)):
            self.serve(node, requests, retries, 0)

    @rule(passed_s=st.floats(0.1, 12.0))
    def pass_time(self, passed_s):
        """Let time pass."""
        self.now_s += passed_s

    @rule(nodes=st.integers(1, 8))
    def join(self, nodes):
        """Add nodes; the others hear of them before their next request."""
        self.budgets += [self.new_budget() for _ in range(nodes)]
        self.most_nodes = max(self.most_nodes, len(self.budgets))

    @rule(node=st.integers(0, 60))
    def restart(self, node):
        """A new process begins without retries."""
        self.budgets[node % len(self.budgets)] = self.new_budget()

    @precondition(lambda self: len(self.budgets) > 1)
    @rule(node=st.integers(0, 60))
    def leave(self, node):
        """Remove a node."""
        del self.budgets[node % len(self.budgets)]

    @invariant()
    def retries_stay_within_the_bound(self):
        """Check all windows that end now."""
        saved = max(SAVED_PART * self.TERMS.fleet_retries, self.most_nodes)
        beside = saved + (1 - SAVED_PART) * self.TERMS.fleet_retries
        requests = retries = 0
        for at_s, step_requests, step_retries in reversed(self.steps):
            if at_s < self.now_s - self.TERMS.window_s:
                break
            requests += step_requests
            retries += step_retries
            assert retries <= self.FRACTION * requests + beside + 1e-6


class FleetOfOwnBursts(FleetRetries):
    """The same with nodes that don't know how many they are."""

    def nodes_known(self):
        """Return how many nodes each of them takes for the fleet."""
        return 1


SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


def test_retries_of_a_changing_fleet_stay_within_its_bound():
    """Guards against saved-up retries that grow with the number of nodes."""
    run_state_machine_as_test(FleetRetries, settings=SETTINGS)


def test_the_bound_fails_if_each_node_has_the_whole_burst():
    """The state machine finds the fault that it guards against."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FleetOfOwnBursts, settings=SETTINGS)
