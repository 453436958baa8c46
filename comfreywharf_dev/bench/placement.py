"""Imbalance, churn and unavailable time of placement in replays of load traces.

Nothing here reads a clock, so the figures are the same in every run. Some of them
are checked in CI. docs/design/placement.md explains them.
"""

import zlib

import attrs
import numpy as np

from comfreywharf.placement.planning import Switches
from comfreywharf.placement.rebalance import policy_for
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.placement_baselines import (
    immediate_policy,
    replay_hash_ring,
)
from comfreywharf_dev.bench.placement_replay import Replay, ReplayResult
from comfreywharf_dev.bench.placement_traces import (
    AHMEDABAD,
    LARGE,
    RIGA,
    TRACES,
    changing_hot_keys,
    domain_loss,
    hasty_restart,
    wedding_season,
)

__all__ = ["compare", "make_trace", "mechanisms", "no_moves_policy", "run"]

LARGE_DURATION_S = 720.0
LARGE_STEP_S = 5.0
SEEDS = 3


def run():
    """Replay every trace for both deployments, and two traces for 640 nodes."""
    figures = []
    for deployment in (RIGA, AHMEDABAD):
        for build in TRACES:
            figures += compare(deployment, build)
    for build in (changing_hot_keys, domain_loss):
        trace = attrs.evolve(make_trace(LARGE, build), duration_s=LARGE_DURATION_S)
        measured = Replay(trace, step_s=LARGE_STEP_S).run()
        figures += _figures(f"large_{build.__name__}", measured)
    return [*figures, _takeovers_without_notice(), *mechanisms()]


def make_trace(deployment, build, number=0):
    """Return a trace whose seed depends only on deployment, builder and number."""
    seed = zlib.crc32(f"{deployment.name} {build.__name__} {number}".encode())
    return build(deployment, np.random.default_rng(seed))


def compare(deployment, build, seeds=SEEDS):
    """Return figures of the product's policy and of both baselines.

    Each figure is the mean over traces with different seeds.
    """
    traces = [make_trace(deployment, build, number) for number in range(seeds)]
    name = f"{deployment.name}_{build.__name__}"
    product = _mean([Replay(trace).run() for trace in traces])
    immediate = _mean(
        [Replay(trace, make_policy=immediate_policy).run() for trace in traces]
    )
    ring = _mean([replay_hash_ring(trace) for trace in traces])
    return [
        *_figures(name, product),
        Figure(
            name=f"{name}_churn_ratio",
            value=product.churn / immediate.churn,
            unit="ratio",
            note=f"churn {product.churn:.2f} against {immediate.churn:.2f} at once",
        ),
        *_figures(f"{name}_at_once", immediate),
        *_figures(f"{name}_hash_ring", ring),
    ]


def _mean(results):
    columns = zip(*(attrs.astuple(result) for result in results), strict=True)
    return ReplayResult(
        **{
            field.name: sum(column) / len(column)
            for field, column in zip(attrs.fields(ReplayResult), columns, strict=True)
        }
    )


def _figures(name, measured):
    values = {
        "imbalance": (measured.imbalance_mean, "ratio"),
        "imbalance_p95": (measured.imbalance_p95, "ratio"),
        "churn": (measured.churn, "share of load"),
        "moves": (measured.moves, "moves"),
        "takeovers": (measured.takeovers, "takeovers"),
        "unavailable": (measured.unavailable_s, "s"),
    }
    return [
        Figure(name=f"{name}_{key}", value=float(value), unit=unit)
        for key, (value, unit) in values.items()
    ]


def mechanisms():
    """Return a figure with and without each of several mechanisms."""
    coarse = attrs.evolve(RIGA, service=attrs.evolve(RIGA.service, slices=16))
    return [
        *_with_and_without(
            "pinning",
            make_trace(coarse, changing_hot_keys),
            "imbalance_mean",
            switches=Switches(resize=False),
        ),
        *_with_and_without(
            "rebalancing",
            make_trace(RIGA, wedding_season),
            "imbalance_mean",
            make_policy=no_moves_policy,
        ),
        *_with_and_without(
            "spread_standbys",
            make_trace(AHMEDABAD, domain_loss),
            "imbalance_max",
            switches=Switches(spread_standbys=False),
        ),
        *_with_and_without(
            "warm_up",
            make_trace(RIGA, hasty_restart),
            "unavailable_s",
            switches=Switches(warm_up=False),
        ),
    ]


def _takeovers_without_notice():
    """Return the takeovers after a domain's loss if the planner isn't notified."""
    trace = attrs.evolve(make_trace(LARGE, domain_loss), duration_s=400.0)
    off = Replay(
        trace, step_s=LARGE_STEP_S, switches=Switches(detect_takeovers=False)
    ).run()
    return Figure(
        name="large_domain_loss_takeovers_unnoticed",
        value=float(off.takeovers),
        unit="takeovers",
    )


def no_moves_policy(service):
    """Return a policy that never moves slices for balance."""
    return attrs.evolve(policy_for(service), trigger=float("inf"))


def _with_and_without(name, trace, field, **off):
    """Return a result of a replay with a mechanism, and without it.

    ``off`` are the arguments of `Replay` that disable the mechanism.
    """
    with_mechanism = getattr(Replay(trace).run(), field)
    without = getattr(Replay(trace, **off).run(), field)
    return [
        Figure(name=f"{name}_on_{field}", value=float(with_mechanism), unit=""),
        Figure(name=f"{name}_off_{field}", value=float(without), unit=""),
    ]
