"""Packing and unpacking of the records that nodes exchange."""

import zlib

import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.daemon.membership.record_packing import (
    MAX_UNPACKED_BYTES,
    RecordPackingError,
    pack_records,
    unpack_records,
)
from comfreywharf.membership.relay_tree import FANOUT
from comfreywharf.records import SliceMove, SlicesMoved, encode_record

SLOW_LINK_BYTES_PER_S = 625_000
RELAY_TIMEOUT_S = 0.9


def assignment(slices=400, nodes=76):
    """Return the record that first assigns all slices of a service."""
    moves = tuple(
        SliceMove(
            service="booking",
            start=number * 163,
            base_epoch=0,
            owner=f"sidecar-agenskalns-{number % nodes}",
            standby=f"sidecar-purvciems-{(number + 1) % nodes}",
        )
        for number in range(slices)
    )
    return encode_record(SlicesMoved(record_id="a" * 32, term=1, moves=moves))


def test_an_assignment_of_all_slices_reaches_all_members_of_a_relay_in_time():
    """Guards against members that time out while their relay sends to others."""
    packed = pack_records([(offset, assignment()) for offset in range(2)])
    assert FANOUT * len(packed) / SLOW_LINK_BYTES_PER_S < RELAY_TIMEOUT_S / 4


RECORDS = st.lists(st.tuples(st.integers(-1, 2**62), st.binary(max_size=300)))


@settings(derandomize=True)
@given(RECORDS)
def test_unpacking_returns_the_packed_records(records):
    """No record is lost, and their order is kept."""
    assert unpack_records(pack_records(records)) == records


@settings(derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 400))
def test_damaged_bytes_raise_an_error(data, cut):
    """Guards against bytes of a peer that end the greenlet that polls it."""
    packed = pack_records([(1, data)])
    for damaged in (packed[: min(cut, len(packed) - 1)], data):
        with pytest.raises(RecordPackingError):
            unpack_records(damaged)


def test_too_many_unpacked_bytes_raise_an_error():
    """Guards against a small answer that fills a node's memory when unpacked."""
    with pytest.raises(RecordPackingError):
        unpack_records(zlib.compress(bytes(MAX_UNPACKED_BYTES + 1)))
