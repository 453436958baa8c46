"""Log lines are parsed into the events that they were formatted from."""

from hypothesis import given, settings, strategies as st

from comfreywharf.events import Event, RateLimit, format_line, parse_line
from comfreywharf.events.lines import MAX_VALUE_CHARACTERS

NAMES = st.from_regex(r"[a-z][a-z0-9_]{0,8}", fullmatch=True)
VALUES = (
    st.text(max_size=MAX_VALUE_CHARACTERS)
    | st.integers()
    | st.booleans()
    | st.none()
    | st.floats(allow_nan=False)
)
FIELDS = st.dictionaries(
    NAMES.filter(lambda name: name not in {"node", "run", "seq", "clock", "repeats"}),
    VALUES,
    max_size=4,
)


@settings(derandomize=True, deadline=None)
@given(name=NAMES, node_id=st.text(max_size=20), fields=FIELDS, repeats=st.integers(0))
def test_lines_with_any_values_are_parsed_back(name, node_id, fields, repeats):
    """Blanks, quotes, line ends and text that looks like a field are preserved."""
    event = Event(
        number=203,
        name=name,
        node_id=node_id,
        incarnation=17,
        sequence=3,
        clock=1 << 50,
        fields=fields,
    )
    line = format_line(event, repeats)
    assert len(line.splitlines()) == 1
    assert parse_line(line).unwrap() == event
    prefix = "I1202 18:57:55.123456 140 node.py:85] "
    assert parse_line(prefix + line + "\n").unwrap() == event


@settings(derandomize=True, deadline=None)
@given(st.text())
def test_lines_without_an_event_raise_no_exception(text):
    """A line without an event gives a `Failure` and raises no exception."""
    for line in (text, f"E203 name {text}", f"E203 name node=n run=1 seq=1 {text}"):
        parse_line(line)


def test_an_outage_does_not_fill_the_console():
    """Frequent events are limited, and rare events of another kind aren't.

    While the log service is down, every attempt to reach it is reported. With a
    line for each attempt, the console of a VM without a disk would be full.
    """
    limit = RateLimit(burst=20, per_s=0.5)
    results = [limit.admit("log_unreachable", now_s / 100) for now_s in range(10_000)]
    written = [count for count in results if count is not None]
    assert len(written) <= 20 + 50
    assert limit.admit("log_gap", 99.9) == 0
    assert limit.take_withheld(100.0, quiet_s=5.0) == []
    withheld = limit.take_withheld(110.0, quiet_s=5.0)
    assert len(written) + sum(written) + withheld[0][1] == 10_000
