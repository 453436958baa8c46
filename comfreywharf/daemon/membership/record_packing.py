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

_HEADER = struct.Struct(">qI")


class RecordPackingError(ValueError):
    """The bytes aren't records packed by `pack_records`."""


def pack_records(records):
    """Return ``(offset, data)`` pairs as bytes.

    >>> unpack_records(pack_records([(7, b"a"), (8, b"bc")]))
    [(7, b'a'), (8, b'bc')]
    """
    parts = []
    for offset, data in records:
        parts += (_HEADER.pack(offset, len(data)), data)
    return zlib.compress(b"".join(parts), FASTEST_LEVEL)


def unpack_records(packed):
    """Return the ``(offset, data)`` pairs; raises `RecordPackingError`."""
    unpacked = _decompress(packed)
    records, position = [], 0
    while position < len(unpacked):
        if position + _HEADER.size > len(unpacked):
            raise RecordPackingError(
                f"found {len(unpacked) - position} bytes; expected a record header"
            )
        offset, size = _HEADER.unpack_from(unpacked, position)
        position += _HEADER.size
        if position + size > len(unpacked):
            raise RecordPackingError(
                f"record {offset} is truncated; expected {size} bytes"
            )
        records.append((offset, unpacked[position : position + size]))
        position += size
    return records


def _decompress(packed):
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise RecordPackingError(str(error)) from error
    if not decompressor.eof:
        raise RecordPackingError(
            f"truncated, or more than {MAX_UNPACKED_BYTES} bytes unpacked"
        )
    return unpacked
