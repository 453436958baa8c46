"""Calls to a backend server on the platform: requests, grants and releases."""

import contextlib
from functools import partial
from weakref import WeakKeyDictionary

import gevent
import orjson
from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.bound_pool import BoundClient
from comfreywharf.daemon.connections.http import SingleSendClient
from comfreywharf.daemon.ownership.range_grants import Orders
from comfreywharf.daemon.requests.wire import Dialect, join_lines
from comfreywharf.daemon.servers.backend import Backend, CancelReply
from comfreywharf.daemon.servers.statements import AnswerKind
from comfreywharf.ownership.holds import GrantAnswer
from comfreywharf.platform.durations import duration_text
from comfreywharf.platform.statements import read_statement
from comfreywharf.platform.unknown_names import MessageKind
from comfreywharf.routing import Reason

__all__ = ["PlatformBackend", "PlatformDialect", "PlatformOrders"]

GRANT_TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 1.0
GRANT_CONNECTIONS = 8
RELEASE_CONNECTIONS = 16
"""A release occupies its connection until the work on its keys has ended. On the
connections of the grants, a few releases would block renewals until holds expire."""
MAX_SKIPPED_ANSWERS = 3

ID_HEADER = "X-Attempt-Id"
STAMP_HEADER = "x-response-stamp"
HANDOVER_HEADER = "x-handover"
JSON_LINE = "Content-Type: application/json\r\n"


class PlatformDialect(Dialect):
    """Write the headers of requests, and interpret the headers of answers."""

    def request_lines(self, request, running, instance):
        """Return the header lines; ``None`` if a value contains a line break."""
        left_ms = max(1, int((running.deadline_s - boottime_s()) * 1000))
        lines = [f"{header.name}: {header.value}" for header in request.headers]
        lines.append(f"{ID_HEADER}: {request.request_id}")
        lines.append(f"X-Deadline-Ms: {left_ms}")
        lines.append(f"X-Target-Instance: {instance}")
        return join_lines(lines)

    def refused(self, response, request_id):
        """Return the reason if an answer proves that the request wasn't run.

        421 comes from a server that doesn't hold the key, or from another server at
        the same address. In both cases the owner of the key has to be found first.
        """
        if response.get(ID_HEADER, request_id) != request_id:
            return None
        if response.status_code == 421:
            return Reason.NOT_YET_OWNER
        if response.status_code >= 400 and response.get("x-not-executed"):
            return Reason.REFUSED_BY_BACKEND
        return None

    def answers_request(self, response, request_id):
        """Reject an answer to another request, and a success without its stamp."""
        if response.get(ID_HEADER) != request_id:
            return False
        return response.status_code >= 300 or STAMP_HEADER in response


