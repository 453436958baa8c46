"""Builders of run records for the tests of the report."""

import orjson

from comfreywharf_dev.bench.runner import Record

__all__ = ["record_of"]


def record_of(benchmark, judged):
    """Return a record of a run as it is read from its file."""
    record = Record(
        benchmark=benchmark,
        judged=tuple(judged),
        duration_s=1.0,
        load_before=0.5,
        load_after=0.5,
        stolen_fraction=0.0,
        cores=12,
    )
    return orjson.loads(record.encoded())
