"""Print a comparison: ``python -m comfreywharf_dev.comparisons [--seconds S]``."""

from cyclopts import App

from comfreywharf.load import ByReportedLoad, TwoChoices
from comfreywharf.routing import RouteLimits
from comfreywharf_dev.comparisons.call_loads import CALL_LOADS
from comfreywharf_dev.comparisons.calls import (
    CALL_RANK,
    UPLOAD_RANK,
    CallWay,
    simulate_calls,
)

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
    "median in s",
    "99% in s",
    "calls' most",
    "uploads' most",
    "refused at",
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
        outcomes.answer_s(0.5),
        outcomes.answer_s(0.99),
        outcomes.longest_s(CALL_RANK),
        outcomes.longest_s(UPLOAD_RANK),
        outcomes.latest_refusal,
        outcomes.sends / requests,
        outcomes.far_sends / outcomes.sends,
        outcomes.imbalance,
    )


@app.default
def compare(*, seconds: float = 6.0):
    """Play each way on each load, and print a table.

    ``served`` and ``thrown away`` are fractions of the runs that make calls, answered
    before the deadline. ``median`` and ``99%`` are times until an answer, ``most`` the
    longest ones; 99 in 100 of the refused were refused ``at`` that fraction of their
    time or sooner. ``sends`` are per request, ``far`` those to another domain.

    Parameters
    ----------
    seconds
        The simulated time of each play.
    """
    for way in CALL_WAYS:
        print(f"{way.name}: {way.answers}")
    print(f"\n{'':44}" + "".join(f"{heading:>14}" for heading in HEADINGS))
    for load in CALL_LOADS:
        for factor in FACTORS:
            for way in CALL_WAYS:
                outcomes = simulate_calls(load, way, factor=factor, seconds=seconds)
                row = "".join(f"{value:14.3f}" for value in figures(load, outcomes))
                print(f"{load.name:<20} x {factor:<4} {way.name:<16}{row}")


if __name__ == "__main__":
    app()
