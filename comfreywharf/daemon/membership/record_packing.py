"""Compress log records for the exchange between nodes.

The record that assigns all slices of a service has tens of kilobytes. A relay sends it
to many members at once. Uncompressed on a slow link, it would reach the last of them
after their time-out, and they would poll the next relay and overload its link as well.
"""

import struct
import zlib

__all__ = ["MAX_UNPACKED_BYTES", "RecordPackingError", "pack_records", "unpack_records"]

MAX_UNPACKED_BYTES = 4 << 20
"""Limit for unpacked records, above what a valid answer may hold."""

FASTEST_LEVEL = 1

_HEAD = struct.Struct(">qI")


class RecordPackingError(ValueError):
    """The bytes aren't records packed by `pack_records`."""


def pack_records(records):
    """Return ``(offset, data)`` pairs as bytes.

    >>> unpack_records(pack_records([(7, b"a"), (8, b"bc")]))
    [(7, b'a'), (8, b'bc')]
    """
    parts = []
    for offset, data in records:
        parts += (_HEAD.pack(offset, len(data)), data)
    return zlib.compress(b"".join(parts), FASTEST_LEVEL)


def unpack_records(packed):
    """Return the ``(offset, data)`` pairs; raises `RecordPackingError`."""
    plain = _decompress(packed)
    records, place = [], 0
    while place < len(plain):
        if place + _HEAD.size > len(plain):
            raise RecordPackingError(
                f"found {len(plain) - place} bytes; expected a record header"
            )
        offset, size = _HEAD.unpack_from(plain, place)
        place += _HEAD.size
        if place + size > len(plain):
            raise RecordPackingError(
                f"record {offset} is truncated; expected {size} bytes"
            )
        records.append((offset, plain[place : place + size]))
        place += size
    return records


def _decompress(packed):
    expander = zlib.decompressobj()
    try:
        plain = expander.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise RecordPackingError(str(error)) from error
    if not expander.eof:
        raise RecordPackingError(
            f"truncated, or more than {MAX_UNPACKED_BYTES} bytes unpacked"
        )
    return plain
