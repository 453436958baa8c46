"""Print a comparison: ``python -m comfreywharf_dev.comparisons [--seconds S]``."""

from cyclopts import App

from comfreywharf.load import ByReportedLoad, TwoChoices
from comfreywharf.routing import RouteLimits
from comfreywharf_dev.comparisons.call_loads import CALL_LOADS
from comfreywharf_dev.comparisons.calls import CallWay, simulate_calls

__all__ = ["CALL_WAYS", "app"]

FACTORS = (1.0, 1.3)
"""The rates of a load as they are, and in a burst."""

CALL_WAYS = (
    CallWay(
        name="near first",
        answers="servers of one speed that have room: each call stays in its domain",
    ),
    CallWay(
        name="two choices",
        answers="servers that differ in speed, where domains are as good as one",
        make_chooser=TwoChoices,
    ),
    CallWay(
        name="pass on once",
        answers="queues of some servers while others are idle, at few more sends",
        passes=1,
    ),
    CallWay(
        name="pass on early",
        answers="the same with deadlines shorter than a queue; twice the sends",
        passes=2,
        wait_fraction=0.1,
    ),
    CallWay(
        name="pass on",
        answers="clumps and slow spells at servers that are nearly always full",
        passes=RouteLimits().passes,
        wait_fraction=RouteLimits().max_wait_fraction,
    ),
    CallWay(
        name="by load",
        answers="uneven servers whose replies come often; passed on as above",
        passes=RouteLimits().passes,
        wait_fraction=RouteLimits().max_wait_fraction,
        make_chooser=ByReportedLoad,
        reports_load=True,
    ),
)

HEADINGS = (
    "served",
    "thrown away",
    "uploads",
    "mean in s",
    "sends",
    "far",
    "imbalance",
)

app = App(name="comparisons", help="Compare ways to place calls between services.")


def figures(load, outcomes):
    """Return the figures of a row, in the order of the headings."""
    requests = outcomes.runs * load.calls_each + outcomes.uploads
    return (
        outcomes.runs_served / outcomes.runs,
        outcomes.thrown_away,
        outcomes.uploads_served / outcomes.uploads,
        sum(outcomes.answers_s) / len(outcomes.answers_s),
        outcomes.sends / requests,
        outcomes.far_sends / outcomes.sends,
        outcomes.imbalance,
    )


@app.default
def compare(*, seconds: float = 6.0):
    """Play each way on each load, and print a table.

    ``served`` and ``thrown away`` are fractions of the runs that make calls, ``mean``
    the time until an answer, ``sends`` per request, ``far`` those to another domain.

    Parameters
    ----------
    seconds
        The simulated time of each play.
    """
    for way in CALL_WAYS:
        print(f"{way.name}: {way.answers}")
    print(f"\n{'':44}" + "".join(f"{heading:>12}" for heading in HEADINGS))
    for load in CALL_LOADS:
        for factor in FACTORS:
            for way in CALL_WAYS:
                outcomes = simulate_calls(load, way, factor=factor, seconds=seconds)
                row = "".join(f"{value:12.3f}" for value in figures(load, outcomes))
                print(f"{load.name:<20} x {factor:<4} {way.name:<16}{row}")


if __name__ == "__main__":
    app()
