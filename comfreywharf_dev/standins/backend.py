"""A stand-in backend server: slots, grants, deadlines, cancellation, a ledger.

It writes each effect as a line of an append-only ledger file, which tests use as
the record of what was applied. The path of a request selects what it does:

``/book``         apply an effect after ``work_ms`` of work
``/look``         the same work without an effect
``/upload``       read the body and answer its length and digest
``/download``     send ``bytes`` bytes; ``cut``: close the connection after so many
``/crash``        exit the process, as a request that crashes its server does;
                  ``when=after``: only after the effect was applied
``/fail``         answer 500
"""

import hashlib
import os

import attrs
import gevent
import orjson
from absl import logging
from cyclopts import App
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient

from comfreywharf.clock import boottime_s
from comfreywharf_dev.standins.wsgi import Answer, StreamedBody, serve_forever

__all__ = ["BackendServer", "Grant", "Ledger", "Profile"]

INSTANCE = str(os.getpid())
ANNOUNCE_INTERVAL_S = 0.25
CHUNK_BYTES = 64 * 1024
MAX_REMEMBERED_ATTEMPTS = 10_000


@attrs.define(kw_only=True)
class Profile:
    """The properties of the server, and the faults that it has at present.

    The server announces ``announced_port``, or ``port`` if that is 0. For the first
    ``cold_s`` seconds, work takes ``cold_factor`` times as long. While ``failing``,
    all requests but uploads and downloads get status 500, and the health report says
    so unless ``health_lies`` is set. ``load_frozen`` is the busy fraction that the
    load report gives; if it is negative, the report gives the real one.
    """

    name: str
    service: str
    host: str = "127.0.0.1"
    port: int
    announced_port: int = 0
    slots: int = 12
    connections: int = 110
    checks_fences: bool = False
    work_ms: float = 2.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    slow_factor: float = 1.0
    queue_length: int = 64
    failing: bool = False
    load_frozen: float = -1.0
    health_lies: bool = False


@attrs.frozen(kw_only=True)
class Grant:
    """The right to serve the hashes ``start <= hash < end`` under a fence.

    It expires at ``expires_monotonic_ms`` of the machine's monotonic clock.
    """

    start: int
    end: int
    fence: int
    expires_monotonic_ms: int


