"""The exit codes and messages of the tool if no node is running."""

import pytest

from comfreywharf.cli.main import run
from comfreywharf.cli.output import table

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


def test_numbers_are_right_aligned_and_empty_cells_are_dashes():
    """Numbers are right-aligned, and an empty cell is shown as a dash."""
    text = table(["node", "slices", "log"], [["a", 12, ""], ["booking-1", 3, True]])
    assert text.splitlines() == [
        "node       slices  log",
        "a              12  -",
        "booking-1       3  yes",
    ]
