"""The exit codes and messages of the tool if no node is running."""

import orjson
import pytest

from comfreywharf.cli.main import run
from comfreywharf.cli.output import table
from comfreywharf.fleet.tests.builders import page_text

DOWN_NODE = "127.0.0.1:1"


@pytest.mark.parametrize(
    "tokens, code, message",
    [
        (["staus"], 2, 'Did you mean "status"'),
        (["status"], 2, "--node"),
        (["status", "--node", "wharf:7102"], 2, "IP-NUMBER:PORT"),
        (["status", "--node", DOWN_NODE, "--timeout-s", "nan"], 2, "at most 600"),
        (["status", "--node", DOWN_NODE], 3, DOWN_NODE),
        (["owner", "", "--service", "b", "--node", DOWN_NODE], 2, "KEY"),
        (["config", "submit", "x.ini", "--node", DOWN_NODE], 2, "--base"),
        (["config", "submit", "x.ini", "--base", "0", "--node", DOWN_NODE], 2, "x.ini"),
        (["config", "outcome", "r", "--base", "x", "--node", DOWN_NODE], 2, "--base"),
        (["outliers"], 2, "--node"),
        (["outliers", "--node", DOWN_NODE], 3, DOWN_NODE),
        (["outliers", "none.txt"], 2, "none.txt"),
        (["outliers", "--most", "0", "--node", DOWN_NODE], 2, "at least 1"),
    ],
)
def test_bad_input_and_unreachable_nodes_have_exit_codes_and_messages(
    capsys, monkeypatch, tokens, code, message
):
    """Bad input exits with 2, an unreachable node with 3, each with a message."""
    monkeypatch.delenv("COMFREYWHARF_NODE", raising=False)
    assert run(tokens) == code
    assert message in capsys.readouterr().err


def test_all_findings_of_a_file_are_printed(capsys, tmp_path):
    """All findings of an invalid file are printed, and no node is queried."""
    path = tmp_path / "services.ini"
    path.write_text("[service booking]\nslice = 4\nchurn_weight = -1\n")
    arguments = ["config", "submit", str(path), "--base", "0", "--node", DOWN_NODE]
    assert run(arguments) == 2
    error = capsys.readouterr().err
    assert f"{path}:2: [service booking] slice: found 'slice'" in error
    assert f"{path}:3: [service booking] churn_weight: found '-1'" in error
    assert "2 findings" in error


def write_pages(path, **texts):
    """Write metric pages of a fleet, some with texts of their own; return the files."""
    ordinary = {f"n{number}": page_text() for number in range(12)}
    files = []
    for node_id, text in {**ordinary, **texts}.items():
        files.append(path / f"{node_id}.txt")
        files[-1].write_text(text, encoding="utf-8")
    return [str(file) for file in files]


def test_outliers_are_shown_with_their_figures(capsys, tmp_path):
    files = write_pages(tmp_path, old=page_text(routes_age_s=4.0))
    assert run(["outliers", *files]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "13 nodes"
    assert lines[2].split() == ["old", "age", "of", "the", "routes", "4", "0.2", "s"]
    assert run(["outliers", "--json", *files]) == 1
    (found,) = orjson.loads(capsys.readouterr().out)["outliers"]
    assert found["node_id"] == "old"
    assert found["deviations"][0]["figure"] == 4.0


def test_a_page_that_cant_be_read_is_named_and_the_others_are_compared(
    capsys, tmp_path
):
    """Guards against a fleet that looks sound since a page could not be read."""
    files = write_pages(tmp_path, torn="comfreywharf_fold_offset{")
    assert run(["outliers", *files]) == 3
    captured = capsys.readouterr()
    assert "12 nodes: none stands out" in captured.out
    assert "torn: its metrics are missing" in captured.err


def test_numbers_are_right_aligned_and_empty_cells_are_dashes():
    """Numbers are right-aligned, and an empty cell is shown as a dash."""
    text = table(["node", "slices", "log"], [["a", 12, ""], ["booking-1", 3, True]])
    assert text.splitlines() == [
        "node       slices  log",
        "a              12  -",
        "booking-1       3  yes",
    ]
