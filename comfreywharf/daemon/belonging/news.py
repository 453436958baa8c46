"""Records of the log as nodes pass them on to each other: compressed.

An assignment of all slices is one record of tens of kilobytes. A relay passes it on to
many members at once, and on a slow link the last of them would have it after the time
that they wait for an answer, ask the next relay, and fill its link as well.
"""

import struct
import zlib

__all__ = ["MAX_NEWS_BYTES", "NewsError", "pack_records", "unpack_records"]

MAX_NEWS_BYTES = 4 << 20
"""What is unpacked at the most, above all that one answer may hold."""

FASTEST_LEVEL = 1

_HEAD = struct.Struct(">qI")


class NewsError(ValueError):
    """Bytes that aren't records as a peer packs them."""


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
    """Return the ``(offset, data)`` pairs; raises `NewsError`."""
    plain = _decompress(packed)
    records, place = [], 0
    while place < len(plain):
        if place + _HEAD.size > len(plain):
            raise NewsError(f"found {len(plain) - place} bytes; expected a head")
        offset, size = _HEAD.unpack_from(plain, place)
        place += _HEAD.size
        if place + size > len(plain):
            raise NewsError(f"record {offset} is cut: expected {size} bytes")
        records.append((offset, plain[place : place + size]))
        place += size
    return records


def _decompress(packed):
    expander = zlib.decompressobj()
    try:
        plain = expander.decompress(packed, MAX_NEWS_BYTES)
    except zlib.error as error:
        raise NewsError(str(error)) from error
    if not expander.eof:
        raise NewsError(f"cut, or more than {MAX_NEWS_BYTES} bytes unpacked")
    return plain
