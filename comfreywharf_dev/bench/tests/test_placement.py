"""Tests of placement's bounds; the figures are deterministic."""

import attrs
import pytest

from comfreywharf.placement.planning import Switches
from comfreywharf_dev.bench.figures import read_bounds
from comfreywharf_dev.bench.placement import compare, make_trace, no_moves_policy
from comfreywharf_dev.bench.placement_replay import Replay
from comfreywharf_dev.bench.placement_traces import (
    AHMEDABAD,
    RIGA,
    changing_hot_keys,
    domain_loss,
    hasty_restart,
    rolling_restart,
    wedding_season,
)
from comfreywharf_dev.bench.runner import BOUNDS_FOLDER

BOUNDS = read_bounds(BOUNDS_FOLDER, "placement")
SHORT_DURATION_S = 1200.0
COARSE = attrs.evolve(RIGA, service=attrs.evolve(RIGA.service, slices=16))


@pytest.mark.parametrize(
    ("deployment", "build"), [(RIGA, rolling_restart), (AHMEDABAD, domain_loss)]
)
def test_imbalance_and_churn_stay_within_their_bounds(deployment, build):
    """Imbalance is at most 1.25, with at most half the churn of immediate moves."""
    name = f"{deployment.name}_{build.__name__}"
    figures = {f.name: f.value for f in compare(deployment, build, seeds=1)}
    for key in (f"{name}_imbalance", f"{name}_churn_ratio"):
        assert BOUNDS[key].holds(figures[key]), (key, figures[key])


@pytest.mark.parametrize(
    ("name", "field", "deployment", "build", "off"),
    [
        (
            "pinning",
            "imbalance_mean",
            COARSE,
            changing_hot_keys,
            {"switches": Switches(resize=False)},
        ),
        (
            "rebalancing",
            "imbalance_mean",
            RIGA,
            wedding_season,
            {"make_policy": no_moves_policy},
        ),
        (
            "spread_standbys",
            "imbalance_max",
            AHMEDABAD,
            domain_loss,
            {"switches": Switches(spread_standbys=False)},
        ),
        (
            "warm_up",
            "unavailable_s",
            RIGA,
            hasty_restart,
            {"switches": Switches(warm_up=False)},
        ),
    ],
)
def test_bounds_hold_with_each_mechanism_and_break_without_it(
    name, field, deployment, build, off
):
    """A replay is within its bound with a mechanism and breaks it without."""
    trace = attrs.evolve(make_trace(deployment, build), duration_s=SHORT_DURATION_S)
    bound = BOUNDS[f"{name}_on_{field}"]
    assert bound.holds(getattr(Replay(trace).run(), field))
    assert not bound.holds(getattr(Replay(trace, **off).run(), field))