class PlatformOrders(Orders):
    """Send grants and releases to the backend server."""

    def __init__(self, host, port, probe_target, record_answer):
        self._record_answer = record_answer
        self._grants = BoundClient(
            host,
            port,
            probe_target=probe_target,
            probe_answered=partial(record_answer, AnswerKind.PROBE),
            concurrency=GRANT_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self._releases = SingleSendClient(
            host,
            port,
            concurrency=RELEASE_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self._handovers = WeakKeyDictionary()

    def connect_to_process(self):
        """Return the number of the server process that grants would reach now."""
        return self._grants.connect_to_process()

    def grant(self, process, numbers, order):
        """Return the `GrantAnswer` to an order; ``numbers`` is ``(first, last)``."""
        sent = False
        try:
            with gevent.Timeout(GRANT_TIMEOUT_S):
                sock = self._grants.borrow(process)
                if sock is None:
                    return GrantAnswer.UNSENT
                # The wait for a connection has used up a part of the lease, so that
                # the length of the hold is only computed here.
                hold_s = order.hold_s_at(boottime_s())
                if not hold_s:
                    self._grants.give_back(sock)
                    return GrantAnswer.UNSENT
                sent = True
                fields = _grant_fields(numbers, order, hold_s)
                answer = self._post(self._grants, sock, "/-/grant", fields)
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            return GrantAnswer.LOST if sent else GrantAnswer.UNSENT
        return _GRANT_ANSWERS.get(answer.status_code, GrantAnswer.REFUSED)

    def release(self, first, last, fence, timeout_s):
        """Return the server's handover, or ``None`` without a successful answer.

        The next holder's server receives the handover with its grant.
        """
        fields = {"from": first, "to": last, "fence": fence}
        try:
            with gevent.Timeout(timeout_s):
                answer = self._post_release(fields)
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            return None
        return answer.get(HANDOVER_HEADER, "") if answer.status_code == 200 else None

    def _post_release(self, fields):
        """Return the answer to a release, and no copy of the answer to another.

        Answers to releases bear no id. If an earlier one were repeated in place of the
        next on its connection, a release would seem finished while work on its keys
        goes on. A copy has the same handover: the release is then sent again, on
        another connection. One with an answer without a handover isn't used again.
        """
        while True:
            sock = self._releases.connect()
            earlier = self._handovers.setdefault(sock, set())
            answer = self._post(
                self._releases,
                sock,
                "/-/release",
                fields,
                is_reusable=partial(_has_new_handover, earlier),
            )
            handover = answer.get(HANDOVER_HEADER)
            if handover not in earlier:
                earlier.add(handover)
                return answer

    def _post(self, client, sock, target, fields, **options):
        body = orjson.dumps(fields)
        answer = client.exchange(sock, "POST", target, JSON_LINE, body, **options)
        self._record_answer(AnswerKind.ORDER, answer)
        return answer

    @property
    def awaits_answer(self):
        """Return whether a grant or a release awaits its answer."""
        return self._grants.awaits_answer or self._releases.awaits_answer

    def close(self):
        """Close idle connections."""
        self._grants.close()
        self._releases.close()


def _has_new_handover(earlier, answer):
    handover = answer.get(HANDOVER_HEADER)
    return bool(handover) and handover not in earlier


_GRANT_ANSWERS = {200: GrantAnswer.TAKEN, 409: GrantAnswer.OUTDATED}


def _grant_fields(numbers, order, hold_s):
    first, last = numbers
    fields = {
        "from": first,
        "to": last,
        "fence": order.fence,
        "hold_time": duration_text(hold_s),
    }
    if order.handover:
        fields["handover"] = order.handover
    return fields


class PlatformBackend(Backend):
    """The backend server beside this node; it is probed at ``health_path()``.

    ``record_statement(kind, statement)`` is called for each of its answers.
    """

    def __init__(self, announcement, health_path, unknown_names, record_statement):
        super().__init__(announcement)
        self._health_path = health_path
        self._unknown_names = unknown_names
        self._record_statement = record_statement
        self.orders = PlatformOrders(
            announcement.host, announcement.port, health_path, self._record_answer
        )

    def _record_answer(self, kind, response):
        self._unknown_names.check(MessageKind.SERVER_ANSWER, response.header_names)
        self._record_statement(kind, read_statement(response))

    @property
    def awaits_answer(self):
        """Return whether an open connection awaits an answer of the server."""
        return super().awaits_answer or self.orders.awaits_answer

    def _make_client(self, connections):
        client = super()._make_client(connections)
        # The caller's own Host header is forwarded.
        client.host_line = ""
        client.unframed = True
        return client

    def _read_answer(self, response, request):
        """Skip answers to earlier requests, and return the answer to this one.

        A server may answer a request twice, and the second answer then arrives where
        the next one is expected. If it were taken for the answer to the running
        request, that request would end as unknown, although its own answer follows.
        A copy of an answer without an id couldn't be told from the next one, so that
        its connection isn't used again.
        """
        response.keeps_connection = True
        response.read_head()
        skipped = 0
        while response.get(ID_HEADER, request.request_id) != request.request_id:
            if skipped == MAX_SKIPPED_ANSWERS:
                raise HTTPParseError(f"{skipped + 1} answers name other requests")
            skipped += 1
            response.drop()
            response = response.next_response()
            response.keeps_connection = True
            response.read_head()
        response.reusable = response.get(ID_HEADER) is not None
        response.keeps_connection = False
        if response.whole:
            response.release()
        self._record_answer(AnswerKind.REQUEST, response)
        return response

    def probe(self):
        """Send a probe, whose answer states what any other answer would.

        A failed probe is ignored; no error is raised.
        """
        client = self._control_client
        try:
            with gevent.Timeout(PROBE_TIMEOUT_S):
                sock = client.connect()
                request = ("GET", self._health_path(), self._host_line, b"")
                answer = client.exchange(sock, *request, is_reusable=lambda _: False)
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            return
        self._record_answer(AnswerKind.PROBE, answer)

    @property
    def _host_line(self):
        announcement = self.announcement
        return f"Host: {announcement.host}:{announcement.port}\r\n"

    def cancel(self, attempt_id, request_id):
        """Confirm at once: on the platform, closing the connection cancels a request.

        Work that goes on nevertheless ends when the server's grant of the key ends.
        """
        return CancelReply(confirmed=True)

    def close(self):
        """Close idle connections."""
        super().close()
        with contextlib.suppress(OSError):
            self.orders.close()
