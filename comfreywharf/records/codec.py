"""Encode records as JSON, with cattrs and orjson.

The format is JSON with a named kind instead of pickle: records from the log are
untrusted input, and decoding them must never execute code.
"""

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter
from returns.result import Failure, Result, Success

from comfreywharf.records import messages

__all__ = ["RecordError", "converter", "decode_record", "encode_record"]

MAX_RECORD_BYTES = 256 * 1024
MAX_RECORD_ID_CHARS = 128

converter = make_converter()

_KINDS = {
    name: getattr(messages, name)
    for name in messages.__all__
    if isinstance(getattr(messages, name), type)
    and issubclass(getattr(messages, name), messages.Record)
    and name not in ("Record", "UnknownRecord")
}


class RecordError(ValueError):
    """The bytes aren't a valid record; the message says what was found and expected."""


def encode_record(record):
    """Return the bytes of a record.

    >>> encode_record(messages.MoveCompleted(
    ...     record_id="a", service="booking", start=0, epoch=7))
    b'{"kind":"MoveCompleted","record_id":"a","service":"booking","start":0,"epoch":7}'
    """
    return orjson.dumps(
        {"kind": type(record).__name__, **converter.unstructure(record)}
    )


def decode_record(data) -> Result[messages.Record, RecordError]:
    """Return ``Success(record)`` or ``Failure(RecordError)``.

    An unknown kind is decoded as an `UnknownRecord` instead of an error, since a
    record of a newer version must not stop the fold of an older node.
    """
    if len(data) > MAX_RECORD_BYTES:
        return Failure(
            RecordError(f"record of {len(data)} bytes; expected <= {MAX_RECORD_BYTES}")
        )
    try:
        fields = orjson.loads(data)
        kind = fields.pop("kind")
        return Success(_structure(kind, fields))
    except (
        orjson.JSONDecodeError,
        cattrs.BaseValidationError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        return Failure(RecordError(f"not a record: {type(error).__name__}: {error}"))


def _structure(kind, fields):
    record_id = str(fields["record_id"])
    if not 0 < len(record_id) <= MAX_RECORD_ID_CHARS:
        raise ValueError(
            f"record id of {len(record_id)} characters; "
            f"expected 1 to {MAX_RECORD_ID_CHARS}"
        )
    if kind not in _KINDS:
        return messages.UnknownRecord(record_id=record_id, kind=str(kind))
    record = converter.structure(fields, _KINDS[kind])
    # A number given as a long string becomes an integer that can't be encoded
    # as JSON. If it were folded, all later snapshots would fail on each node. A
    # record that can't be encoded again is therefore invalid.
    encode_record(record)
    return record
