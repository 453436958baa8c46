"""Stand-ins for the platform's store and for backend servers, and a small client.

They use the standard library only and follow PROTOCOL.md. Each stand-in adds what it
sees to a shared `Record`.
"""

import base64
import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]

SETTINGS = """\
grants=direct
self.node={name}
self.role=node
self.machineClass=sidecar
self.serves=sidecar
self.ip=127.0.0.1
self.zone={zone}
self.region=riga
self.lossCounts=false
self.bootstrap=true
self.limits.cpuShare=0.86
self.limits.cpuCores=1
self.limits.memoryMb=300
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
self.appAddress=127.0.0.1:{app}
self.service={service}
network.listen.inbound=127.0.0.1:{inbound}
network.listen.outbound=127.0.0.1:{outbound}
network.listen.ready=127.0.0.1:{ready}
network.listen.control=127.0.0.1:{control}
network.internalPorts={first},{last}
network.seedNodes=
network.zones.agenskalns=riga
network.zones.teika=riga
network.zones.purvciems=riga
platform.discovery=static
platform.entry=static
platform.heartbeat=870ms
platform.platform.address=127.0.0.1:{store}
platform.platform.form=log
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.parts=12
platform.platform.append=2ms
platform.platform.partitionMbS=20.0
platform.platform.readMbS=80.0
platform.platform.recordBytes=262144
platform.platform.callBytes=2097152
platform.platform.keep=300s
platform.platform.partMb=200
platform.platform.ttlMin=1000ms
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.faultTolerance.machines=1
terms.faultTolerance.zones=0
terms.faultTolerance.regions=0
terms.bounds.seedLag=3s
terms.bounds.reuseAfter=2s
terms.bounds.contact=3000ms
terms.bounds.ack=4000ms
terms.bounds.catchUp=4s
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.lossSlack=200ms
terms.bounds.configApply=2000ms
terms.bounds.rollbackSlack=250ms
terms.bounds.outer=5000ms
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetExtra=58
terms.bounds.recovery=15s
terms.bounds.maxHold=10000ms
terms.bounds.thawSlack=300ms
"""

ZONES = ("agenskalns", "teika", "purvciems")


