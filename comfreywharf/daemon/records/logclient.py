"""The client of the platform's log service, over HTTP."""

import attrs
import gevent
import orjson
from geventhttpclient.response import HTTPParseError

from comfreywharf.daemon.connections.http import SingleSendClient

__all__ = [
    "Batch",
    "LogBusy",
    "LogClient",
    "LogError",
    "LogRestored",
    "LogTraffic",
    "LogTruncated",
    "complete_at_s",
]

DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
CONCURRENCY = 8
MAX_ANSWER_BYTES = 128 * 1024 * 1024
"""More than a batch of the largest records, in JSON."""


WAITED_FRACTION = 0.9
"""Fraction of the requested wait that an empty answer is assumed to have waited."""


def complete_at_s(sent_s, wait_s, has_records):
    """Return the latest time at which the answer to a read was surely complete.

    ``sent_s`` is when the read was sent and ``wait_s`` how long it was to wait for a
    record. An empty answer means that there was no new record until the wait ended.

    >>> complete_at_s(10.0, 1.0, has_records=True), complete_at_s(10.0, 1.0, False)
    (10.0, 10.9)
    """
    return sent_s if has_records else sent_s + WAITED_FRACTION * wait_s


class LogError(Exception):
    """The log service gave no valid answer; an append may have taken effect."""


class LogBusy(LogError):
    """The log service refused an append for now; it may be retried later."""

    def __init__(self, retry_after_s):
        super().__init__(f"busy; retry after {retry_after_s:g} s")
        self.retry_after_s = retry_after_s


class LogTruncated(LogError):
    """The requested records have expired.

    ``first`` is the oldest retained offset, ``next`` the one after the newest.
    """

    def __init__(self, first, next_):
        super().__init__(f"truncated; first kept offset is {first}")
        self.first = first
        self.next = next_


class LogRestored(LogTruncated):
    """The log has come back from an older copy, and gives offsets out again.

    What was appended after that copy is gone. ``first`` is the position of the oldest
    retained record in the new era.
    """

    def __init__(self, first):
        super().__init__(first, first)


@attrs.frozen(kw_only=True)
class Batch:
    """Records read from a stream, with the stream's bounds."""

    first: int
    next: int
    records: tuple[bytes, ...]


@attrs.define
class LogTraffic:
    """Counts of calls to the log service by kind, and of bytes in their bodies."""

    calls: dict = attrs.Factory(lambda: {"append": 0, "read": 0})
    size_bytes: dict = attrs.Factory(lambda: {"sent": 0, "received": 0})

    def count_call(self, method, body):
        """Count a call, and the bytes of its body."""
        self.calls["append" if method == "POST" else "read"] += 1
        self.size_bytes["sent"] += len(body)

    def count_answer(self, data):
        """Count the bytes of an answer's body."""
        self.size_bytes["received"] += len(data)


class LogClient:
    """Append to and read from streams of the log service.

    A subclass whose ``keeps_newest`` is true has two more methods.
    ``newest_parts(stream)`` returns the parts of the newest snapshot, however old, and
    their position; ``replace_newest(stream, data, position)`` replaces them unless a
    snapshot was written since.
    """

    keeps_newest = False
    newest_era = 0
    """The highest era of the log that is known. It rises when the log loses records."""

    takes_batches = False
    """Whether ``append_all(stream, records)`` appends several records at once."""

    def __init__(self, host, port, timeout_s=2.0):
        self._host = host
        self._port = port
        self._timeout_s = timeout_s
        self.traffic = LogTraffic()
        self._reader = self._make_client()
        self._writer = self._make_client()

    def _make_client(self):
        return SingleSendClient(
            self._host,
            self._port,
            concurrency=CONCURRENCY,
            connect_timeout_s=self._timeout_s,
        )

    def append(self, stream, data):
        """Append a record and return its offset.

        Raises `LogBusy` if the service refused the record, and `LogError` if it is
        unknown whether it took effect.
        """
        status, fields, headers = self._call(
            self._writer, "POST", f"/streams/{stream}", data, self._timeout_s
        )
        if status == 429:
            raise LogBusy(_retry_after_s(headers))
        if status != 200:
            raise LogError(f"append: status {status}")
        return self._field(fields, "offset")

    def read(self, stream, start, limit=200, wait_ms=0):
        """Return a `Batch` from offset ``start`` on; wait for a first record.

        Raises `LogTruncated` if the records at ``start`` have expired.
        """
        uri = f"/streams/{stream}?from={start}&limit={limit}&wait_ms={wait_ms}"
        timeout_s = self._timeout_s + wait_ms / 1000
        status, fields, _ = self._call(self._reader, "GET", uri, b"", timeout_s)
        if status == 410:
            raise LogTruncated(
                self._field(fields, "first"), self._field(fields, "next")
            )
        if status != 200:
            raise LogError(f"read: status {status}")
        texts = self._field(fields, "records")
        return Batch(
            first=self._field(fields, "first"),
            next=self._field(fields, "next"),
            records=tuple(text.encode("utf-8") for text in texts),
        )

    def bounds(self, stream):
        """Return a stream's ``(first, next)`` offsets."""
        try:
            batch = self.read(stream, 0, limit=1)
        except LogTruncated as error:
            return error.first, error.next
        return batch.first, batch.next

    def _call(self, client, method, uri, body, timeout_s):
        response = None
        self.traffic.count_call(method, body)
        try:
            with gevent.Timeout(timeout_s):
                response = client.request(method, uri, body)
                data = response.read_whole(MAX_ANSWER_BYTES)
            self.traffic.count_answer(data)
            fields = orjson.loads(data) if data else {}
            return response.status_code, fields, response
        except gevent.Timeout as error:
            raise LogError(f"{method}: no answer in {timeout_s} s") from error
        except (OSError, HTTPParseError, orjson.JSONDecodeError) as error:
            raise LogError(f"{method}: {error}") from error
        finally:
            if response is not None:
                response.release()

    @staticmethod
    def _field(fields, name):
        if not isinstance(fields, dict) or name not in fields:
            raise LogError(f"answer without {name!r}")
        return fields[name]


def _retry_after_s(headers):
    """Return the seconds of Retry-After, or the default if it isn't a number."""
    text = headers.get("Retry-After", "")
    try:
        return min(max(float(text), 0.0), MAX_RETRY_AFTER_S)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
