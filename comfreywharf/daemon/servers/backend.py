"""HTTP client of the backend server beside this node, and its announcement."""

from functools import partial

import attrs
import gevent
import orjson
from gevent import socket
from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.closing import shut_down
from comfreywharf.daemon.connections.http import RequestClient
from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.routing import Reason

__all__ = ["Announcement", "Backend", "BackendError", "CancelReply"]

CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 0.5
CONTROL_CONNECTIONS = 4
CANCEL_REPLY_BYTES = 4096


@attrs.frozen(kw_only=True)
class Announcement:
    """What a backend server reports about itself.

    ``slots`` is how many requests it runs at once, ``connections`` how many
    connections it accepts. ``instance`` is the id of the running instance and
    ``born_ms`` its start time in milliseconds since the epoch, if it reports one.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    checks_fences: bool
    instance: str
    born_ms: int | None = None

    @property
    def incarnation(self):
        """Return the incarnation of the server that sent the announcement."""
        return ServerIncarnation(self.instance, self.born_ms)


@attrs.frozen(kw_only=True)
class CancelReply:
    """A backend server's reply to a cancellation.

    ``confirmed``: the request has no effect from now on. ``not_run``: it had no
    effect before the cancellation either.
    """

    confirmed: bool = False
    not_run: bool = False


GRANT_TIMEOUT_S = 0.5
GRANT_REPLY_BYTES = 4096


class BackendError(Exception):
    """A request that got no complete answer; ``reason`` is the `Reason` for it."""

    def __init__(self, reason, message):
        super().__init__(message)
        self.reason = reason


class Backend:
    """An HTTP client of the backend server that keeps to its connection limit."""

    def __init__(self, announcement):
        self.announcement = announcement
        self._client = self._make_client(announcement.connections)
        # Cancellations and grants use a separate pool: when all connections wait for
        # a frozen server, a cancellation must not queue behind them.
        self._control_client = self._make_client(CONTROL_CONNECTIONS)

    def _make_client(self, connections):
        return RequestClient(
            self.announcement.host,
            self.announcement.port,
            concurrency=connections,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def exchange(self, request, header_lines, body, running):
        """Send a request and return the response, with its headers already read.

        Raises `BackendError`. Its reason tells whether the server may have run the
        request: without a connection, nothing was sent.
        """
        timeout = gevent.Timeout.start_new(running.deadline_s - boottime_s())
        try:
            sock = self._connect(request, running)
            return self._send(sock, request, header_lines, body, running)
        finally:
            timeout.close()

    def _connect(self, request, running):
        # Other nodes send the request again until its deadline, which may be later
        # than that of the right to serve it.
        resent_until_s = boottime_s() + request.remaining_ms / 1000
        try:
            sock = self._client.connect_for(request.request_id, resent_until_s)
        except gevent.Timeout as error:
            message = "no connection to the backend server before the deadline"
            raise BackendError(Reason.DEADLINE_BEFORE_START, message) from error
        except (OSError, RuntimeError) as error:
            raise BackendError(Reason.NO_BACKEND, str(error)) from error
        now_s = boottime_s()
        reason = _reason_not_to_send(running, now_s)
        if reason is not None:
            self._client.give_back(sock)
            raise BackendError(reason, "the request was not sent: nobody waits for it")
        running.record_sent(now_s)
        return sock

    def _send(self, sock, request, header_lines, body, running):
        running.abort = partial(shut_down, sock)
        response = None
        try:
            response = self._client.send(
                sock, request.method, request.path, header_lines, body
            )
            running.abort = response.abort
            response = self._read_answer(response, request)
            running.abort = response.abort
            return response
        except gevent.Timeout as error:
            _release(response)
            raise BackendError(
                Reason.DEADLINE_PASSED,
                "no answer from the backend server before the deadline",
            ) from error
        except (OSError, HTTPParseError, ValueError) as error:
            _release(response)
            reason = Reason.CALLER_GONE if running.cancelled else Reason.BACKEND_LOST
            raise BackendError(reason, str(error)) from error
        except BaseException:
            _release(response)
            raise

    def _read_answer(self, response, request):
        """Read the response's head and return the response.

        The platform's backend overrides this.
        """
        response.read_head()
        return response

    def cancel(self, attempt_id, request_id):
        """Send the server a cancellation of a request; return a `CancelReply`.

        A failed cancellation is returned as unconfirmed; no error is raised.
        """
        message = orjson.dumps({"request_id": request_id, "attempt": attempt_id})
        response = None
        try:
            with gevent.Timeout(CANCEL_TIMEOUT_S):
                sock = self._control_client.connect()
                response = self._control_client.send(
                    sock, "POST", "/cancel", "", message
                )
                # Replies bear no id: if an earlier one were repeated, it could prove
                # another request "not run".
                response.reusable = False
                response.read_head()
                document = orjson.loads(response.read(CANCEL_REPLY_BYTES))
            # A server that was restarted at the same port has no record of what the
            # previous process ran. If its "not run" were trusted, the request would
            # be run again, and a booking could be made twice under one request id.
            if not self.announcement.incarnation.has_id(document.get("instance")):
                return CancelReply()
            return CancelReply(
                confirmed=response.status_code == 200
                and document.get("cancelled") is True,
                not_run=document.get("not_run") is True,
            )
        except (
            gevent.Timeout,
            OSError,
            RuntimeError,
            HTTPParseError,
            ValueError,
            AttributeError,
        ):
            return CancelReply()
        finally:
            _release(response)

    def probe(self):
        """Ask for an answer, for what it states; the project's own protocol has none.

        The platform's backend overrides this.
        """

    def grant(self, message):
        """Send the fenced grants; return whether the server accepted them."""
        response = None
        try:
            with gevent.Timeout(GRANT_TIMEOUT_S):
                sock = self._control_client.connect()
                response = self._control_client.send(
                    sock, "POST", "/grants", "", message
                )
                response.read_head()
                response.read(GRANT_REPLY_BYTES)
            return response.status_code == 200
        except (gevent.Timeout, OSError, RuntimeError, HTTPParseError):
            return False
        finally:
            if response is not None:
                response.release()

    @property
    def awaits_answer(self):
        """Return whether an answer is pending on a connection that is still open."""
        return self._client.awaits_answer or self._control_client.awaits_answer

    def refuses_connections(self):
        """Return whether the backend server's port refuses connections.

        A timeout or another error doesn't count as a refusal.
        """
        address = (self.announcement.host, self.announcement.port)
        try:
            socket.create_connection(address, timeout=CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Close idle connections."""
        self._client.close()
        self._control_client.close()


def _reason_not_to_send(running, now_s):
    """Return why a request is not sent, though there is a connection, or ``None``."""
    if running.cancelled:
        return Reason.CALLER_GONE_BEFORE_START
    if now_s >= running.deadline_s:
        return Reason.DEADLINE_BEFORE_START
    return None


def _release(response):
    if response is not None:
        response.keeps_connection = False
        response.release()