class Record:
    """Timed lines of what was sent, answered and run; safe for threads."""

    def __init__(self):
        self.began_s = time.monotonic()
        self.lines = []
        self._lock = threading.Lock()

    def now_s(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self.began_s

    def add(self, what, **fields):
        """Add a line; return its time."""
        now_s = self.now_s()
        with self._lock:
            self.lines.append((now_s, what, fields))
        return now_s

    def find(self, what, **fields):
        """Return ``(time, fields)`` of the lines with these fields."""
        with self._lock:
            lines = list(self.lines)
        return [
            (at_s, found)
            for at_s, kind, found in lines
            if kind == what and all(found.get(k) == v for k, v in fields.items())
        ]

    def write(self, path, verdict):
        """Write all lines and the verdict to a file."""
        with self._lock:
            lines = sorted(self.lines, key=lambda line: line[0])
        with open(path, "w", encoding="utf-8") as file:
            for at_s, what, fields in lines:
                text = " ".join(f"{k}={v}" for k, v in fields.items())
                file.write(f"{at_s:9.3f} {what} {text}\n")
            file.write(f"verdict: {verdict}\n")


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that a peer has closed."""


class _Topic:
    def __init__(self):
        self.records = []
        self.newest = {}


class Store:
    """The platform's store: one partition for each topic, in memory.

    ``hold`` may be set to a function of the call's path and query that returns how
    many seconds the call waits before it is carried out, or ``None`` to carry it out
    and never answer.
    """

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.topics = {}
        self.hold = lambda path, query: 0.0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                """Log nothing."""

            def do_GET(self):
                store.answer(self)

            def do_POST(self):
                store.answer(self)

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, document):
        """Write a keyed record as the operator does."""
        value = json.dumps(document).encode()
        name = key.encode()
        self._append("keyed.op", [bytes([len(name)]) + name + value])

    def _append(self, name, records):
        with self.changed:
            topic = self.topics.setdefault(name, _Topic())
            offset = len(topic.records)
            for data in records:
                if name.startswith("keyed."):
                    key = data[1 : 1 + data[0]].decode()
                    topic.newest[key] = (data[1 + data[0] :], len(topic.records))
                topic.records.append(data)
            self.changed.notify_all()
            return offset, len(topic.records)

    def answer(self, call):
        """Answer one call."""
        parts = urlsplit(call.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        body = call.rfile.read(int(call.headers.get("Content-Length") or 0))
        wait_s = self.hold(parts.path, query)
        if wait_s:
            time.sleep(wait_s)
        status, data = self._carry_out(parts.path, query, body)
        if wait_s is None:
            call.close_connection = True
            time.sleep(60.0)
            return
        call.send_response(status)
        call.send_header("Content-Length", str(len(data)))
        call.end_headers()
        call.wfile.write(data)

    def _carry_out(self, path, query, body):
        name = query["topic"]
        if path == "/-/log-append":
            records, position = [], 0
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                records.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            with self.changed:
                end = len(self.topics.setdefault(name, _Topic()).records)
            if int(query.get("at", end)) != end:
                return 412, json.dumps({"endPosition": end}).encode()
            offset, end = self._append(name, records)
            fields = {"offset": offset, "endPosition": end}
            return 200, json.dumps(fields).encode()
        if path == "/-/log-read":
            return self._read(name, query)
        return self._newest(name)

    def _read(self, name, query):
        start = int(query["from"])
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            topic = self.topics.setdefault(name, _Topic())
            while len(topic.records) <= start:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            data = struct.pack(">QQ", len(topic.records), 0)
            for record in topic.records[start:]:
                data += struct.pack(">I", len(record)) + record
        return 200, data

    def _newest(self, name):
        with self.changed:
            topic = self.topics.setdefault(name, _Topic())
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in sorted(topic.newest.items())
                if v
            ]
            end = len(topic.records)
        fields = {"items": items, "hasMore": False, "endPosition": end}
        return 200, json.dumps(fields).encode()


class Upstream:
    """A backend server: it holds granted keys, runs requests and sends heartbeats.

    ``work_s(path)`` is how long a request takes. If ``answers_early`` is set, it runs
    and answers a chunked request when the first part of its body is in, and reads on.
    Answers to GET have a body of ``answer_bytes``, if that is set, without a length.
    ``held_back`` may be set to a list that gets heartbeats in place of the node;
    `deliver` sends one of them late.
    """

    def __init__(self, record, machine, instance, service, sharded, work_s=None):
        self.record = record
        self.machine = machine
        self.instance = instance
        self.service = service
        self.sharded = sharded
        self.work_s = work_s or (lambda path: 0.05)
        self.state = "ready"
        self.silent = False
        self.held_back = None
        self.answers_early = False
        self.answer_bytes = 0
        self.sequence = 0
        self.slots = threading.BoundedSemaphore(12)
        self.ended = threading.Event()
        self._holds = []
        self._highest = [-1] * 65536
        self._running = {}
        self._lock = threading.Condition()
        upstream = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                """Log nothing."""

            def do_GET(self):
                upstream.answer(self)

            def do_POST(self):
                upstream.answer(self)

        self._server = _Server(("127.0.0.1", machine.ports["app"]), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def holds(self, key):
        """Return whether a key is held now."""
        now_s = time.monotonic()
        with self._lock:
            return any(
                first <= key <= last and now_s < until_s
                for first, last, _, until_s in self._holds
            )

    def answer(self, call):
        """Answer one call."""
        path = urlsplit(call.path).path
        chunked = call.headers.get("Transfer-Encoding", "").lower() == "chunked"
        if self.answers_early and chunked:
            size = int(call.rfile.readline().split(b";")[0], 16)
            self.run(call, path, call.rfile.read(size))
            try:
                call.rfile.readline()
                _read_chunks(call.rfile)
            except (ValueError, OSError):
                call.close_connection = True
            return
        try:
            body = _read_body(call)
        except (ValueError, OSError):
            # A request whose body broke off isn't run.
            self.record.add("body broke off", at=self.instance, path=path)
            call.close_connection = True
            return
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            self.send(call, status, {"X-Instance-Id": self.instance})
        elif path == "/-/grant":
            status = self.grant(json.loads(body))
            self.send(call, status, {})
        elif path == "/-/release":
            self.release(call, json.loads(body))
        else:
            self.run(call, path, body)

    def send(self, call, status, headers, body=b""):
        """Send an answer."""
        call.send_response(status)
        for name, value in headers.items():
            call.send_header(name, value)
        call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        call.wfile.write(body)

    def grant(self, fields):
        """Accept or refuse a grant; return the status."""
        first, last, fence = fields["from"], fields["to"], fields["fence"]
        hold_s = float(fields["hold_time"].removesuffix("ms")) / 1000
        with self._lock:
            if max(self._highest[first : last + 1]) > fence:
                return 409
            self._highest[first : last + 1] = [fence] * (last + 1 - first)
            until_s = time.monotonic() + hold_s
            kept = _without(self._holds, first, last)
            self._holds = [*kept, (first, last, fence, until_s)]
        self.record.add(
            "grant", at=self.instance, first=first, last=last, fence=fence, s=hold_s
        )
        return 200

    def release(self, call, fields):
        """Release a range, and answer when the work on its keys has ended."""
        first, last = fields["from"], fields["to"]
        with self._lock:
            self._holds = _without(self._holds, first, last, fields["fence"])
            while any(first <= k <= last for k in self._running.values()):
                self._lock.wait(0.05)
        self.record.add("release", at=self.instance, first=first, last=last)
        token = os.urandom(8).hex()
        self.send(call, 200, {"X-Handover": token})

    def run(self, call, path, body):
        """Run a request, or refuse it."""
        headers = call.headers
        request_id = headers.get("X-Attempt-Id", "")
        echoed = {"X-Attempt-Id": request_id}
        refused = {**echoed, "X-Not-Executed": "1", "X-Instance-Id": self.instance}
        wanted = headers.get("X-Target-Instance")
        key = headers.get("X-Shard-Key")
        if not request_id:
            return self.send(call, 400, {"X-Not-Executed": "1"})
        if wanted is not None and wanted != self.instance:
            return self.send(call, 421, refused)
        if self.sharded and (key is None or not self.holds(int(key))):
            return self.send(call, 421, refused)
        if not self.slots.acquire(timeout=0.5):
            return self.send(call, 503, refused)
        try:
            self.record.add(
                "run",
                at=self.instance,
                id=request_id,
                size=len(body),
                sha=digest(body),
                path=path,
                key=key,
                caller=headers.get("X-Caller-Service"),
                method=call.command,
            )
            with self._lock:
                self._running[request_id] = int(key or -1)
            time.sleep(self.work_s(path))
        finally:
            self.slots.release()
            with self._lock:
                self._running.pop(request_id, None)
                self._lock.notify_all()
        stamp = f"{self.instance}.{request_id}"
        answer = {**echoed, "X-Response-Stamp": stamp}
        if self.answer_bytes and call.command == "GET":
            return self._send_chunked(call, answer, request_id)
        return self.send(call, 200, answer, f"done {request_id}".encode())

    def _send_chunked(self, call, headers, request_id):
        """Send a long answer, which consists of the id of its request."""
        call.send_response(200)
        for name, value in headers.items():
            call.send_header(name, value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        part = request_id.encode() * (65536 // len(request_id))
        for _ in range(self.answer_bytes // len(part)):
            call.wfile.write(b"%x\r\n%s\r\n" % (len(part), part))
        call.wfile.write(b"0\r\n\r\n")

    def _beat(self):
        while not self.ended.is_set():
            if not self.silent:
                self.sequence += 1
                fields = self.fields()
                if self.held_back is not None:
                    self.held_back.append(fields)
                    self.record.add("beat held up", by=self.instance, **_short(fields))
                else:
                    self.deliver(fields)
            self.ended.wait(0.87)

    def fields(self):
        """Return the fields of a heartbeat."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.machine.ports['app']}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 12,
            "state": self.state,
            "coldRemaining": "0ms",
            "sequence": self.sequence,
        }

    def deliver(self, fields):
        """Send a heartbeat; return whether it was acknowledged."""
        status = self.post("heartbeat", fields)
        self.record.add("beat", by=self.instance, status=status, **_short(fields))
        return status == 200

    def deregister(self):
        """Send a deregistration; return its status, 0 without an answer."""
        status = self.post("deregister", {})
        self.record.add("deregister", by=self.instance, status=status)
        return status

    def post(self, call, fields):
        """Post to the node beside this server; return the status, 0 for none."""
        port = self.machine.ports["control"]
        link = http.client.HTTPConnection("127.0.0.1", port, timeout=1.0)
        try:
            path = f"/-/instances/{self.instance}/{call}"
            body = json.dumps(fields).encode()
            link.request("POST", path, body, {"Content-Type": "application/json"})
            answer = link.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            link.close()

    def stop(self):
        """End the server."""
        self.ended.set()
        self._server.shutdown()
        self._server.server_close()


