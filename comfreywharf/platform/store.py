"""The client of the platform's store, and the record log in the store."""

import base64
import struct

import attrs
import gevent
import orjson
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.connections.http import SingleSendClient
from comfreywharf.daemon.records.logclient import (
    Batch,
    LogBusy,
    LogError,
    LogRestored,
    LogTraffic,
    LogTruncated,
)
from comfreywharf.platform.eras import EraTracker
from comfreywharf.platform.unknown_names import MessageKind
from comfreywharf.records.positions import era_of, offset_of, position

__all__ = ["NewestValues", "Store", "StoreLog", "TopicRecords"]

CALL_TIMEOUT_S = 1.0
"""An answer takes about 4 ms. This timeout detects a connection that has gone silent;
the next call opens another one."""

CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""More than the largest page or batch that a call asks for."""

CONCURRENCY = 8
BUSY_PAUSE_S = 0.3
SNAPSHOT_SUFFIX = ".snapshots"

_BOUNDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


@attrs.frozen
class TopicRecords:
    """Records read from a topic, with the positions of its end and first record."""

    end: int
    first: int
    data: tuple[bytes, ...]


@attrs.frozen
class NewestValues:
    """The newest value of each key of a topic, and the position of the topic's end."""

    values: dict
    end: int


class Store:
    """Calls to the store; each raises `LogError` if there is no usable answer.

    Where the store speaks of offsets, these calls speak of positions, which hold the
    store's era; see `comfreywharf.records.positions`.
    """

    def __init__(self, address):
        self.traffic = LogTraffic()
        self.unknown_names = None
        self.eras = EraTracker()
        make = SingleSendClient
        settings = {"concurrency": CONCURRENCY, "connect_timeout_s": CONNECT_TIMEOUT_S}
        self._client = make(address.host, address.port, **settings)

    def append(self, topic, records, at=None):
        """Append records to a topic, all or none; return the first one's position.

        With an ``at``, they are appended only if the topic ends at this position;
        otherwise ``None`` is returned. It is also returned if the store has lost
        records since: the topic may then end at the same offset with other records.
        """
        body = b"".join(_LENGTH.pack(len(data)) + data for data in records)
        target = f"/-/log-append?topic={topic}&part=0"
        if at is not None:
            target += f"&at={offset_of(at)}"
        status, answer, era = self._call("POST", target, body, CALL_TIMEOUT_S)
        if status == 412 and at is not None:
            return None
        if status != 200:
            raise LogError(f"append to the store: status {status}")
        if at is not None and era != era_of(at):
            return None
        return position(era, _field(answer, "offset"))

    def append_keyed(self, topic, key, value, at=None):
        """Append a value that becomes the newest of its key; see `append`."""
        name = key.encode("ascii")
        return self.append(topic, [bytes([len(name)]) + name + value], at)

    def read(self, topic, start, wait_s, max_kb=1024):
        """Return the `TopicRecords` from a position on.

        If there is no record yet, wait up to ``wait_s`` for one. Raises `LogTruncated`
        if the records have expired, `LogRestored` if ``start`` is of an earlier era.
        """
        target = (
            f"/-/log-read?topic={topic}&part=0&from={offset_of(start)}"
            f"&waitMs={int(wait_s * 1000)}&maxKb={max_kb}"
        )
        status, data, era = self._call("GET", target, b"", CALL_TIMEOUT_S + wait_s)
        if era < era_of(start):
            raise LogError(f"read from the store: an answer of its earlier era {era}")
        if status == 410:
            first = position(era, _field(data, "firstOffset"))
            if era > era_of(start):
                raise LogRestored(first)
            raise LogTruncated(first, first)
        if status != 200:
            raise LogError(f"read from the store: status {status}")
        found = _records(data, era)
        if era > era_of(start):
            raise LogRestored(found.first)
        return found

    def newest(self, topic):
        """Return the `NewestValues` of a topic; its name begins with ``keyed.``."""
        values, after, end = {}, "", 0
        while True:
            target = f"/-/log-newest?topic={topic}&part=0"
            if after:
                target += f"&after={after}"
            status, data, era = self._call("GET", target, b"", CALL_TIMEOUT_S)
            if status != 200:
                raise LogError(f"read of newest values: status {status}")
            # The pages aren't a consistent snapshot: records appended after the
            # first page was read are read from its end position on.
            if not after:
                end = position(era, _field(data, "endPosition"))
            elif era != era_of(end):
                raise LogError("the store lost records between two pages")
            for item in _field(data, "items"):
                values[item["key"]] = base64.b64decode(item["value"])
                after = item["key"]
            if not _field(data, "hasMore"):
                return NewestValues(values, end)

    def _call(self, method, target, body, timeout_s):
        response = None
        self.traffic.count_call(method, body)
        try:
            with gevent.Timeout(timeout_s):
                response = self._client.request(method, target, body)
                data = response.read_whole(MAX_ANSWER_BYTES)
            self.traffic.count_answer(data)
            if self.unknown_names is not None:
                names = response.header_names
                self.unknown_names.check(MessageKind.STORE_ANSWER, names)
        except gevent.Timeout as error:
            raise LogError(
                f"{method} to the store: no answer in {timeout_s} s"
            ) from error
        except (OSError, RuntimeError, HTTPParseError) as error:
            raise LogError(f"{method} to the store: {error}") from error
        finally:
            if response is not None:
                response.release()
        era = self.eras.era_of(response)
        if response.status_code in (429, 503, 507):
            raise LogBusy(BUSY_PAUSE_S)
        return response.status_code, data, era


