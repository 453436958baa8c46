"""The most recent encoded records, kept in order to send them to peers."""

from collections import deque

__all__ = ["RecentRecords"]

MAX_RECORDS = 4096
MAX_BYTES = 8 << 20


class RecentRecords:
    """The most recent consecutive records, bounded in number and bytes.

    >>> recent = RecentRecords()
    >>> recent.add(5, b"a"); recent.add(6, b"b")
    >>> recent.since(6, max_bytes=100), recent.since(4, max_bytes=100)
    ([(6, b'b')], None)
    """

    def __init__(self, max_records=MAX_RECORDS, max_bytes=MAX_BYTES):
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records = deque()
        self._bytes = 0
        self.first = 0

    @property
    def next(self):
        """Return the offset after the last kept record."""
        return self.first + len(self._records)

    def add(self, offset, data):
        """Add a record; if it doesn't follow the last one, remove the others first."""
        if offset != self.next:
            self.start_at(offset)
        self._records.append(data)
        self._bytes += len(data)
        while len(self._records) > self._max_records or self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft())
            self.first += 1

    def start_at(self, offset):
        """Drop all records, and continue with that at an offset."""
        self._records.clear()
        self._bytes = 0
        self.first = offset

    def since(self, offset, max_bytes):
        """Return ``[(offset, data)]`` from an offset on, or ``None``.

        ``None`` means that the records from ``offset`` on aren't kept. The first
        record is returned whatever its size, and others while all of them fit
        into ``max_bytes``.
        """
        if not self.first <= offset <= self.next:
            return None
        chosen = []
        for index in range(offset - self.first, len(self._records)):
            data = self._records[index]
            max_bytes -= len(data)
            if chosen and max_bytes < 0:
                break
            chosen.append((self.first + index, data))
        return chosen
