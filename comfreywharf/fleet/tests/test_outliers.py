"""The nodes whose metrics stand out are found, and in what they do."""

import pytest

from comfreywharf.fleet import MEASURES, PageError, find_outliers, read_page
from comfreywharf.fleet.tests.builders import page_text

FLEET = 40


def fleet(**texts):
    """Return the pages of a fleet in which some nodes have texts of their own."""
    ordinary = {f"n{number}": page_text() for number in range(FLEET)}
    return [read_page(node_id, text) for node_id, text in {**ordinary, **texts}.items()]


def names_by_node(pages, most=10):
    """Return the measures in which each node stands out."""
    return {
        outlier.node_id: [deviation.measure for deviation in outlier.deviations]
        for outlier in find_outliers(pages, MEASURES, most)
    }


def test_no_node_of_a_uniform_fleet_stands_out():
    """Guards against names that an operator learns to ignore."""
    assert find_outliers(fleet(), MEASURES, 10) == []


@pytest.mark.parametrize(
    ("fields", "measure"),
    [
        ({"routes_age_s": 4.0}, "age of the routes"),
        ({"fold_age_s": 9.0}, "age of the folded log"),
        ({"routes_version": 5}, "versions of the routes behind"),
        ({"config_version": 1}, "versions of the configuration behind"),
        ({"late_s": 0.4}, "lateness of the event loop, p99"),
        ({"refused": 50}, "requests refused"),
        ({"unreachable": 3}, "failures to reach the log"),
        ({"unavailable_s": 2.5}, "slices owned without a lease"),
    ],
)
def test_a_node_stands_out_in_what_is_wrong_with_it(fields, measure):
    assert names_by_node(fleet(bad=page_text(**fields))) == {"bad": [measure]}


def test_a_difference_that_nobody_would_notice_isnt_shown():
    """Guards against a uniform fleet in which the least difference is an outlier."""
    assert names_by_node(fleet(near=page_text(routes_age_s=0.3))) == {}


def test_wide_spreads_widen_what_is_ordinary():
    """Guards against half of a fleet that stands out since it isn't uniform."""
    pages = [
        read_page(f"n{number}", page_text(routes_age_s=0.5 * number))
        for number in range(FLEET)
    ]
    assert names_by_node(pages) == {}


def test_the_most_distant_nodes_come_first_and_others_are_left_out():
    texts = {f"old{age}": page_text(routes_age_s=age) for age in (3, 5, 9)}
    assert list(names_by_node(fleet(**texts), most=2)) == ["old9", "old5"]


def test_a_share_of_few_requests_isnt_compared():
    """Guards against a node that stands out for one refusal of two requests."""
    assert names_by_node(fleet(idle=page_text(answered=1, refused=1))) == {}


@pytest.mark.parametrize("text", ["", "<html>", "go_threads 4\n", 'comfreywharf_x{a="'])
def test_a_text_that_isnt_a_metric_page_is_refused(text):
    """Guards against a node that looks sound since its page could not be read."""
    with pytest.raises(PageError):
        read_page("n1", text)
