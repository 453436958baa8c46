"""The schedule of a run's faults, drawn from a seed and independent of a clock."""

import random

import attrs

from comfreywharf_dev.soak import faults
from comfreywharf_dev.standins.deployments import RIGA_DOMAINS

__all__ = ["ScheduledFault", "draw_faults"]

MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0
VM_FAULTS = (
    faults.NodeFrozen,
    faults.NodeKilled,
    faults.NodeStopped,
    faults.ServerFrozen,
    faults.ServerKilled,
    faults.VmKilled,
)
LOG_FAULTS = (
    ((("down", True),), (("down", False),)),
    ((("slow_s", 0.7),), (("slow_s", 0.0),)),
    ((("lose_answers", 3),), (("lose_answers", 0),)),
)
CLOCK_OFFSETS_S = (-3600.0, -2.0, 2.0, 3600.0)
MAX_ANSWERS_LOST = 4


@attrs.frozen
class ScheduledFault:
    """A fault from ``begin_s`` to ``end_s``, in seconds since the run's start."""

    begin_s: float
    end_s: float
    fault: faults.Fault


def draw_faults(seed, node_ids, count, duration_s):
    """Return each `ScheduledFault` of a run, the earliest first.

    Faults may overlap, but not two of the same VM, two of links, or two of the log.

    >>> schedule = draw_faults(1, ("a", "b"), count=5, duration_s=10.0)
    >>> schedule == draw_faults(1, ("a", "b"), count=5, duration_s=10.0)
    True
    """
    rng = random.Random(seed)
    available_s = {}
    schedule = []
    for begin_s in sorted(rng.uniform(0.0, duration_s) for _ in range(count)):
        fault = _draw(rng, node_ids)
        begin_s = max(begin_s, available_s.get(fault.resource, 0.0))
        end_s = begin_s + rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        available_s[fault.resource] = end_s
        schedule.append(ScheduledFault(begin_s, end_s, fault))
    return sorted(schedule, key=lambda one: one.begin_s)


def _draw(rng, node_ids):
    node_id = rng.choice(node_ids)
    draws = (
        *(lambda kind=kind: kind(node_id) for kind in VM_FAULTS),
        lambda: faults.ClockJumped(node_id, rng.choice(CLOCK_OFFSETS_S)),
        lambda: faults.DomainCut(rng.choice(RIGA_DOMAINS)),
        lambda: faults.NodeSilenced(node_id),
        lambda: faults.LinksReset(node_id),
        lambda: faults.AnswersLost(node_id, rng.randint(1, MAX_ANSWERS_LOST)),
        lambda: faults.LogFault(*rng.choice(LOG_FAULTS)),
    )
    return rng.choice(draws)()
