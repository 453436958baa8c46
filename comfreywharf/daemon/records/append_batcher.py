"""Combine records that are appended at nearly the same time into one call."""

import gevent
from gevent.event import AsyncResult

from comfreywharf.daemon.records.logclient import LogError

__all__ = ["AppendBatcher"]

BATCH_WAIT_S = 0.01
"""How long a call waits for more records. A planned move of ten slices results in ten
records of one node within a few milliseconds."""

MAX_RECORDS_PER_BATCH = 64


class _Batch:
    """The records of one call; ``first`` is set to the offset of the first record."""

    def __init__(self):
        self.records = []
        self.first = AsyncResult()


class AppendBatcher:
    """Collect records and append each batch with ``append_all(records)``.

    ``append_all`` returns the offset of the first record, or raises `LogError` for all
    of them. ``appended(offset, data)`` is then called for each record, in order.
    """

    def __init__(self, append_all, appended):
        self._append_all = append_all
        self._appended = appended
        self._open = None

    def append(self, data):
        """Return the offset of a record once it is appended; raises `LogError`."""
        batch = self._open
        if batch is None or len(batch.records) >= MAX_RECORDS_PER_BATCH:
            batch = self._open = _Batch()
            gevent.spawn(self._send, batch)
        index = len(batch.records)
        batch.records.append(data)
        return batch.first.get() + index

    def _send(self, batch):
        gevent.sleep(BATCH_WAIT_S)
        if self._open is batch:
            self._open = None
        try:
            first = self._append_all(batch.records)
        except LogError as error:
            batch.first.set_exception(error)
            return
        for index, data in enumerate(batch.records):
            self._appended(first + index, data)
        batch.first.set(first)
