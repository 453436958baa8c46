"""The findings about an invalid settings file are enough to correct it."""

from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from comfreywharf.settings import Address, read_document, read_settings
from comfreywharf.settings.document import Document, parse_text
from comfreywharf.settings.tests.builders import (
    INVALID_VALUES,
    VALID,
    line_of,
    with_inserted,
    with_line,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
KEYS = sorted(INVALID_VALUES)
OPTIONAL = {
    *("stream", "seeds", "lease_ms", "drift_per_mille"),
    *("memory_mb", "connections", "requests"),
    *("choose_by_load", "fleet_admission", "place_by_work"),
}
REQUIRED = sorted(set(KEYS) - OPTIONAL)


@pytest.fixture(scope="module")
def read(tmp_path_factory):
    path = tmp_path_factory.mktemp("settings") / "node.ini"

    def read_text(text):
        path.write_text(text, encoding="utf-8")
        return read_settings(path)

    return read_text


def positions(result):
    return {(finding.line, finding.key) for finding in result.failure()}


def test_a_valid_file_gives_typed_values(read):
    """A valid file gives typed values, including those with continuation lines."""
    settings = read(VALID).unwrap()
    assert settings.node_id == "booking-1"
    assert settings.log == Address("10.20.0.5", 9200)
    assert settings.seeds[1] == Address("10.20.3.11", 7101)
    assert settings.drift_per_mille == 5
    assert settings.caller_memory_mb == 64
    assert (settings.caller_connections, settings.caller_requests) == (1000, 400)
    assert settings.choose_by_load
    assert settings.fleet_admission is True
    assert settings.place_by_work is True


@pytest.mark.parametrize("name", ["riga-node.ini", "ahmedabad-node.ini"])
def test_examples_are_valid(name):
    """The example files have no findings."""
    assert isinstance(read_settings(EXAMPLES / name), Success)


@given(data=st.data())
@settings(derandomize=True, deadline=None)
def test_wrong_value_is_found_at_its_line(read, data):
    """Each invalid value is a finding at its own line, however many there are."""
    keys = data.draw(st.lists(st.sampled_from(KEYS), min_size=1, unique=True))
    text = VALID
    expected = set()
    for key in keys:
        line = line_of(text, key)
        value = data.draw(st.sampled_from(INVALID_VALUES[key]))
        text = with_line(text, line, f"{key} = {value}")
        if key == "seeds":
            text = with_line(text, line + 1, "")
        expected.add((line, key))
    found = read(text)
    # A port may be equal to another port that was changed; then one of the two
    # findings is at the other port.
    ports = {position for position in expected if position[1].endswith("_port")}
    assert expected - ports <= positions(found)
    assert bool(ports) == any(key.endswith("_port") for _, key in positions(found))


@given(
    key=st.sampled_from(KEYS),
    position=st.integers(0, 20),
    letter=st.sampled_from("xyz_"),
)
@settings(derandomize=True, deadline=None)
def test_mistyped_key_is_found_with_a_suggestion(read, key, position, letter):
    """A mistyped key is a finding at its line that suggests the valid key."""
    line = line_of(VALID, key)
    position = min(position, len(key))
    mistyped = key[:position] + letter + key[position:]
    result = read(
        with_line(VALID, line, VALID.splitlines()[line - 1].replace(key, mistyped, 1))
    )
    [finding] = [f for f in result.failure() if f.key == mistyped]
    assert finding.line == line
    assert f"did you mean {key!r}" in finding.expected or len(key) < 3
    assert (key in REQUIRED) == any(f.key == key for f in result.failure())


@given(key=st.sampled_from(KEYS), value=st.sampled_from(["1", "riga"]))
@settings(derandomize=True, deadline=None)
def test_repeated_key_is_found_at_the_second_line(read, key, value):
    """A key that is set twice is a finding at the second line."""
    line = line_of(VALID, key)
    result = read(with_inserted(VALID, line, f"{key} = {value}"))
    assert (line + 1, key) in positions(result)


@pytest.mark.parametrize(
    "line, section, key",
    [
        ("[cluster", "log", ""),
        ("just words", "log", ""),
        ("[node]", "node", ""),
        ("[clusters]", "clusters", ""),
        ("[DEFAULT]", "DEFAULT", ""),
    ],
)
def test_syntax_error_is_found_beside_others(read, line, section, key):
    """A line with a syntax error hides no finding at another line."""
    text = with_line(VALID, line_of(VALID, "caller_port"), "caller_port = 0")
    number = line_of(text, "stream") + 1
    result = read(with_line(text, number, line))
    assert (line_of(text, "caller_port"), "caller_port") in positions(result)
    assert (number, section, key) in {
        (f.line, f.section, f.key) for f in result.failure()
    }


@pytest.mark.parametrize("data", [None, b"\xff\xfe", b"x" * (1 << 21), b""])
def test_an_unusable_file_is_a_failure(tmp_path, data):
    """A file that is missing, not text, too large or empty is a `Failure`."""
    path = tmp_path / "node.ini"
    if data is not None:
        path.write_bytes(data)
    assert isinstance(read_settings(path), Failure)


def test_node_as_its_own_only_seed_is_found(read):
    """A node that could never find a peer is a finding."""
    line = line_of(VALID, "seeds")
    text = with_line(VALID, line, "seeds = 10.20.1.11:7101")
    assert (line, "seeds") in positions(read(with_line(text, line + 1, "")))


@given(st.text("ab=[]: \n#\t;\rx", max_size=60))
@settings(derandomize=True, deadline=None, max_examples=500)
def test_each_parsed_value_has_its_line_number(text):
    """Any text is parsed or refused, and each value has its line."""
    document = Document(path="any")
    parse_text(document, text)
    lines = text.split("\n")
    for section in document.sections.values():
        for key, entry in section.entries.items():
            assert key in lines[entry.line - 1].lower()
            assert entry.value.split("\n")[0] in lines[entry.line - 1]
    assert read_document("/nonexistent").findings