class Ledger:
    """Append-only lines of JSON; without a path, nothing is written.

    Each line is written by one call, so that processes that share the file don't
    interleave their lines.
    """

    def __init__(self, path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else None

    def append(self, **effect):
        """Write one line with the given fields."""
        if self._file is not None:
            os.write(self._file, orjson.dumps(effect) + b"\n")


class BackendServer:
    """The server as a WSGI application."""

    def __init__(self, profile, ledger, clock=boottime_s, grants_ledger=None):
        self.profile = profile
        self._ledger = ledger
        self._grants_ledger = grants_ledger or Ledger("")
        self._clock = clock
        self._started_s = clock()
        self._slots = BoundedSemaphore(profile.slots)
        self._waiting = 0
        self._running = {}
        self._cancelled = {}
        self._applied = {}
        self._grants = {}
        self.draining = False

    def __call__(self, request):
        """Answer one request."""
        control = {
            "/health": self._health,
            "/load": self._load,
            "/running": self._list_running,
            "/grants": self._set_grants,
            "/cancel": self._cancel,
            "/drain": self._drain,
            "/switches": self._set_switches,
        }.get(request.path)
        if control is not None:
            return control(request)
        return self._serve(request)

    def _health(self, request):
        reports_healthy = self.profile.health_lies or not self.profile.failing
        return Answer(
            200 if reports_healthy else 503,
            {"healthy": reports_healthy, "draining": self.draining},
        )

    def _load(self, request):
        frozen = self.profile.load_frozen
        busy = frozen if frozen >= 0 else len(self._running) / self.profile.slots
        return Answer(200, {"busy_fraction": busy, "waiting": self._waiting})

    def _list_running(self, request):
        return Answer(200, list(self._running.values()))

    def _set_grants(self, request):
        grants = [Grant(**fields) for fields in orjson.loads(request.read_body())]
        for grant in grants:
            self._record_if_new(grant)
        self._grants = {grant.start: grant for grant in grants}
        return Answer(200, {"grants": len(self._grants)})

    def _record_if_new(self, grant):
        held = self._grants.get(grant.start)
        if held and (held.end, held.fence) == (grant.end, grant.fence):
            return
        fields = attrs.asdict(grant)
        self._grants_ledger.append(
            at_s=self._clock(), server=self.profile.name, **fields
        )

    def _cancel(self, request):
        """Prevent an attempt's effect; answer whether it was applied before."""
        message = orjson.loads(request.read_body())
        attempt = message.get("attempt") or message["request_id"]
        _remember(self._cancelled, attempt, self._clock())
        answer = {
            "was_running": attempt in self._running,
            "cancelled": True,
            "not_run": attempt not in self._applied,
            "instance": INSTANCE,
        }
        return Answer(200, answer)

    def _drain(self, request):
        self.draining = True
        return Answer(200, {"running": len(self._running)})

    def _set_switches(self, request):
        for name, value in orjson.loads(request.read_body()).items():
            if not hasattr(self.profile, name):
                return Answer(400, {"error": f"unknown switch {name}"})
            setattr(self.profile, name, value)
        return Answer(200, attrs.asdict(self.profile))

    def _serve(self, request):
        if request.path == "/crash" and request.query.get("when") != "after":
            logging.error("request to /crash: exiting with status 70")
            os._exit(70)
        if self._waiting >= self.profile.queue_length:
            return Answer(503, {"error": "overloaded"}, {"Comfreywharf-Not-Run": "1"})
        self._waiting += 1
        try:
            self._slots.acquire()
        finally:
            self._waiting -= 1
        request_id = request.header("Comfreywharf-Request-Id")
        attempt = request.header("Comfreywharf-Attempt") or request_id
        self._running[attempt] = request.header("Comfreywharf-Request-Id")
        try:
            return self._run(request, request_id, attempt)
        finally:
            self._running.pop(attempt, None)
            self._slots.release()

    def _run(self, request, request_id, attempt):
        refused = self._refusal(request, attempt)
        if refused:
            return refused
        if request.path == "/upload":
            return self._upload(request, request_id)
        if request.path == "/download":
            return _download(request)
        body = request.read_body()
        gevent.sleep(self._work_s(request))
        if self.profile.failing or request.path == "/fail":
            return Answer(500, {"error": "failing"})
        refused = self._refusal(request, attempt)
        if refused:
            return refused
        if request.path in ("/book", "/crash"):
            self._apply(request, request_id)
        if request.path == "/crash":
            os._exit(70)
        return Answer(200, self._description(request, request_id, len(body)))

    def _work_s(self, request):
        work_ms = float(request.query.get("work_ms", self.profile.work_ms))
        factor = self.profile.slow_factor
        if self._clock() - self._started_s < self.profile.cold_s:
            factor *= self.profile.cold_factor
        return work_ms * factor / 1000

    def _refusal(self, request, attempt):
        """Return the answer that refuses a request, or ``None`` if it may be run.

        A request is refused if it was cancelled, after its deadline, or, if this server
        checks fences, without a valid grant for its key hash and fence.
        """
        if attempt in self._cancelled:
            return Answer(409, {"error": "cancelled"}, {"Comfreywharf-Not-Run": "1"})
        deadline_ms = int(request.header("Comfreywharf-Deadline-Ms", "0"))
        if deadline_ms and self._clock() * 1000 > deadline_ms:
            return Answer(
                504, {"error": "deadline passed"}, {"Comfreywharf-Not-Run": "1"}
            )
        if self.profile.checks_fences and not self._has_valid_fence(request):
            return Answer(
                409,
                {"error": "no valid grant for this fence"},
                {"Comfreywharf-Not-Run": "1"},
            )
        return None

    def _has_valid_fence(self, request):
        text = request.header("Comfreywharf-Key-Hash")
        if not text:
            return True
        value = int(text)
        now_ms = self._clock() * 1000
        fence = int(request.header("Comfreywharf-Fence", "-1"))
        return any(
            grant.start <= value < grant.end
            and grant.fence == fence
            and now_ms <= grant.expires_monotonic_ms
            for grant in self._grants.values()
        )

    def _apply(self, request, request_id):
        attempt = request.header("Comfreywharf-Attempt") or request_id
        _remember(self._applied, attempt, self._clock())
        self._ledger.append(
            arrived_s=request.arrived_s,
            at_s=self._clock(),
            server=self.profile.name,
            service=self.profile.service,
            key_hash=request.header("Comfreywharf-Key-Hash"),
            fence=int(request.header("Comfreywharf-Fence", "-1")),
            request_id=request_id,
        )

    def _upload(self, request, request_id):
        digest = hashlib.sha256()
        length = 0
        while chunk := request.environ["wsgi.input"].read(CHUNK_BYTES):
            digest.update(chunk)
            length += len(chunk)
        self._apply(request, request_id)
        return Answer(200, {"length": length, "digest": digest.hexdigest()})

    def _description(self, request, request_id, length):
        return {
            "server": self.profile.name,
            "request_id": request_id,
            "key": request.header("Comfreywharf-Key"),
            "path": request.path,
            "query": request.query,
            "length": length,
        }


def _remember(attempts, attempt, at_s):
    attempts[attempt] = at_s
    while len(attempts) > MAX_REMEMBERED_ATTEMPTS:
        del attempts[next(iter(attempts))]


def _download(request):
    length = int(request.query.get("bytes", "0"))
    end = min(length, int(request.query.get("cut", length)))
    return Answer(200, StreamedBody(length, _parts(end)))


def _parts(length):
    for start in range(0, length, CHUNK_BYTES):
        yield b"x" * min(CHUNK_BYTES, length - start)


def announce_forever(profile, node_port, instance):
    """Announce this server to the node beside it, periodically."""
    client = HTTPClient("127.0.0.1", node_port, network_timeout=2.0)
    message = orjson.dumps(
        {
            "name": profile.name,
            "service": profile.service,
            "host": profile.host,
            "port": profile.announced_port or profile.port,
            "slots": profile.slots,
            "connections": profile.connections,
            "checks_fences": profile.checks_fences,
            "instance": instance,
        }
    )
    while True:
        try:
            client.post("/announce", message).read()
        except Exception as error:
            logging.debug("announcement failed: %s", error)
        gevent.sleep(ANNOUNCE_INTERVAL_S)


app = App(name="standin-backend", help="A stand-in backend server.")


@app.default
def run(
    *,
    name: str,
    service: str,
    port: int,
    node_port: int,
    announced_port: int = 0,
    slots: int = 12,
    connections: int = 110,
    checks_fences: bool = False,
    work_ms: float = 2.0,
    cold_s: float = 0.0,
    ledger: str = "",
    grants_ledger: str = "",
):
    """Serve until the process is stopped."""
    profile = Profile(
        name=name,
        service=service,
        port=port,
        announced_port=announced_port,
        slots=slots,
        connections=connections,
        checks_fences=checks_fences,
        work_ms=work_ms,
        cold_s=cold_s,
    )
    gevent.spawn(announce_forever, profile, node_port, INSTANCE)
    server = BackendServer(profile, Ledger(ledger), grants_ledger=Ledger(grants_ledger))
    serve_forever("127.0.0.1", port, server)


if __name__ == "__main__":
    app()
