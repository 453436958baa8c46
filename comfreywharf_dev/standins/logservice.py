"""A stand-in for the platform's log service: append-only streams with offsets.

The streams are kept in memory and bounded. Switches make the service unavailable or
slow, limit appends per second, shorten the retention, and lose answers after the
write took effect. See docs/interfaces-log-service.md for the protocol.
"""

from collections import defaultdict, deque

import attrs
import gevent
import orjson
from absl import logging
from cyclopts import App
from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.records import encode_record
from comfreywharf_dev.standins.wsgi import Answer, serve_forever

__all__ = ["LogService", "Switches"]

MAX_RECORDS = 200_000
MAX_RECORD_BYTES = 256 * 1024
MAX_BATCH_RECORDS = 500


@attrs.define(kw_only=True)
class Switches:
    """The present faults and limits of the service.

    ``lose_answers`` counts the appends that are still to be written but not answered.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    appends_per_s: float = 400.0
    retention_records: int = MAX_RECORDS
    retention_s: float = float("inf")


class _Stream:
    """Records with consecutive offsets, the oldest of which expire."""

    def __init__(self):
        self.first = 0
        self.records = deque()
        self.times_s = deque()
        self.record_appended = Event()

    @property
    def next(self):
        return self.first + len(self.records)

    def append(self, data, now_s):
        offset = self.next
        self.records.append(data)
        self.times_s.append(now_s)
        self.wake()
        return offset

    def wake(self):
        """Wake the readers that wait for a record."""
        self.record_appended.set()
        self.record_appended.clear()

    def trim(self, keep, since_s):
        """Drop the oldest records beyond ``keep``, and those before ``since_s``."""
        while self.records and (len(self.records) > keep or self.times_s[0] < since_s):
            self.records.popleft()
            self.times_s.popleft()
            self.first += 1


class LogService:
    """The service as a WSGI application."""

    def __init__(self, clock=boottime_s):
        self.switches = Switches()
        self._streams = defaultdict(_Stream)
        self._clock = clock
        self._tokens = self.switches.appends_per_s
        self._refilled_s = clock()
        self.appends = 0
        self.reads = 0
        self.refused_appends = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def __call__(self, request):
        """Answer one request."""
        if request.path == "/switches":
            return self._set_switches(request)
        if request.path == "/stats":
            return Answer(200, self._stats())
        if self.switches.slow_s:
            gevent.sleep(self.switches.slow_s)
        if self.switches.down:
            return Answer(503, {"error": "log service is down"})
        if not request.path.startswith("/streams/"):
            return Answer(404, {"error": "expected /streams/NAME"})
        stream = self._streams[request.path.removeprefix("/streams/")]
        if request.method == "POST":
            return self._append(stream, request)
        return self._read(stream, request)

    def _stats(self):
        return {
            "appends": self.appends,
            "refused_appends": self.refused_appends,
            "reads": self.reads,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }

    def first(self, name):
        """Return the oldest kept offset of a stream."""
        return self._streams[name].first

    def next(self, name):
        """Return the offset after a stream's newest record."""
        return self._streams[name].next

    def append(self, name, record):
        """Append a record to a stream from within this process."""
        stream = self._streams[name]
        stream.append(encode_record(record), self._clock())
        self._trim(stream)

    def _set_switches(self, request):
        for name, value in orjson.loads(request.read_body()).items():
            if not hasattr(self.switches, name):
                return Answer(400, {"error": f"unknown switch {name}"})
            setattr(self.switches, name, value)
        for stream in self._streams.values():
            self._trim(stream)
            stream.wake()
        return Answer(200, attrs.asdict(self.switches))

    def _trim(self, stream):
        keep = min(self.switches.retention_records, MAX_RECORDS)
        stream.trim(keep, self._clock() - self.switches.retention_s)

    def _append(self, stream, request):
        if not self._take_token():
            self.refused_appends += 1
            return Answer(429, {"error": "too many appends"}, {"Retry-After": "1"})
        data = request.read_body()
        if len(data) > MAX_RECORD_BYTES:
            return Answer(413, {"error": f"record over {MAX_RECORD_BYTES} bytes"})
        offset = stream.append(data, self._clock())
        self._trim(stream)
        self.appends += 1
        self.bytes_in += len(data)
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            return Answer(None)
        return Answer(200, {"offset": offset})

    def _take_token(self):
        now_s = self._clock()
        rate = self.switches.appends_per_s
        self._tokens = min(rate, self._tokens + (now_s - self._refilled_s) * rate)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _read(self, stream, request):
        self.reads += 1
        start = int(request.query.get("from", "0"))
        limit = min(int(request.query.get("limit", "100")), MAX_BATCH_RECORDS)
        wait_s = min(int(request.query.get("wait_ms", "0")), 30_000) / 1000
        if start >= stream.next and wait_s:
            stream.record_appended.wait(wait_s)
            if self.switches.down:
                return Answer(503, {"error": "log service is down"})
        self._trim(stream)
        bounds = {"first": stream.first, "next": stream.next}
        if start < stream.first:
            return Answer(410, {"error": "truncated", **bounds})
        begin = start - stream.first
        chosen = [
            stream.records[index]
            for index in range(begin, min(begin + limit, len(stream.records)))
        ]
        self.bytes_out += sum(map(len, chosen))
        texts = [data.decode("utf-8") for data in chosen]
        return Answer(200, {**bounds, "records": texts})


app = App(name="standin-log", help="A stand-in for the platform's log service.")


@app.default
def run(*, host: str = "127.0.0.1", port: int):
    """Serve until the process is stopped."""
    logging.info("stand-in log service on %s:%d", host, port)
    serve_forever(host, port, LogService())


if __name__ == "__main__":
    app()