def _field(data, name):
    try:
        return orjson.loads(data)[name]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise LogError(f"the store's answer has no field {name!r}") from error


def _records(data, era):
    if len(data) < _BOUNDS.size:
        raise LogError("the store's read answer has fewer than 16 bytes")
    end, first = _BOUNDS.unpack_from(data)
    found = []
    offset = _BOUNDS.size
    while offset + _LENGTH.size <= len(data):
        (size,) = _LENGTH.unpack_from(data, offset)
        offset += _LENGTH.size
        if offset + size > len(data):
            raise LogError("the store's read answer ends within a record")
        found.append(data[offset : offset + size])
        offset += size
    return TopicRecords(position(era, end), position(era, first), tuple(found))


class StoreLog:
    """A `LogClient` that keeps the record log in the store.

    Records are in a single partition of a topic, so that all nodes fold them in the
    same order. Snapshots are in a topic that keeps the newest value of each key.
    """

    keeps_newest = True
    takes_batches = True

    def __init__(self, store):
        self._store = store

    @property
    def newest_era(self):
        """Return the highest era that an answer of the store has named."""
        return self._store.eras.latest or 0

    @property
    def traffic(self):
        """Return the `LogTraffic` with the store, of all parts of the node."""
        return self._store.traffic

    def append(self, stream, data):
        """Append a record or a part of a snapshot, and return its position."""
        if stream.endswith(SNAPSHOT_SUFFIX):
            return self._store.append_keyed(_topic(stream), "newest", data)
        return self.append_all(stream, [data])

    def append_all(self, stream, records):
        """Append several records at once and return the position of the first."""
        return self._store.append(stream, records)

    def read(self, stream, start, limit=200, wait_ms=0):
        """Return a `Batch` from a position on; wait up to ``wait_ms`` for a record."""
        found = self._store.read(stream, start, wait_ms / 1000)
        return Batch(first=found.first, next=found.end, records=found.data)

    def newest_parts(self, stream):
        """Return ``(parts, position)`` of the newest snapshot."""
        newest = self._store.newest(_topic(stream))
        return newest.values.values(), newest.end

    def replace_newest(self, stream, data, position):
        """Write a snapshot unless one was written after ``position``.

        Return whether it was written.
        """
        topic = _topic(stream)
        return self._store.append_keyed(topic, "newest", data, position) is not None


def _topic(stream):
    return f"keyed.{stream}"
