"""Tests that the capacity page is computed from the stored slopes."""

import orjson
import pytest

from comfreywharf_dev.bench import capacity


@pytest.fixture
def measured():
    return orjson.loads(capacity.MEASURED.read_bytes())


@pytest.fixture
def template():
    return capacity.TEMPLATE.read_text(encoding="utf-8")


def test_committed_page_matches_the_committed_slopes(measured, template):
    """The committed page matches the committed slopes."""
    page = capacity.render(measured, template)
    assert capacity.PAGE.read_text(encoding="utf-8") == page


def test_a_changed_slope_changes_the_page(measured, template):
    """The page depends on the slopes; otherwise it would match any slopes."""
    page = capacity.render(measured, template)
    measured["path_cost"]["figures"]["owner_us"]["value"] *= 2
    assert capacity.render(measured, template) != page


def test_a_missing_figure_raises_key_error(measured, template):
    """A figure that is no longer measured raises `KeyError`."""
    del measured["state_size"]["figures"]["slice_bytes"]
    with pytest.raises(KeyError, match="slice_bytes"):
        capacity.render(measured, template)


def test_a_failed_run_does_not_replace_stored_figures(tmp_path, measured):
    """A run that ended in an error doesn't replace the stored figures."""
    failed = {"error": "OSError", "judged": []}
    (tmp_path / "path_cost.json").write_bytes(orjson.dumps(failed))
    assert (
        capacity.take(measured, tmp_path, note="")["path_cost"]
        == (measured["path_cost"])
    )
