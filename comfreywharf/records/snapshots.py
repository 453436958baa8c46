"""Snapshots: a complete state, divided into parts that fit into log records.

A snapshot is a document of JSON lines, one for each section of the state, that is
compressed and divided into parts. Each part has the id of the snapshot, its own
number and the digest of the whole, so that parts which are missing, repeated, out
of order or mixed with those of another writer can be distinguished.
"""

import binascii
import hashlib
import zlib
from collections import OrderedDict

import attrs
import cattrs
import orjson
from returns.result import Failure, Result, Success

from comfreywharf.records.codec import RecordError, converter
from comfreywharf.records.services import Configuration
from comfreywharf.records.slices import Slice, SliceMap
from comfreywharf.records.state import ClusterState, FoldOutcome, Member

__all__ = [
    "SnapshotAssembler",
    "SnapshotPart",
    "decode_part",
    "encode_sections",
    "encode_snapshot",
    "make_parts",
]

FORMAT = 1
"""The version of the document format; documents of other versions are ignored."""

PART_BYTES = 160 * 1024
"""Compressed bytes in a part; encoded as base64 in JSON, a part is below 256 KB."""

SECTION_ITEMS = 256
"""How many members, slices or outcomes one line has at most."""

MAX_PARTS = 256
MAX_DOCUMENT_BYTES = 256 << 20
MAX_INCOMPLETE = 16
"""How many incomplete snapshots are kept while their parts arrive."""


@attrs.frozen(kw_only=True)
class SnapshotPart:
    """One part of a snapshot.

    ``offset`` is the `ClusterState.next_offset` of the state, ``digest`` the
    SHA-256 of all parts' data together, in hexadecimal.
    """

    snapshot_id: str
    offset: int
    part: int
    parts: int
    digest: str
    data: bytes


def encode_sections(state):
    """Yield the compressed document in chunks, one for each line.

    The state must not change meanwhile; see `ClusterState.copy`. The caller may
    yield to other tasks between two chunks: with tens of thousands of slices,
    encoding the whole document takes longer than a request may wait.
    """
    compressor = zlib.compressobj(level=6)
    for kind, items in _sections(state):
        line = orjson.dumps({"kind": kind, "items": converter.unstructure(items)})
        yield compressor.compress(line + b"\n")
    yield compressor.flush()


def make_parts(blob, snapshot_id, offset, part_bytes=PART_BYTES):
    """Return the encoded `SnapshotPart` records of a compressed document."""
    digest = hashlib.sha256(blob).hexdigest()
    starts = range(0, len(blob), part_bytes)
    return [
        _encode_part(
            SnapshotPart(
                snapshot_id=snapshot_id,
                offset=offset,
                part=number,
                parts=len(starts),
                digest=digest,
                data=blob[start : start + part_bytes],
            )
        )
        for number, start in enumerate(starts)
    ]


def encode_snapshot(state, snapshot_id, part_bytes=PART_BYTES):
    """Return all encoded parts of a state at once."""
    blob = b"".join(encode_sections(state))
    return make_parts(blob, snapshot_id, state.next_offset, part_bytes)


def decode_part(data) -> Result[SnapshotPart, RecordError]:
    """Return ``Success(SnapshotPart)`` or ``Failure(RecordError)``."""
    try:
        fields = orjson.loads(data)
        if fields["kind"] != "SnapshotPart":
            raise ValueError(f"kind {fields['kind']!r}; expected 'SnapshotPart'")
        part = SnapshotPart(
            snapshot_id=str(fields["snapshot_id"]),
            offset=int(fields["offset"]),
            part=int(fields["part"]),
            parts=int(fields["parts"]),
            digest=str(fields["digest"]),
            data=binascii.a2b_base64(fields["data"], strict_mode=True),
        )
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise ValueError(f"part {part.part} of {part.parts}")
    except (ValueError, KeyError, TypeError) as error:
        return Failure(RecordError(f"not a part of a snapshot: {error}"))
    return Success(part)