def _without(holds, first, last, fence=None):
    """Return holds without a range; those above ``fence``, if it is given, stay."""
    kept = []
    for begin, end, held_fence, until_s in holds:
        above = fence is not None and held_fence > fence
        if end < first or last < begin or above:
            kept.append((begin, end, held_fence, until_s))
            continue
        if begin < first:
            kept.append((begin, first - 1, held_fence, until_s))
        if last < end:
            kept.append((last + 1, end, held_fence, until_s))
    return kept


def _short(fields):
    return {"state": fields["state"], "sequence": fields["sequence"]}


def digest(body):
    """Return a short digest of a body."""
    return hashlib.sha256(body).hexdigest()[:12]


def _read_body(call):
    """Return the whole body of a request; raises `ValueError` if it breaks off."""
    if call.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return _read_chunks(call.rfile)
    size = int(call.headers.get("Content-Length") or 0)
    data = call.rfile.read(size)
    if len(data) != size:
        raise ValueError("the body broke off")
    return data


def _read_chunks(file):
    data = b""
    while True:
        size = int(file.readline().split(b";")[0], 16)
        part = file.read(size)
        if len(part) != size or not file.readline():
            raise ValueError("the body broke off")
        if not size:
            return data
        data += part


class Machine:
    """One machine: its ports, its settings file and its node process."""

    def __init__(self, record, folder, name, zone, service, store_port):
        self.record = record
        self.name = name
        self.zone = zone
        self.service = service
        self.ports = free_ports()
        self.process = None
        self.path = pathlib.Path(folder) / f"{name}.conf"
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        text = SETTINGS.format(
            name=name, zone=zone, service=service, store=store_port, **self.ports
        )
        self.path.write_text(text, encoding="utf-8")

    def start(self):
        """Start the node with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "COMFREYWHARF_BOOT": str(self.path),
            "PYTHONPATH": "target/deps",
        }
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-OO", "deploy/node.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add("node starts", node=self.name, pid=self.process.pid)

    def signal(self, number):
        """Send a signal to the node."""
        self.record.add("signal", node=self.name, name=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        """Kill the node, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        link = http.client.HTTPConnection("127.0.0.1", self.ports["ready"], timeout=1.0)
        try:
            link.request("GET", "/-/ready")
            return link.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            link.close()

    def log(self):
        """Return what the node has logged."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")


_PORTS_IN_USE = set()


def free_ports():
    """Return the ports of a machine, on which nothing listens."""
    # Scripts that run at the same time use ports that are far apart.
    first = 13_000 + os.getpid() % 40 * 400
    while True:
        first += 8
        if first > 29_000:
            first = 13_000
        wanted = range(first, first + 8)
        if _PORTS_IN_USE.isdisjoint(wanted) and all(map(_is_free, wanted)):
            _PORTS_IN_USE.update(wanted)
            names = ("app", "inbound", "outbound", "ready", "control", "first")
            return dict(zip(names, wanted, strict=False)) | {"last": first + 7}


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def configuration(services, version=1, timeout="1200ms"):
    """Return a configuration; ``services`` says of each whether it is sharded.

    Each service has a route for idempotent requests and one for others.
    """
    routes = {}
    for name in services:
        for kind, prefix in (("idempotent", "look"), ("non_idempotent", "book")):
            routes[f"r-{prefix}-{name}"] = {
                "host": "a.example",
                "pathPrefix": f"/{prefix}-{name}/",
                "kind": kind,
                "timeout": timeout,
                "targetLatency": "500ms",
                "priority": 1,
                "service": name,
                "maxAttempts": 2,
            }
    return {
        "version": version,
        "routes": routes,
        "services": {
            name: {
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
                **({"sharded": True, "warmup": "3s"} if sharded else {}),
            }
            for name, sharded in services.items()
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


class Caller:
    """Send requests to a machine's node at a rate, each on its own connection."""

    def __init__(self, record, machine, target, key=None, method="GET", per_s=10):
        self.record = record
        self.machine = machine
        self._request = (method, target, key)
        self._pause_s = 1.0 / per_s
        self.stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        number = 0
        while not self.stopped.is_set():
            number += 1
            method, target, key = self._request
            threading.Thread(
                target=send,
                args=(self.record, self.machine, method, f"{target}{number}", key),
                daemon=True,
            ).start()
            self.stopped.wait(self._pause_s)


