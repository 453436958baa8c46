"""Builders of heartbeats, valid and damaged."""

import orjson
from hypothesis import strategies as st

__all__ = ["VALID_FIELDS", "damaged_reports", "report"]

VALID_FIELDS = {
    "service": "booking",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemaining": "0ms",
    "sequence": 4,
    "born": 1_000,
}

_OTHER_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=12),
    st.lists(st.integers(0, 9), max_size=2),
    st.dictionaries(st.sampled_from(["a", "born"]), st.integers(0, 9), max_size=2),
)


def report(**changed):
    """Return the bytes of a valid heartbeat with some fields changed."""
    return orjson.dumps({**VALID_FIELDS, **changed})


@st.composite
def damaged_reports(draw):
    """Draw a heartbeat with changes to its fields, and then to its bytes.

    The result may still be valid, for example with one text in place of another or
    without any change.
    """
    fields = dict(VALID_FIELDS)
    for name in draw(st.lists(st.sampled_from(sorted(VALID_FIELDS)), max_size=3)):
        if draw(st.booleans()):
            fields.pop(name, None)
        else:
            fields[name] = draw(_OTHER_VALUES)
    body = bytearray(orjson.dumps(fields))
    for _ in range(draw(st.integers(0, 3))):
        start = draw(st.integers(0, max(0, len(body) - 1)))
        replacement = draw(st.binary(max_size=3))
        body[start : start + draw(st.integers(0, 4))] = replacement
    cut = draw(st.integers(0, len(body)))
    return bytes(body if draw(st.booleans()) else body[:cut])
