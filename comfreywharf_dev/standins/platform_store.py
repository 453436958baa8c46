"""A stand-in for the platform's store: its log calls, with injectable faults."""

import base64
import struct
from urllib.parse import parse_qs

import gevent
import orjson
from gevent import pywsgi
from gevent.event import Event

__all__ = ["PlatformStore"]

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
UNANSWERED_S = 60.0


class _Topic:
    """One partition: records from offset ``first`` on, and the newest of each key."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.first = 0
        self.records = []
        self.newest = {}
        self._expired_newest = {}
        self.changed = Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records):
        offset = self.end
        for data in records:
            self._add(data)
        changed, self.changed = self.changed, Event()
        changed.set()
        return offset

    def _add(self, data):
        if self.keyed:
            key, value = data[1 : 1 + data[0]].decode(), data[1 + data[0] :]
            if value:
                self.newest[key] = (value, self.end)
            else:
                self.newest.pop(key, None)
        self.records.append(data)

    def expire(self):
        """Drop the records, but keep the newest of each key."""
        self._expired_newest = dict(self.newest)
        self.first, self.records = self.end, []

    def go_back(self, count):
        """Drop the last records, as if they had never been appended."""
        kept = self.records[: max(0, len(self.records) - count)]
        self.newest, self.records = dict(self._expired_newest), []
        for data in kept:
            self._add(data)


class PlatformStore:
    """Serve the store's calls on a port of loopback.

    ``fault`` is ``""``, ``"busy"`` (503), ``"silent"`` (no answer) or ``"lost"``
    (appends are applied but not answered). ``calls`` counts the requests. Each answer
    has the ``extra_headers``, and names the ``era`` unless it is ``None``.
    """

    def __init__(self):
        self.fault = ""
        self.calls = 0
        self.extra_headers = []
        self.era = 1
        self._topics = {}
        self._server = pywsgi.WSGIServer(("127.0.0.1", 0), self._answer, log=None)

    def start(self):
        """Start listening."""
        self._server.start()

    @property
    def port(self):
        """Return the port it listens on."""
        return self._server.server_port

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0)

    def topic(self, name):
        """Return a topic; create it on first use."""
        if name not in self._topics:
            self._topics[name] = _Topic(name.startswith("keyed."))
        return self._topics[name]

    def put(self, name, key, document):
        """Write a keyed record as the operator does."""
        value = orjson.dumps(document)
        self.topic(name).append([bytes([len(key)]) + key.encode() + value])

    def remove(self, name, key):
        """Drop a key as the operator does, by a record without a value."""
        self.topic(name).append([bytes([len(key)]) + key.encode()])

    def expire_records(self, name):
        """Drop a topic's records, but keep the newest of each key."""
        self.topic(name).expire()

    def go_back(self, **counts):
        """Come back from an older copy: lose each topic's last records.

        ``counts`` are by topic, with ``_`` in place of dots.
        """
        self.era += 1
        for name, count in counts.items():
            self.topic(name.replace("_", ".")).go_back(count)

    def _answer(self, environ, start_response):
        def start_with_extra_headers(status, headers):
            era = [] if self.era is None else [("Store-Era", str(self.era))]
            start_response(status, headers + self.extra_headers + era)

        return self._answer_call(environ, start_with_extra_headers)

    def _answer_call(self, environ, start_response):
        self.calls += 1
        if self.fault == "busy":
            return _respond(start_response, 503, b"")
        if self.fault == "silent":
            gevent.sleep(UNANSWERED_S)
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        topic = self.topic(query["topic"])
        call = environ["PATH_INFO"]
        if call == "/-/log-append":
            if int(query.get("at", topic.end)) != topic.end:
                fields = {"endPosition": topic.end}
                return _respond(start_response, 412, orjson.dumps(fields))
            return self._append(topic, environ["wsgi.input"].read(), start_response)
        if call == "/-/log-read":
            return _read(topic, query, start_response)
        if call == "/-/log-newest":
            return _newest(topic, start_response)
        return _respond(start_response, 404, b"")

    def _append(self, topic, body, start_response):
        offset = topic.append(_parse_records(body))
        if self.fault == "lost":
            gevent.sleep(UNANSWERED_S)
        fields = {"offset": offset, "endPosition": topic.end}
        return _respond(start_response, 200, orjson.dumps(fields))


def _parse_records(body):
    records, position = [], 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records


def _read(topic, query, start_response):
    start = int(query["from"])
    if not topic.first <= start <= topic.end:
        fields = {"firstOffset": topic.first}
        return _respond(start_response, 410, orjson.dumps(fields))
    if start >= topic.end:
        topic.changed.wait(int(query.get("waitMs", 0)) / 1000)
    data = [_BOUNDS.pack(topic.end, topic.first)]
    for record in topic.records[max(0, start - topic.first) :]:
        data += [_LENGTH.pack(len(record)), record]
    return _respond(start_response, 200, b"".join(data))


def _newest(topic, start_response):
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (value, offset) in sorted(topic.newest.items())
    ]
    fields = {"items": items, "hasMore": False, "endPosition": topic.end}
    return _respond(start_response, 200, orjson.dumps(fields))


def _respond(start_response, status, body):
    start_response(f"{status} Answer", [("Content-Length", str(len(body)))])
    return [body]
