"""A log in memory that can come back from an older copy, and its client."""

import attrs

from comfreywharf.daemon.records.logclient import (
    Batch,
    LogClient,
    LogError,
    LogRestored,
    LogTruncated,
)
from comfreywharf.records.positions import era_of, offset_of, position

__all__ = ["BareOffsetClient", "RestorableClient", "RestorableLog"]


@attrs.define
class RestorableLog:
    """Records, and each version of the newest snapshot with the log's length then."""

    era: int = 0
    records: list = attrs.Factory(list)
    snapshots: list = attrs.Factory(list)

    def go_back(self, records, snapshots):
        """Lose the last records and snapshots, and begin another era."""
        self.era += 1
        del self.records[max(0, len(self.records) - records) :]
        del self.snapshots[max(0, len(self.snapshots) - snapshots) :]


class RestorableClient(LogClient):
    """A client of a `RestorableLog`; it raises `LogError` while it is cut off."""

    keeps_newest = True

    def __init__(self, log):
        self._log = log
        self.newest_era = 0
        self.cut = False

    def _check_reachable(self):
        if self.cut:
            raise LogError("cut off")
        self.newest_era = self._era

    @property
    def _era(self):
        return self._log.era

    def append(self, stream, data):
        """Append a record or a snapshot, and return its position."""
        self._check_reachable()
        kept = self._log.snapshots if "snapshots" in stream else self._log.records
        kept.append(data)
        return position(self._era, len(kept) - 1)

    def read(self, stream, start, limit=200, wait_ms=0):
        """Return a `Batch` from a position on."""
        self._check_reachable()
        first = position(self._era, 0)
        if era_of(start) != self._era:
            raise LogRestored(first)
        end = position(self._era, len(self._log.records))
        if start > end:
            raise LogTruncated(first, first)
        records = tuple(self._log.records[offset_of(start) :])
        return Batch(first=first, next=end, records=records)

    def newest_parts(self, stream):
        """Return the newest snapshot, and the position behind it."""
        self._check_reachable()
        end = position(self._era, len(self._log.snapshots))
        return self._log.snapshots[-1:], end

    def replace_newest(self, stream, data, at):
        """Write a snapshot unless one was written after ``at``; return whether so.

        The log compares offsets only. A snapshot that it writes in another era counts
        as not written.
        """
        self._check_reachable()
        if offset_of(at) != len(self._log.snapshots):
            return False
        self._log.snapshots.append(data)
        return era_of(at) == self._era


class BareOffsetClient(RestorableClient):
    """A client to which all eras are the first, as before positions."""

    @property
    def _era(self):
        return 0
