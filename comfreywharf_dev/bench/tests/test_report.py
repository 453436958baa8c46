"""Tests of the report: broken bounds, changes, markup, plots and failed runs."""

import pytest

from comfreywharf_dev.bench import report
from comfreywharf_dev.bench.figures import Bound, Comparison, Figure, check_figures
from comfreywharf_dev.bench.tests.builders import record_of

BOUND = {"cost_ratio": Bound(limit=1.6, comparison=Comparison.AT_MOST)}


@pytest.fixture
def template():
    return report.TEMPLATE.read_text(encoding="utf-8")


def path_cost(value):
    figures = [Figure(name="cost_ratio", value=value, unit="ratio", note="<of> two")]
    return record_of("path_cost", check_figures("path_cost", figures, BOUND))


def test_broken_bounds_are_listed_before_the_first_section(template):
    """Only a figure that breaks its bound is named before the first section."""
    broken_head, _, _ = report.render([path_cost(2.0)], {}, template).partition("<h2>")
    passing_head, _, _ = report.render([path_cost(1.5)], {}, template).partition("<h2>")
    assert "path_cost.cost_ratio" in broken_head
    assert "path_cost.cost_ratio" not in passing_head


def test_changes_are_relative_to_the_committed_figures(template):
    """Twice the committed value is shown as a change of +100%."""
    committed = {"path_cost": {"cost_ratio": 0.75}}
    assert "+100%" in report.render([path_cost(1.5)], committed, template)


def test_notes_are_escaped(template):
    """Notes of figures are escaped in the page."""
    page = report.render([path_cost(1.5)], {}, template)
    assert "&lt;of&gt;" in page
    assert "<of>" not in page


def test_placement_figures_become_plots_by_deployment_and_measure(template):
    """Each deployment and measure has one plot with a bar for each policy."""
    names = [
        f"{deployment}_rush{policy}_{measure}"
        for deployment in ("riga", "ahmedabad")
        for policy in ("", "_at_once", "_hash_ring")
        for measure in ("imbalance", "churn")
    ]
    figures = [Figure(name=name, value=1.2, unit="ratio") for name in names]
    record = record_of("placement", check_figures("placement", figures, {}))
    page = report.render([record], {}, template)
    assert page.count("<svg") == 4
    assert page.count("consistent hashing") == 4


def test_a_failed_run_does_not_replace_committed_figures():
    """A benchmark that ended in an error doesn't replace committed figures."""
    failed = {**path_cost(1.5), "error": "OSError", "judged": []}
    committed = {"path_cost": {"cost_ratio": 1.4}}
    assert report.values_of([failed], committed) == committed
