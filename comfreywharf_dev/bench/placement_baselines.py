"""Baselines for placement: a hash ring, and immediate rebalancing."""

import bisect

import numpy as np
import xxhash

from comfreywharf.placement.budget import ChurnBudget
from comfreywharf.placement.rebalance import BoundedRebalance
from comfreywharf_dev.bench.placement_replay import COLD_S, TAKEOVER_S, Tally

__all__ = ["immediate_policy", "replay_hash_ring"]

POINTS_PER_SERVER = 100


def immediate_policy(service):
    """Return a policy that immediately moves slices until all loads are near the mean.

    It gets the same smoothed rates, splits and pins as the product's policy, but it
    has no waiting times and no limits on churn.
    """
    return BoundedRebalance(
        trigger=1.02,
        target=1.02,
        patience_s=0.0,
        dwell_s=0.0,
        budget=ChurnBudget(hourly_share=float("inf")),
        moved_share=1.0,
    )


class _Ring:
    """Consistent hashing with several points per server (Karger et al. 1997)."""

    def __init__(self, node_ids):
        points = [
            (xxhash.xxh3_64_intdigest(f"{node_id}/{number}".encode()) >> 1, node_id)
            for node_id in node_ids
            for number in range(POINTS_PER_SERVER)
        ]
        self._points = sorted(points)

    def owners(self, positions):
        """Return the owner of each position."""
        values = [value for value, _ in self._points]
        count = len(values)
        return np.array(
            [
                self._points[bisect.bisect_right(values, value) % count][1]
                for value in positions.tolist()
            ]
        )


def replay_hash_ring(trace, step_s=2.0):
    """Replay a trace with keys placed by a hash ring; return the `ReplayResult`."""
    tally = Tally(trace)
    serving = set(trace.deployment.node_ids)
    started_s = dict.fromkeys(serving, float("-inf"))
    owners = _Ring(sorted(serving)).owners(trace.positions)
    events = list(trace.events)
    now_s = 0.0
    while now_s < trace.duration_s:
        now_s += step_s
        rates = trace.rates(now_s)
        share = rates / rates.sum()
        lost = set()
        before = set(serving)
        while events and events[0].at_s <= now_s:
            event = events.pop(0)
            if event.kind == "start":
                serving.add(event.node_id)
                started_s[event.node_id] = now_s
            elif event.node_id in serving:
                serving.discard(event.node_id)
                lost |= {event.node_id} if event.kind == "stop" else set()
        if serving != before:
            owners = _reassign(trace, tally, now_s, serving, lost, owners, share)
        names, indices = np.unique(owners, return_inverse=True)
        sums = np.bincount(indices, weights=rates)
        loads = dict.fromkeys(serving, 0.0)
        loads.update(zip(names.tolist(), sums.tolist(), strict=True))
        cold = {n for n in serving if now_s - started_s[n] < COLD_S}
        tally.add_step(now_s, step_s, loads, cold)
    return tally.result()


def _reassign(trace, tally, now_s, serving, lost, owners, share):
    new_owners = _Ring(sorted(serving)).owners(trace.positions)
    changed = new_owners != owners
    taken = changed & np.isin(owners, list(lost))
    tally.add_unavailable(TAKEOVER_S, float(share[taken].sum()))
    tally.add_move(now_s, float(share[changed & ~taken].sum()))
    return new_owners
