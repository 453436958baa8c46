"""Effect of planned stops on callers: requests cut or refused, and gaps in service.

Each round stops one node gracefully while callers book its keys through the other
nodes, one caller per key. The gap of a key is its longest interval between two
answers around the stop, minus its median interval before.
"""

import statistics
import tempfile
import time

from comfreywharf.clock import boottime_s
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.failures.callers import Callers, book
from comfreywharf_dev.failures.invariants import (
    CallOutcome,
    Effect,
    find_violations,
)
from comfreywharf_dev.standins.cluster import Cluster, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

__all__ = ["run"]

STOPS = 8
NODES = 4
SLICES = 16
KEYS = tuple(f"calendar-{number}" for number in range(16))
TIMEOUT_S = 30.0
NO_NEW_WORK_AFTER_S = 2.0
OBSERVED_S = 3.0


def run():
    """Return the requests cut or refused, late effects, the p99 gap, and violations."""
    gaps_ms, not_answered, late_effects, booking_outcomes = [], 0, 0, []
    with tempfile.TemporaryDirectory(prefix="comfreywharf-stop-") as folder:
        plans = riga_plans(booking=NODES, files=0)
        with Cluster(folder, plans) as cluster:
            cluster.submit(riga_services(slices=SLICES))
            cluster.wait_owned("booking")
            for number in range(STOPS):
                stopped = f"booking-{1 + number % NODES}"
                lines, stopped_s = _stop_one(cluster, stopped)
                booking_outcomes += lines
                gaps_ms += _gaps_ms(lines, stopped_s)
                late_effects += _late_effects(cluster, stopped, stopped_s)
                _restart(cluster, stopped)
            effects = [Effect(**fields) for fields in cluster.effects()]
    not_answered = sum(
        1 for one in booking_outcomes if one.outcome is not CallOutcome.ANSWERED
    )
    return _figures(
        sorted(gaps_ms),
        not_answered,
        late_effects,
        find_violations(effects, booking_outcomes),
    )


def _figures(gaps_ms, not_answered, late_effects, violations):
    note = f"{len(gaps_ms)} keys over {STOPS} stops"
    p99 = gaps_ms[min(len(gaps_ms) - 1, int(0.99 * len(gaps_ms)))]
    points = tuple(
        ((rank + 1) / len(gaps_ms), value) for rank, value in enumerate(gaps_ms)
    )
    return [
        Figure(name="cut_or_refused", value=not_answered, unit="count", note=note),
        Figure(
            name="work_after_2_s",
            value=late_effects,
            unit="count",
            note="effects at a stopping server that began later than that",
        ),
        Figure(name="gap_p99_ms", value=p99, unit="ms", note=note, points=points),
        Figure(name="violations", value=len(violations), unit="count"),
    ]


def _stop_one(cluster, stopped):
    """Stop a node under load.

    Return the outcomes that callers of its keys received, and when the stop began.
    """
    survivors = [one for one in cluster.plans if one != stopped]
    _wait_served(cluster, survivors)
    keys = [k for k in KEYS if cluster.owner_of(survivors[0], "booking", k) == stopped]
    callers = [Callers(cluster, [k], count=1, node_ids=survivors) for k in keys]
    for one in callers:
        one.__enter__()
    time.sleep(0.5)
    stopped_s = boottime_s()
    cluster.terminate_node(stopped)
    cluster.plans[stopped].node_process.wait(TIMEOUT_S)
    time.sleep(max(0.0, stopped_s + OBSERVED_S - boottime_s()))
    for one in callers:
        one.end()
    return [line for one in callers for line in one.results], stopped_s


def _gaps_ms(lines, stopped_s):
    """Return the gap of each key, in milliseconds."""
    by_key = {}
    for one in lines:
        if one.accepted:
            by_key.setdefault(one.key, []).append(one.done_s)
    gaps_ms = []
    for times in by_key.values():
        pairs = list(zip(times, times[1:], strict=False))
        usual_s = statistics.median(b - a for a, b in pairs if b < stopped_s)
        longest_s = max(b - a for a, b in pairs if b >= stopped_s)
        gaps_ms.append((longest_s - usual_s) * 1000)
    return gaps_ms


def _late_effects(cluster, stopped, stopped_s):
    """Return the number of effects that began too late after the stop."""
    name = cluster.plans[stopped].server_name
    limit_s = stopped_s + NO_NEW_WORK_AFTER_S
    return sum(
        1
        for one in cluster.effects()
        if one["server"] == name and one["at_s"] > limit_s
    )


def _restart(cluster, node_id):
    cluster.kill_server(node_id)
    cluster.start_node(node_id)
    cluster.start_server(node_id)
    observer = next(one for one in cluster.plans if one != node_id)

    def owns():
        slices = cluster.state(observer)["slices"]["booking"]["slices"]
        return any(slice_["owner"] == node_id for slice_ in slices)

    try:
        wait_until(owns, TIMEOUT_S / 3)
    except TimeoutError:
        return


def _wait_served(cluster, node_ids):
    wait_until(
        lambda: all(
            book(cluster, one, key).accepted for one in node_ids for key in KEYS
        ),
        TIMEOUT_S,
    )


if __name__ == "__main__":
    for figure in run():
        print(f"{figure.name} = {figure.value:.4g} {figure.unit} ({figure.note})")