class SnapshotAssembler:
    """Collect parts, in any order, and keep the newest complete state.

    >>> assembler = SnapshotAssembler()
    >>> for data in encode_snapshot(ClusterState(next_offset=7), "a"):
    ...     assembler.add(data)
    >>> assembler.newest.next_offset
    7
    """

    def __init__(self):
        self.newest = None
        self._incomplete = OrderedDict()

    def add(self, data):
        """Add an encoded part; bytes that aren't a valid part are ignored."""
        decoded = decode_part(data)
        if isinstance(decoded, Failure):
            return
        part = decoded.unwrap()
        if self.newest is not None and part.offset <= self.newest.next_offset:
            return
        # The digest is part of the key, so that the parts of a writer that
        # crashed, restarted and wrote other contents under the same id aren't
        # mixed with its earlier ones.
        key = (part.snapshot_id, part.offset, part.parts, part.digest)
        parts = self._incomplete.setdefault(key, {})
        parts[part.part] = part.data
        if len(parts) == part.parts:
            del self._incomplete[key]
            self._finish(part, parts)
        while len(self._incomplete) > MAX_INCOMPLETE:
            self._incomplete.popitem(last=False)

    def _finish(self, part, parts):
        blob = b"".join(parts[number] for number in range(part.parts))
        if hashlib.sha256(blob).hexdigest() != part.digest:
            return
        state = _decode_document(blob)
        if state is not None and state.next_offset == part.offset:
            self.newest = state


def _encode_part(part):
    fields = attrs.asdict(part)
    fields["data"] = binascii.b2a_base64(part.data, newline=False).decode("ascii")
    return orjson.dumps({"kind": "SnapshotPart", **fields})


def _sections(state):
    head = {
        "format": FORMAT,
        "next_offset": state.next_offset,
        "planner_id": state.planner_id,
        "planner_term": state.planner_term,
        "snapshot_offset": state.snapshot_offset,
        "lineage": state.lineage,
    }
    yield "head", [head]
    yield "config", [state.config]
    for config in state.config_history:
        yield "history", [config]
    yield from _in_chunks("members", list(state.members.values()))
    for name, slice_map in state.slices.items():
        yield from _in_chunks(f"slices {name}", slice_map.slices)
    yield from _in_chunks("outcomes", list(state.outcomes.items()))


def _in_chunks(kind, items):
    for start in range(0, len(items), SECTION_ITEMS):
        yield kind, items[start : start + SECTION_ITEMS]


def _decode_document(blob):
    """Return the state, or ``None`` if the document is invalid or of another format."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(blob, MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            return None
        lines = [orjson.loads(line) for line in document.splitlines()]
        head = lines[0]["items"][0]
        if head.pop("format") != FORMAT:
            return None
        state = ClusterState(**head)
        for line in lines[1:]:
            _load_section(state, line["kind"], line["items"])
    except (
        zlib.error,
        orjson.JSONDecodeError,
        cattrs.BaseValidationError,
        KeyError,
        IndexError,
        TypeError,
        ValueError,
    ):
        return None
    for slice_map in state.slices.values():
        slice_map.index()
    return state


def _load_section(state, kind, items):
    if kind == "config":
        state.config = converter.structure(items[0], Configuration)
    elif kind == "history":
        state.config_history.append(converter.structure(items[0], Configuration))
    elif kind == "members":
        for member in converter.structure(items, list[Member]):
            state.members[member.node_id] = member
    elif kind.startswith("slices "):
        name = kind.removeprefix("slices ")
        slice_map = state.slices.setdefault(name, SliceMap([]))
        slice_map.slices += converter.structure(items, list[Slice])
    elif kind == "outcomes":
        for record_id, outcome in items:
            state.outcomes[record_id] = converter.structure(outcome, FoldOutcome)
    else:
        raise ValueError(f"unknown section {kind!r}")
