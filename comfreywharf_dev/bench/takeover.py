"""Unavailable time of a lost owner's keys, with the log up and with it down.

Each round kills the VM of an owner under load and measures, for each key that it
owned, the time until a booking that was sent after the kill is answered. Then a new
node replaces the lost one.
"""

import tempfile
import time

import attrs

from comfreywharf.clock import boottime_s
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.failures.callers import Callers, book
from comfreywharf_dev.failures.invariants import Effect, find_violations
from comfreywharf_dev.standins.cluster import Cluster, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

__all__ = ["run"]

KILLS = 20
NODES = 5
SLICES = 15
KEYS = tuple(f"calendar-{number}" for number in range(24))
TIMEOUT_S = 30.0
NEVER_S = float("inf")


@attrs.define(kw_only=True)
class _Measured:
    """The unavailable times of keys over all kills, their outcomes, and violations."""

    unavailable_s: list = attrs.Factory(list)
    booking_outcomes: list = attrs.Factory(list)
    violations: int = 0


def run():
    """Return the worst and p99 unavailable times, and the number of violations."""
    figures = []
    for name, log_down in (("log_up", False), ("log_down", True)):
        measured = _measure(log_down, KILLS // 2)
        figures += _figures(name, measured)
    return figures


def _figures(name, measured):
    ordered = sorted(measured.unavailable_s)
    note = f"{len(ordered)} keys over {KILLS // 2} kills of their owners"
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    points = tuple(
        ((rank + 1) / len(ordered), value) for rank, value in enumerate(ordered)
    )
    return [
        Figure(name=f"{name}_worst_s", value=ordered[-1], unit="s", note=note),
        Figure(name=f"{name}_p99_s", value=p99, unit="s", note=note, points=points),
        Figure(
            name=f"{name}_violations",
            value=measured.violations,
            unit="count",
            note="broken invariants over the ledger",
        ),
    ]


def _measure(log_down, kills):
    measured = _Measured()
    with tempfile.TemporaryDirectory(prefix="comfreywharf-takeover-") as folder:
        plans = riga_plans(booking=NODES, files=0)
        with Cluster(folder, plans) as cluster:
            cluster.submit(riga_services(slices=SLICES))
            cluster.wait_owned("booking")
            for number in range(kills):
                _kill_one(cluster, number, log_down, measured)
            effects = [Effect(**fields) for fields in cluster.effects()]
            measured.violations = len(
                find_violations(effects, measured.booking_outcomes)
            )
    return measured


def _kill_one(cluster, number, log_down, measured):
    node_ids = list(cluster.plans)
    lost = node_ids[number % len(node_ids)]
    survivors = [one for one in node_ids if one != lost]
    _wait_served(cluster, survivors)
    keys = [k for k in KEYS if cluster.owner_of(survivors[0], "booking", k) == lost]
    if log_down:
        cluster.set_log_switches(down=True)
    # One caller for each key: a caller that waits for an answer on one key can't
    # measure when another key is served again.
    callers = [
        Callers(cluster, [key], count=1, node_ids=survivors, timeout_ms=800)
        for key in keys
    ]
    for one in callers:
        one.__enter__()
    time.sleep(0.2)
    killed_s = boottime_s()
    cluster.kill_vm(lost)
    measured.unavailable_s += [_unavailable_s(one, killed_s) for one in callers]
    for one in callers:
        one.end()
    measured.booking_outcomes += [line for one in callers for line in one.results]
    cluster.set_log_switches(down=False)
    cluster.start_node(lost)
    cluster.start_server(lost)
    _wait_owns_again(cluster, survivors[0], lost)


def _unavailable_s(callers, killed_s):
    """Return the time from the kill to the first answer to a booking sent after it.

    The time is in seconds; it is `NEVER_S` if there is no answer in `TIMEOUT_S`.
    """
    try:
        wait_until(lambda: callers.served_since(killed_s), TIMEOUT_S)
    except TimeoutError:
        return NEVER_S
    return min(one.done_s for one in callers.since(killed_s) if one.accepted) - killed_s


def _wait_served(cluster, node_ids):
    wait_until(
        lambda: all(
            book(cluster, one, key).accepted for one in node_ids for key in KEYS
        ),
        TIMEOUT_S,
    )


def _wait_owns_again(cluster, observer, node_id):
    """Wait until a restarted node owns a slice, or for a third of `TIMEOUT_S`."""

    def owns():
        slices = cluster.state(observer)["slices"]["booking"]["slices"]
        return any(slice_["owner"] == node_id for slice_ in slices)

    try:
        wait_until(owns, TIMEOUT_S / 3)
    except TimeoutError:
        return


if __name__ == "__main__":
    for figure in run():
        print(f"{figure.name} = {figure.value:.4g} {figure.unit} ({figure.note})")
