"""Tests that configuration patches are validated, and refused if they are stale."""

import attrs
import pytest

from comfreywharf.records import (
    ClusterState,
    ConfigPatched,
    Refusal,
    changes_since,
    decode_record,
    encode_record,
    fold,
)
from comfreywharf.records.tests.builders import make_service


def submit(state, record_id, base_version, author="ilze", **services):
    record = ConfigPatched(
        record_id=record_id, base_version=base_version, services=services, author=author
    )
    return fold(state, state.next_offset, record)


def test_only_one_of_two_conflicting_patches_is_accepted():
    """Guard against two conflicting patches that are both reported as accepted.

    Both are based on version 0, and the first one is appended again since its
    answer was lost. The second patch must not be merged, and the repeat must not
    be applied.
    """
    state = ClusterState()
    assert submit(state, "p1", 0, booking=make_service()).accepted
    loser = submit(state, "p2", 0, "dace", booking=make_service(slices=9))
    repeat = submit(state, "p1", 0, booking=make_service())
    assert (loser.refusal, repeat.refusal) == (
        Refusal.STALE_VERSION,
        Refusal.REPEATED,
    )
    assert state.outcomes["p1"].accepted and not state.outcomes["p2"].accepted
    assert (state.config.version, state.config.author) == (1, "ilze")


def test_a_stale_patch_gets_the_changes_since_its_base():
    state = ClusterState()
    submit(state, "p1", 0, booking=make_service(), files=make_service("files"))
    submit(state, "p2", 1, "dace", booking=make_service(queue_length=7), files=None)
    difference = changes_since(state, 1)
    assert (difference.known, difference.version) == (True, 2)
    assert [change.name for change in difference.changes] == ["booking", "files"]
    assert difference.changes[0].fields() == {"queue_length": (256, 7)}
    assert difference.changes[1].after is None
    assert [note.author for note in difference.versions] == ["dace"]
    assert not changes_since(state, 7).known


@pytest.mark.parametrize(
    "fields",
    [
        {"slices": 0},
        {"slices": 16_385},
        {"default_timeout_ms": 0},
        {"default_timeout_ms": 6000},
        {"longest_request_ms": -1},
        {"churn_weight": -0.1},
        {"unavailable_weight": float("nan")},
        {"queue_length": -1},
        {"retry_fraction": 1.5},
        {"max_body_bytes": -1},
        {"name": "files"},
        {"name": ""},
    ],
    ids=str,
)
def test_values_that_are_not_allowed_are_refused(fields):
    """An invalid declaration, which would affect all nodes, never comes into force."""
    state = ClusterState()
    service = attrs.evolve(make_service(), **fields)
    result = submit(state, "p1", 0, booking=service)
    assert result.refusal is Refusal.NOT_ALLOWED
    assert state.config.version == 0 and not state.slices


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"kind":"NodeRemoved"}',
        b'{"kind":["NodeRemoved"],"record_id":"a"}',
        b'{"kind":"NodeRemoved","record_id":"a","node_id":"n","incarnation":"%s"}'
        % (b"9" * 40),
        b'{"kind":"NodeRemoved","record_id":"%s","node_id":"n","incarnation":1}'
        % (b"a" * 129),
    ],
    ids=range(7),
)
def test_invalid_bytes_are_a_failure(data):
    """Any invalid bytes are decoded as a `Failure` instead of raising an error."""
    assert not decode_record(data).value_or(None)


def test_records_are_unchanged_by_encoding_and_decoding():
    record = ConfigPatched(
        record_id="p1",
        base_version=3,
        services={"booking": make_service(), "files": None},
        author="ilze",
    )
    assert decode_record(encode_record(record)).unwrap() == record