def send(record, machine, method, target, key=None, body=b"", deadline_ms=1200):
    """Send one request; return its status, 0 without an answer."""
    request_id = os.urandom(8).hex()
    headers = {
        "Host": "a.example",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }
    if key is not None:
        headers["X-Shard-Key"] = str(key)
    record.add("sent", id=request_id, to=machine.name, method=method, target=target)
    port = machine.ports["outbound"]
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=deadline_ms / 1000)
    status, note = 0, ""
    try:
        link.request(method, target, body or None, headers)
        answer = link.getresponse()
        data = answer.read()
        status = answer.status
        note = answer.getheader("X-Response-Stamp") or data[:40].decode().strip()
    except (OSError, http.client.HTTPException) as error:
        note = type(error).__name__
    finally:
        link.close()
    record.add("answered", id=request_id, status=status, note=note)
    return status


class SlowReader:
    """A GET whose caller reads the head and the first bytes, pauses, and reads on.

    ``foreign`` is the number of bytes in its body that belong to other requests, once
    `finish` has read all; ``complete`` is whether the answer ended as a whole one.
    """

    def __init__(self, record, machine, target, deadline_ms):
        self.record = record
        self.id = os.urandom(8).hex()
        self.status = 0
        self.received = 0
        self.foreign = 0
        self.complete = False
        self.stamp = None
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self._sock.settimeout(deadline_ms / 1000)
        self._sock.connect(("127.0.0.1", machine.ports["outbound"]))
        self._sock.sendall(
            f"GET {target} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {self.id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
        )
        record.add("sent", id=self.id, to=machine.name, method="GET", target=target)
        self._answer = http.client.HTTPResponse(self._sock, method="GET")

    def begin(self):
        """Read the head and the first bytes of the body."""
        self._answer.begin()
        self.status = self._answer.status
        self.stamp = self._answer.getheader("X-Response-Stamp")
        self._count(self._answer.read(65536))

    def finish(self):
        """Read the rest."""
        note = ""
        try:
            while data := self._answer.read(65536):
                self._count(data)
            self.complete = True
        except (OSError, http.client.HTTPException) as error:
            note = type(error).__name__
        self._sock.close()
        self.record.add(
            "read",
            id=self.id,
            status=self.status,
            stamp=self.stamp,
            bytes=self.received,
            foreign=self.foreign,
            complete=self.complete,
            note=note,
        )

    def _count(self, data):
        """Count the bytes, and those that the body of this request can't have."""
        name = self.id.encode()
        begin = self.received % len(name)
        wanted = (name * (len(data) // len(name) + 2))[begin : begin + len(data)]
        self.received += len(data)
        if data != wanted:
            self.foreign += sum(a != b for a, b in zip(data, wanted, strict=True))


class SlowUpload:
    """An upload whose caller sends its body in two parts, with a pause in between.

    `begin` sends the head and the first part, `finish` the rest, and then reads the
    answer.
    """

    def __init__(self, record, machine, target, body, deadline_ms):
        self.record = record
        self.id = os.urandom(8).hex()
        self.body = body
        self.status = 0
        self.answered_id = None
        self.answered_stamp = None
        self._first = len(body) // 4
        self._machine = machine
        self._sock = None
        self._head = (
            f"POST {target} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Attempt-Id: {self.id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        self._until_s = time.monotonic() + deadline_ms / 1000

    def begin(self):
        """Connect, and send the head and the first part of the body."""
        address = ("127.0.0.1", self._machine.ports["outbound"])
        self._until_s = time.monotonic() + 9.5
        self._sock = socket.create_connection(address, 1.0)
        self._sock.sendall(self._head + self.body[: self._first])
        self.record.add(
            "upload begun",
            id=self.id,
            to=self._machine.name,
            size=len(self.body),
            sha=digest(self.body),
        )

    def finish(self):
        """Send the rest of the body, and read the answer."""
        try:
            self._sock.settimeout(max(0.1, self._until_s - time.monotonic()))
            self._sock.sendall(self.body[self._first :])
            self.record.add("upload sent", id=self.id)
            answer = http.client.HTTPResponse(self._sock, method="POST")
            answer.begin()
            data = answer.read()
            self.status = answer.status
            self.answered_id = answer.getheader("X-Attempt-Id")
            self.answered_stamp = answer.getheader("X-Response-Stamp")
            note = data[:60].decode("latin-1").strip()
        except (OSError, http.client.HTTPException) as error:
            note = type(error).__name__
        finally:
            self._sock.close()
        self.record.add(
            "upload answered",
            id=self.id,
            status=self.status,
            names=self.answered_id,
            stamp=self.answered_stamp,
            note=note,
        )


def wait_for(condition, timeout_s):
    """Wait until a condition holds; return whether it did in time."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if condition():
            return True
        time.sleep(0.1)
    return False


class Deployment:
    """Machines with a node and an upstream each, and the store."""

    def __init__(self, services, sharded, work_s=None):
        self.record = Record()
        self.store = Store(self.record)
        self.folder = tempfile.TemporaryDirectory()
        self.store.put("config", configuration(sharded))
        self.machines = []
        self.upstreams = []
        for number, service in enumerate(services):
            machine = Machine(
                self.record,
                self.folder.name,
                f"sidecar-{ZONES[number % 3]}-{number + 1}",
                ZONES[number % 3],
                service,
                self.store.port,
            )
            self.machines.append(machine)
            instance = f"i-{number + 1:04x}"
            self.upstreams.append(
                Upstream(
                    self.record, machine, instance, service, sharded[service], work_s
                )
            )

    def start(self):
        """Start all nodes; return whether they became ready."""
        for machine in self.machines:
            machine.start()
        return wait_for(lambda: all(m.is_ready() for m in self.machines), 20.0)

    def each_key_is_held(self, service):
        """Return whether each of some keys is held by one upstream of a service."""
        holders = [u for u in self.upstreams if u.service == service]
        keys = range(0, 65536, 2048)
        return all(sum(u.holds(key) for u in holders) == 1 for key in keys)

    def end(self, folder, verdict):
        """End all processes and write the record."""
        for machine in self.machines:
            machine.end()
        for upstream in self.upstreams:
            upstream.ended.set()
        self.record.write(pathlib.Path(folder) / "record.txt", verdict)
        if os.environ.get("KEEP_LOGS"):
            for machine in self.machines:
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{machine.name}.log"
                target.write_text(machine.log(), encoding="utf-8")
        self.folder.cleanup()


def finish(code):
    """End the script with an exit code, whatever threads still run."""
    sys.stdout.flush()
    os._exit(code)
