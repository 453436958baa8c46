"""Find the nodes of a fleet whose metrics stand out from those of the others."""

from statistics import median

import attrs

__all__ = ["Deviation", "Outlier", "find_outliers"]

STANDS_OUT = 3.0
"""The distance from the median from which on a figure stands out, in spreads."""

SPREAD_OF_MEDIAN_DEVIATION = 1.4826
"""The standard deviation of normally distributed values, in their median absolute
deviations."""


@attrs.frozen(kw_only=True)
class Deviation:
    """A figure of a node that stands out.

    ``distance`` is how far it is above the median, in spreads of the fleet; at least
    `STANDS_OUT`.
    """

    measure: str
    unit: str
    figure: float
    fleet_median: float
    distance: float


@attrs.frozen(kw_only=True)
class Outlier:
    """A node with the figures that stand out, the most distant first."""

    node_id: str
    deviations: list[Deviation]


def find_outliers(pages, measures, most):
    """Return at most ``most`` `Outlier` objects, the most distant first.

    A figure stands out if it is above the fleet's median by three times the spread
    of the fleet, which is estimated by the median absolute deviation so that a few
    bad nodes don't widen it, and by what is noticeable in the measure.
    """
    found = {page.node_id: [] for page in pages}
    for measure in measures:
        for node_id, deviation in _deviations(measure, pages):
            found[node_id].append(deviation)
    outliers = [
        Outlier(
            node_id=node_id,
            deviations=sorted(deviations, key=lambda each: -each.distance),
        )
        for node_id, deviations in found.items()
        if deviations
    ]
    outliers.sort(key=lambda each: (-each.deviations[0].distance, each.node_id))
    return outliers[:most]


def _deviations(measure, pages):
    """Yield the id of each node whose figure stands out, and the `Deviation`."""
    known = [
        (page.node_id, figure)
        for page, figure in zip(pages, measure.figures(pages), strict=True)
        if figure is not None
    ]
    if not known:
        return
    middle = median(figure for _, figure in known)
    spread = SPREAD_OF_MEDIAN_DEVIATION * median(
        abs(figure - middle) for _, figure in known
    )
    bound = max(STANDS_OUT * spread, measure.noticeable)
    for node_id, figure in known:
        excess = figure - middle
        if excess >= bound:
            yield (
                node_id,
                Deviation(
                    measure=measure.name,
                    unit=measure.unit,
                    figure=figure,
                    fleet_median=middle,
                    distance=STANDS_OUT * excess / bound,
                ),
            )
