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

__all__ = ["Extent", "Outcome", "acts_in_order", "run_seed"]

SERVED_WITHIN_S = 30.0
"""A run fails if some key isn't served within this time after the last fault."""

WRONG_CLOCK_S = 0.5
"""Offset of each node's wall clock; only a node with one can have it set later."""


@attrs.frozen(kw_only=True)
class Extent:
    """The size of a run."""

    nodes: int = 6
    slices: int = 12
    faults: int = 10
    duration_s: float = 12.0
    callers: int = 6


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of a run: its faults, and the problems that were found."""

    seed: int
    timed: tuple
    found: tuple = ()
    answered: int = 0

    @property
    def passed(self):
        """Return whether no problem was found."""
        return not self.found


def run_seed(seed, folder, extent=None):
    """Do one run and return its `Outcome`; keep the folder if the run failed."""
    extent = extent or Extent()
    shutil.rmtree(folder, ignore_errors=True)
    with running_cluster(
        folder,
        booking=extent.nodes,
        slices=extent.slices,
        proxied=True,
        checks_fences=seed % 2 == 0,
        wall_offset_s=WRONG_CLOCK_S,
    ) as cluster:
        node_ids = tuple(cluster.plans)
        timed = draw_faults(seed, node_ids, extent.faults, extent.duration_s)
        results, found = _play(cluster, timed, extent)
        found += [str(one) for one in violations(cluster, results)]
    outcome = Outcome(
        seed=seed,
        timed=tuple(timed),
        found=tuple(found),
        answered=sum(one.accepted for one in results),
    )
    if outcome.passed:
        shutil.rmtree(folder)
    return outcome


def _play(cluster, timed, extent):
    """Inject the faults while callers book; return their results and the problems."""
    with Callers(cluster, KEYS, count=extent.callers) as callers:
        began_s = boottime_s()
        for at_s, act in acts_in_order(timed):
            time.sleep(max(0.0, began_s + at_s - boottime_s()))
            act(cluster)
        try:
            callers.wait_served(timeout_s=SERVED_WITHIN_S)
        except TimeoutError as error:
            return callers.results, [str(error)]
    return callers.results, []


def acts_in_order(timed):
    """Return ``(at_s, act)`` for the begin and end of each fault, by time.

    If a fault begins when another ends, the end comes first, since both may be faults
    of the same VM.
    """
    acts = [(one.end_s, one.fault.end) for one in timed]
    acts += [(one.begin_s, one.fault.begin) for one in timed]
    return sorted(acts, key=lambda act: act[0])
