"""A sound upstream on raw sockets, with a few ways to be a faulty one."""

import contextlib
import struct
import time

import attrs
import gevent
import orjson
from gevent import socket
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

__all__ = ["Request", "Upstream", "common_holds", "read_message"]

HEARTBEAT_S = 0.87


@attrs.define
class Request:
    """A request as the upstream read it."""

    method: str
    target: str
    headers: dict
    body: bytes
    number: int = 0
    """Which request on its connection it is."""

    @property
    def id(self):
        """Return the id of the consumer's attempt."""
        return self.headers.get("x-attempt-id", "")


@attrs.define
class _Held:
    first: int
    last: int
    fence: int
    until_s: float


def read_message(read_line, read):
    """Return ``(first line, headers, body)``; raises `EOFError` where it breaks off."""
    line, headers = read_head(read_line)
    return line, headers, read_body(headers, read_line, read)


def read_head(read_line):
    """Return ``(first line, headers)``; raises `EOFError` where it breaks off."""
    line = read_line()
    if not line:
        raise EOFError
    headers = {}
    while True:
        field = read_line()
        if not field:
            raise EOFError
        if not field.strip():
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


def read_body(headers, read_line, read):
    """Return the body that follows a head; raises `EOFError` where it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            line = read_line()
            if not line:
                raise EOFError
            size = int(line.split(b";")[0], 16)
            if not size:
                while read_line().strip():
                    pass
                return b"".join(parts)
            part = read(size)
            if len(part) != size or read_line() != b"\r\n":
                raise EOFError
            parts.append(part)
    length = int(headers.get("content-length", 0))
    body = read(length) if length else b""
    if len(body) != length:
        raise EOFError
    return body


class Upstream:
    """An application upstream: slots, grants, releases, heartbeats, a list of runs.

    ``work(request)`` returns ``(status, headers, body)`` after the work, and is called
    once an upstream begins to run the request. ``refuses(request)`` tells whether the
    upstream refuses a request with ``X-Not-Executed``. ``repeats(request, answer)``
    tells whether an answer comes a second time, late, in front of the next answer of
    its connection. ``early(request)`` tells whether it works on a request, and answers
    it, before it has read the body.
    """

    def __init__(self, instance, service, record, work, slots=12, sharded=False):
        self.instance = instance
        self.service = service
        self.runs = []
        self.begins = []
        self.holds = []
        self._history = []
        self.refuses = lambda request: False
        self.repeats = lambda request, answer: False
        self.early = lambda request: False
        self.state = "ready"
        self._record = record
        self._work = work
        self._slots = slots
        self._free = BoundedSemaphore(slots)
        self._sharded = sharded
        self._fences = {}
        self._highest = [-1] * 65536
        self._busy = {}
        self._socks = set()
        self._sequence = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._heartbeats = None

    @property
    def port(self):
        """Return the port that it listens on."""
        return self._server.server_port

    def start(self, control_port, zone):
        """Listen, and send heartbeats to the node's ``control`` port."""
        self._server.start()
        self._heartbeats = gevent.spawn(self._beat, control_port, zone)

    def stop(self):
        """Stop at once."""
        if self._heartbeats is not None:
            self._heartbeats.kill()
        self._server.stop(timeout=0)

    def reset_connections(self):
        """Reset all connections to it; it goes on."""
        for sock in list(self._socks):
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)

    def left_s(self, key):
        """Return for how long it still holds a key."""
        ends_s = [h.until_s for h in self.holds if h.first <= key <= h.last]
        return max(ends_s, default=0.0) - time.monotonic()

    def holds_key(self, key):
        """Return whether it holds a key now."""
        now_s = time.monotonic()
        return any(h.first <= key <= h.last and now_s < h.until_s for h in self.holds)

    def _beat(self, control_port, zone):
        while True:
            self._sequence += 1
            body = orjson.dumps(
                {
                    "service": self.service,
                    "address": f"127.0.0.1:{self.port}",
                    "zone": zone,
                    "version": "v1",
                    "slots": self._slots,
                    "state": self.state,
                    "coldRemaining": "0ms",
                    "sequence": self._sequence,
                }
            )
            head = (
                f"POST /-/instances/{self.instance}/heartbeat HTTP/1.1\r\nHost: x\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(1.0):
                address = ("127.0.0.1", control_port)
                with socket.create_connection(address) as sock:
                    sock.sendall(head.encode() + body)
                    sock.recv(4096)
            gevent.sleep(HEARTBEAT_S)

    def _serve(self, sock, address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socks.add(sock)
        file = sock.makefile("rb")
        number, repeated = 0, b""
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                line, headers = read_head(file.readline)
                method, target, _ = line.split(" ")
                number += 1
                request = Request(method, target, headers, b"", number)
                is_early = self.early(request)
                if not is_early:
                    request.body = read_body(headers, file.readline, file.read)
                if repeated:
                    self._record.line(f"{self.instance} sends an extra answer")
                    sock.sendall(repeated)
                    repeated = b""
                answer, is_plain = self._answer(request)
                sock.sendall(answer)
                if is_early:
                    request.body = read_body(headers, file.readline, file.read)
                if is_plain and self.repeats(request, answer):
                    repeated = answer
        self._socks.discard(sock)
        sock.close()

    def _answer(self, request):
        """Return the bytes of the answer, and whether it is one to a request."""
        if request.target == "/health":
            return _bytes(200, [("X-Instance-Id", self.instance)], b""), False
        if request.target == "/-/grant":
            return self._grant(orjson.loads(request.body)), False
        if request.target == "/-/release":
            return self._release(orjson.loads(request.body)), False
        headers = [("X-Attempt-Id", request.id), ("X-Instance-Id", self.instance)]
        if request.headers.get("x-target-instance", self.instance) != self.instance:
            return _bytes(421, headers, b""), True
        not_run = [*headers, ("X-Not-Executed", "1")]
        if not request.id:
            return _bytes(400, not_run, b""), True
        key = int(request.headers.get("x-shard-key", -1))
        if self._sharded and not self.holds_key(key):
            return _bytes(421, not_run, b""), True
        if self.refuses(request):
            return _bytes(503, not_run, b""), True
        with self._free:
            self.runs.append(request)
            self.begins.append((time.monotonic(), key))
            self._record.line(
                f"{self.instance} runs {request.id} {request.method} {request.target}"
                f" body {len(request.body)}"
            )
            self._busy[request.id] = key
            try:
                status, more, body = self._work(request)
            finally:
                self._busy.pop(request.id, None)
        return _bytes(status, [*headers, *more], body), True

    def _grant(self, fields):
        first, last, fence = fields["from"], fields["to"], fields["fence"]
        if max(self._highest[first : last + 1]) > fence:
            return _bytes(409, [], b"{}")
        self._highest[first : last + 1] = [fence] * (last - first + 1)
        text = fields["hold_time"]
        hold_s = float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
        self._drop(first, last)
        self.holds.append(_Held(first, last, fence, time.monotonic() + hold_s))
        self._note_holds()
        return _bytes(200, [], b"{}")

    def _release(self, fields):
        first, last = fields["from"], fields["to"]
        self._drop(first, last)
        while any(first <= key <= last for key in self._busy.values()):
            gevent.sleep(0.005)
        return _bytes(200, [("X-Handover", f"{self.instance}-{first}")], b"{}")

    def _drop(self, first, last):
        now_s, kept = time.monotonic(), []
        for held in self.holds:
            if held.until_s <= now_s:
                continue
            if held.first < first:
                kept.append(attrs.evolve(held, last=min(held.last, first - 1)))
            if held.last > last:
                kept.append(attrs.evolve(held, first=max(held.first, last + 1)))
        self.holds = kept
        self._note_holds()

    def _note_holds(self):
        self._history.append((time.monotonic(), list(self.holds)))

    def held_times(self, key):
        """Return ``[begin, end, fence]`` of each time in which it has held a key."""
        found = []
        ends_s = [since_s for since_s, _ in self._history[1:]] + [time.monotonic()]
        for (since_s, holds), end_s in zip(self._history, ends_s, strict=True):
            for held in holds:
                until_s = min(end_s, held.until_s)
                if not held.first <= key <= held.last or until_s <= since_s:
                    continue
                if found and since_s <= found[-1][1] and found[-1][2] == held.fence:
                    found[-1][1] = max(found[-1][1], until_s)
                else:
                    found.append([since_s, until_s, held.fence])
        return found


def common_holds(upstreams, key):
    """Yield ``(one, other, begin, end, fences)`` where two upstreams held a key."""
    times = [
        (upstream, held) for upstream in upstreams for held in upstream.held_times(key)
    ]
    times.sort(key=lambda entry: entry[1][0])
    for number, (one, held) in enumerate(times):
        for other, later in times[number + 1 :]:
            begin_s, end_s = later[0], min(held[1], later[1])
            if other is not one and begin_s < end_s:
                yield one, other, begin_s, end_s, (held[2], later[2])


def _bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
