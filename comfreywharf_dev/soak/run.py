"""One soak run: a cluster, callers, injected faults, and checks of the invariants."""

import shutil
import time

import attrs

from comfreywharf.clock import boottime_s
from comfreywharf_dev.failures.callers import Callers
from comfreywharf_dev.failures.tests.builders import (
    KEYS,
    running_cluster,
    violations,
)
from comfreywharf_dev.soak.plan import draw_faults

__all__ = ["RunResult", "RunSize", "actions_in_order", "run_seed"]

ALL_SERVED_TIMEOUT_S = 30.0
"""A run fails if some key isn't served within this time after the last fault."""

INITIAL_CLOCK_OFFSET_S = 0.5
"""Offset of each node's wall clock; only a node with one can have it set later."""


@attrs.frozen(kw_only=True)
class RunSize:
    """The size of a run."""

    nodes: int = 6
    slices: int = 12
    faults: int = 10
    duration_s: float = 12.0
    callers: int = 6


@attrs.frozen(kw_only=True)
class RunResult:
    """The result of a run: its faults, and the problems that were found."""

    seed: int
    schedule: tuple
    problems: tuple = ()
    answered: int = 0

    @property
    def passed(self):
        """Return whether no problem was found."""
        return not self.problems


def run_seed(seed, folder, size=None):
    """Do one run and return its `RunResult`; keep the folder if the run failed."""
    size = size or RunSize()
    shutil.rmtree(folder, ignore_errors=True)
    with running_cluster(
        folder,
        booking=size.nodes,
        slices=size.slices,
        proxied=True,
        checks_fences=seed % 2 == 0,
        wall_offset_s=INITIAL_CLOCK_OFFSET_S,
    ) as cluster:
        node_ids = tuple(cluster.plans)
        schedule = draw_faults(seed, node_ids, size.faults, size.duration_s)
        results, problems = _run_faults(cluster, schedule, size)
        problems += [str(one) for one in violations(cluster, results)]
    result = RunResult(
        seed=seed,
        schedule=tuple(schedule),
        problems=tuple(problems),
        answered=sum(one.accepted for one in results),
    )
    if result.passed:
        shutil.rmtree(folder)
    return result


def _run_faults(cluster, schedule, size):
    """Inject the faults while callers book; return their results and the problems."""
    with Callers(cluster, KEYS, count=size.callers) as callers:
        started_s = boottime_s()
        for at_s, action in actions_in_order(schedule):
            time.sleep(max(0.0, started_s + at_s - boottime_s()))
            action(cluster)
        try:
            callers.wait_served(timeout_s=ALL_SERVED_TIMEOUT_S)
        except TimeoutError as error:
            return callers.results, [str(error)]
    return callers.results, []


def actions_in_order(schedule):
    """Return ``(at_s, action)`` for the begin and end of each fault, by time.

    If a fault begins when another ends, the end comes first, since both may be faults
    of the same VM.
    """
    actions = [(one.end_s, one.fault.end) for one in schedule]
    actions += [(one.begin_s, one.fault.begin) for one in schedule]
    return sorted(actions, key=lambda action: action[0])
