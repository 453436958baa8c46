"""A stand-in for a backend server of the platform: grants, holds and a ledger."""

import contextlib
from collections import Counter

import attrs
import gevent
import orjson
from gevent import pywsgi, socket
from gevent.event import Event
from gevent.pool import Pool

from comfreywharf.clock import boottime_s
from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.platform.durations import duration_s, duration_text

__all__ = ["HEARTBEAT_S", "AcceptedGrant", "PlatformServer", "Run", "post"]

HEARTBEAT_S = 0.2


@attrs.frozen
class Run:
    """A request that a server started to run."""

    request_id: str
    key: int
    instance: str
    began_s: float


@attrs.frozen
class AcceptedGrant:
    """A grant that an incarnation of a server accepted."""

    incarnation: ServerIncarnation
    first: int
    last: int
    fence: int


@attrs.define
class _HeldRange:
    first: int
    last: int
    fence: int
    until_s: float


class _Handler(pywsgi.WSGIHandler):
    """A WSGI handler that passes the connection's socket to the application."""

    def get_environ(self):
        """Return the environment of the application."""
        return {**super().get_environ(), "standin.socket": self.socket}


class PlatformServer:
    """A server that holds granted ranges of keys, and adds runs to a shared ledger.

    Each request takes ``work_s`` seconds; while ``may_finish`` is cleared, none
    finishes. The next ``lose_grants`` grant requests take effect ``grant_delay_s``
    seconds late and are never answered. ``accepted_grants`` lists the grants that all
    its incarnations accepted, and ``misdirected`` counts the requests for keys that it
    didn't hold. While ``misdirects`` is set, it refuses all requests like these.
    ``arrivals`` counts all requests by their ids. Work that lasts longer than the hold
    that it began under ends with status 500, counted in ``outlasted_holds``. Answers
    carry ``answer_id``, if it is set, as the id of the attempt, and ``answer_body``
    instead of the body of the request. If ``head_only`` is
    set, each answer is what this function returns for its headers, and the connection
    is closed behind it.
    While ``heartbeats_off`` is set, the server sends no heartbeats. The heartbeats
    report that it stays cold for ``cold_s``, and have the ``extra_fields``. All answers
    have the ``extra_headers``, name the ``limit``, a text, if there is one, and say
    that the server leaves if ``says_leaving`` is set.

    With ``uses_hold_lists`` it refuses grant and release requests; the answers to its
    heartbeats list the ranges that it holds. The next ``lose_answers`` of these
    answers are dropped; ``applied_lists`` counts the others. Ranges that a list leaves
    out stay held until no request is running; ``issued_handovers`` then gets their
    handover tokens. ``received_handovers`` has the tokens that came with ranges.
    """

    def __init__(self, name, service, ledger, work_s=0.0, uses_hold_lists=False):
        self.instance = name
        self.service = service
        self.ledger = ledger
        self.work_s = work_s
        self.may_finish = Event()
        self.may_finish.set()
        self.uses_hold_lists = uses_hold_lists
        self.lose_answers = 0
        self.applied_lists = 0
        self.hold_s = 0.0
        self.outlasted_holds = 0
        self.issued_handovers = []
        self.received_handovers = []
        self._released = []
        self._leaving = []
        self._connection = None
        self.lose_grants = 0
        self.grant_delay_s = 0.2
        self.answer_id = None
        self.answer_body = b""
        self.extra_answers = 0
        self.head_only = None
        self.headers = []
        self.extra_headers = []
        self.limit = None
        self.says_leaving = False
        self.extra_fields = {}
        self.held = []
        self.refused_grants = 0
        self.misdirected = 0
        self.misdirects = False
        self.arrivals = Counter()
        self.accepted_grants = []
        self.state = "ready"
        self.heartbeats_off = False
        self.cold_s = 0.0
        # The highest accepted fence of each key; keys are 0 to 65535.
        self._highest_fences = [-1] * 65536
        self.born_ms = 1_000
        self._sequence = 0
        self._running = set()
        self._server = self._make_server(0)
        self._heartbeat_greenlet = None

    def _make_server(self, port):
        address = ("127.0.0.1", port)
        return pywsgi.WSGIServer(
            address, self._answer, log=None, spawn=Pool(), handler_class=_Handler
        )

    def start(self, heartbeat_port):
        """Start listening, and send heartbeats to a node's port."""
        self._server.start()
        self._heartbeat_greenlet = gevent.spawn(self._send_heartbeats, heartbeat_port)

    @property
    def port(self):
        """Return the port it listens on."""
        return self._server.server_port

    def stop(self):
        """Stop heartbeats and requests at once, like a process that crashed."""
        gevent.kill(self._heartbeat_greenlet)
        self._server.stop(timeout=0)

    def crash(self):
        """Close the port and all connections, and discard what the server holds."""
        self._server.stop(timeout=0)
        self.held = []
        self._released = []
        self._leaving = []
        self._close_connection()
        self._highest_fences = [-1] * 65536
        self._sequence = 0

    def close_port(self):
        """Close the port and idle connections; running requests continue."""
        self._server.close()
        for greenlet in list(self._server.pool):
            if greenlet not in self._running:
                greenlet.kill()

    def reset_connections(self):
        """Close all connections, as a device on the network path may do."""
        self._server.pool.kill()

    def restart_as(self, instance):
        """Restart as another incarnation at the same address, as after a crash.

        The instance id may stay the same; the start time distinguishes incarnations.
        """
        port = self.port
        self.crash()
        self.instance = instance
        self.born_ms += 1_000
        self._server = self._make_server(port)
        self._server.start()

    @property
    def incarnation(self):
        """Return the present incarnation."""
        return ServerIncarnation(self.instance, self.born_ms)

    @property
    def busy(self):
        """Return whether a request is running."""
        return bool(self._running)

    @property
    def heartbeats_sent(self):
        """Return how many heartbeats the present incarnation has attempted to send."""
        return self._sequence

    def grants_of_this_incarnation(self):
        """Return the grants that the present incarnation accepted."""
        return [
            grant
            for grant in self.accepted_grants
            if grant.incarnation == self.incarnation
        ]

    def holds(self, key):
        """Return whether the server holds a key now."""
        now_s = boottime_s()
        return any(h.first <= key <= h.last and now_s < h.until_s for h in self.held)

    def remaining_hold_s(self, key):
        """Return for how many more seconds the server holds a key."""
        ends_s = [h.until_s for h in self.held if h.first <= key <= h.last]
        return max(ends_s, default=0.0) - boottime_s()

    def heartbeat_fields(self):
        """Return the fields of the next heartbeat."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemaining": duration_text(self.cold_s),
            "sequence": self._sequence,
            "born": self.born_ms,
            **(self._hold_fields() if self.uses_hold_lists else {}),
            **self.extra_fields,
        }

    def _hold_fields(self):
        now_s = boottime_s()
        if not self.busy:
            self._released += [self._hand_over(h) for h in self._leaving]
            self._leaving = []
        held = [h for h in self.held if now_s < h.until_s] + self._leaving
        return {
            "holds": [[h.first, h.last, h.fence] for h in held],
            "released": list(self._released),
        }

    def _hand_over(self, held):
        token = f"{self.instance}-{held.first}"
        self.issued_handovers.append(token)
        return [held.first, held.last, token]

    def _send_heartbeats(self, port):
        while True:
            self._sequence += 1
            fields = self.heartbeat_fields()
            pause_s = HEARTBEAT_S
            with contextlib.suppress(OSError, ValueError):
                if self._server.started and not self.heartbeats_off:
                    pause_s = self._send_heartbeat(port, fields)
            gevent.sleep(pause_s)

    def _send_heartbeat(self, port, fields):
        """Send a heartbeat, apply its answer, and return the seconds until the next."""
        sent_s, incarnation = boottime_s(), self.incarnation
        path = f"/-/instances/{self.instance}/heartbeat"
        if not self.uses_hold_lists:
            post(port, path, fields)
            return HEARTBEAT_S
        try:
            self._connection = self._connection or _HeartbeatConnection(port)
            answer = self._connection.exchange(path, fields)
        except (OSError, ValueError):
            self._close_connection()
            raise
        if incarnation != self.incarnation:
            return HEARTBEAT_S
        if self.lose_answers:
            self.lose_answers -= 1
            self._close_connection()
            return HEARTBEAT_S
        self._released = []
        if "holds" in answer:
            self._apply_list(answer, sent_s)
        return HEARTBEAT_S / 4 if self._leaving else HEARTBEAT_S

    def _close_connection(self):
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.end()

    def _apply_list(self, answer, sent_s):
        """Hold the listed ranges; their hold time counts from ``sent_s``."""
        self.applied_lists += 1
        self.hold_s = duration_s(answer["hold_time"])
        until_s = sent_s + self.hold_s
        listed = []
        for first, last, fence, handover in answer["holds"]:
            if max(self._highest_fences[first : last + 1]) > fence:
                self.refused_grants += 1
                continue
            self._highest_fences[first : last + 1] = [fence] * (last - first + 1)
            listed.append(_HeldRange(first, last, fence, until_s))
            self.received_handovers.append(handover)
            self.accepted_grants.append(
                AcceptedGrant(self.incarnation, first, last, fence)
            )
        keys = {key for held in listed for key in range(held.first, held.last + 1)}
        for held in self.held:
            gone = [k for k in range(held.first, held.last + 1) if k not in keys]
            if gone and boottime_s() < held.until_s:
                left = _HeldRange(gone[0], gone[-1], held.fence, held.until_s)
                self._leaving.append(left)
        self.held = listed

    def _answer(self, environ, start_response):
        def start_with_extra_headers(status, headers):
            stated = [] if self.limit is None else [("Server-Limit", self.limit)]
            if self.says_leaving:
                stated.append(("Server-Leaving", "1"))
            start_response(status, headers + self.extra_headers + stated)

        return self._answer_call(environ, start_with_extra_headers)

    def _answer_call(self, environ, start_response):
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if self.uses_hold_lists and path in ("/-/grant", "/-/release"):
            return _respond(start_response, 404)
        if path == "/-/grant":
            return self._grant(orjson.loads(body), start_response)
        if path == "/-/release":
            return self._release(orjson.loads(body), start_response)
        headers = [("X-Instance-Id", self.instance)]
        if path == "/health":
            return _respond(start_response, 200, headers)
        return self._run(environ, body, start_response)

    def _grant(self, fields, start_response):
        if self.lose_grants:
            self.lose_grants -= 1
            arrived_s = boottime_s()
            gevent.spawn_later(
                self.grant_delay_s, self._accept_grant, fields, arrived_s
            )
            gevent.sleep(60)
        if not self._accept_grant(fields, boottime_s()):
            self.refused_grants += 1
            return _respond(start_response, 409)
        return _respond(start_response, 200)

    def _accept_grant(self, fields, arrived_s):
        first, last, fence = fields["from"], fields["to"], fields["fence"]
        if max(self._highest_fences[first : last + 1]) > fence:
            return False
        self._highest_fences[first : last + 1] = [fence] * (last - first + 1)
        self._drop(first, last)
        until_s = arrived_s + duration_s(fields["hold_time"])
        self.held.append(_HeldRange(first, last, fence, until_s))
        self.accepted_grants.append(AcceptedGrant(self.incarnation, first, last, fence))
        return True

    def _drop(self, first, last):
        """Remove a range from the held ranges, and split those that overlap it."""
        kept = []
        for held in self.held:
            if held.first < first:
                kept.append(attrs.evolve(held, last=min(held.last, first - 1)))
            if held.last > last:
                kept.append(attrs.evolve(held, first=max(held.first, last + 1)))
        self.held = kept

    def _release(self, fields, start_response):
        self._drop(fields["from"], fields["to"])
        while self._running:
            gevent.sleep(0.005)
        token = f"{self.instance}-{fields['from']}"
        return _respond(start_response, 200, [("X-Handover", token)])

    def _run(self, environ, body, start_response):
        headers = [("X-Instance-Id", self.instance)]
        self.arrivals[environ.get("HTTP_X_ATTEMPT_ID")] += 1
        if environ.get("HTTP_X_TARGET_INSTANCE", self.instance) != self.instance:
            return _respond(start_response, 421, headers)
        text = environ.get("HTTP_X_SHARD_KEY")
        if text is not None and (self.misdirects or not self.holds(int(text))):
            self.misdirected += 1
            headers.append(("X-Not-Executed", "1"))
            return _respond(start_response, 421, headers)
        request_id = environ["HTTP_X_ATTEMPT_ID"]
        self.headers.append({k: v for k, v in environ.items() if k.startswith("HTTP_")})
        run = Run(request_id, int(text or -1), self.instance, boottime_s())
        self.ledger.append(run)
        # Work counts on the hold as it is at its beginning, whatever is renewed later.
        hold_s = None if text is None else self.remaining_hold_s(int(text))
        finished = self._work(hold_s)
        headers.append(("X-Attempt-Id", self.answer_id or request_id))
        headers.append(("X-Response-Stamp", f"stamp-{request_id}"))
        if self.head_only is not None:
            return _break_off(environ, self.head_only(headers))
        if not finished:
            self.outlasted_holds += 1
            return _respond(start_response, 500, headers, b"the hold has ended")
        return _respond(
            start_response, 200, headers, self.answer_body or body or b"done"
        )

    def _work(self, hold_s):
        """Work for ``work_s``; return false if ``hold_s`` was over before the end."""
        self._running.add(gevent.getcurrent())
        try:
            with gevent.Timeout(hold_s, False):
                gevent.sleep(self.work_s)
                self.may_finish.wait()
                return True
            return False
        finally:
            self._running.discard(gevent.getcurrent())


def _respond(start_response, status, headers=(), body=b""):
    length = ("Content-Length", str(len(body)))
    start_response(f"{status} Answer", [*headers, length])
    return [body]


def _break_off(environ, data):
    """Send ``data`` as the answer, and close the connection."""
    sock = environ["standin.socket"]
    sock.sendall(data)
    sock.shutdown(socket.SHUT_RDWR)
    return []


def post(port, path, fields):
    """Post JSON and return the status."""
    body = orjson.dumps(fields)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with contextlib.closing(socket.create_connection(("127.0.0.1", port), 1)) as sock:
        sock.sendall(head.encode() + body)
        return int(sock.recv(4096).split()[1])


class _HeartbeatConnection:
    """A persistent connection to a node for heartbeats."""

    def __init__(self, port):
        self._sock = socket.create_connection(("127.0.0.1", port), 1)
        self._file = self._sock.makefile("rwb")

    def end(self):
        """Shut the connection down, also while another greenlet reads from it."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def exchange(self, path, fields):
        """Post JSON and return the fields of the answer.

        Raises `OSError` if the status isn't 200.
        """
        body = orjson.dumps(fields)
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        self._file.write(head.encode() + body)
        self._file.flush()
        status = self._file.readline().split()
        length = 0
        while header := self._file.readline().strip():
            name, _, value = header.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        answer = self._file.read(length)
        if not status or status[1] != b"200":
            raise OSError(f"expected status 200 for heartbeat, got {status}")
        return orjson.loads(answer)
