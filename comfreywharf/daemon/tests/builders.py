"""Test data, and a backend server that sends scripted bytes as answers."""

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.running import RunningRequest
from comfreywharf.daemon.servers.backend import Announcement, Backend
from comfreywharf.ownership import Right
from comfreywharf.routing import RequestKey
from comfreywharf.settings.model import Address, NodeSettings
from comfreywharf.transport.gen.ttypes import ForwardRequest

__all__ = [
    "Reply",
    "ScriptedServer",
    "announcement",
    "backend_for",
    "complete_answer",
    "forward_request",
    "node_settings",
    "running_request",
]


@attrs.frozen
class Reply:
    """What is sent for one request: a wait, then bytes, then optionally a close."""

    data: bytes
    wait_s: float = 0.0
    close: bool = False


def complete_answer(body, *extra):
    """Return the bytes of a complete answer."""
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *extra, "", ""]
    return "\r\n".join(lines).encode() + body


class ScriptedServer:
    """Answer each request with the next `Reply`, whichever connection it arrives on.

    ``connections`` counts the accepted connections, ``requests`` the requests;
    ``sockets`` are the server's sockets of the connections.
    """

    def __init__(self, *replies):
        self._replies = list(replies)
        self.sockets = []
        self.requests = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *error):
        self._server.stop(timeout=0)

    @property
    def port(self):
        """Return the port on loopback."""
        return self._server.server_port

    @property
    def connections(self):
        """Return how many connections were opened."""
        return len(self.sockets)

    def _serve(self, sock, address):
        self.sockets.append(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while b"\r\n\r\n" in sock.recv(65536):
            self.requests += 1
            reply = self._replies.pop(0)
            if reply.wait_s:
                gevent.sleep(reply.wait_s)
            sock.sendall(reply.data)
            if reply.close:
                sock.close()
                return


def node_settings():
    """Return the settings of a node without a log."""
    return NodeSettings(
        node_id="n",
        host="127.0.0.1",
        caller_port=0,
        peer_port=0,
        operator_port=0,
        backend_port=0,
        failure_domain="d",
        region="r",
        log=Address("127.0.0.1", 1),
    )


def announcement(instance):
    """Return the announcement of a server that checks fences."""
    return Announcement(
        name="s",
        service="booking",
        host="127.0.0.1",
        port=1,
        slots=1,
        connections=1,
        checks_fences=True,
        instance=instance,
    )


def backend_for(server):
    """Return a `Backend` of a `ScriptedServer`, with one connection."""
    return Backend(
        Announcement(
            name="scripted",
            service="booking",
            host="127.0.0.1",
            port=server.port,
            slots=1,
            connections=1,
            checks_fences=False,
            instance="1",
        )
    )


def running_request(request_id="id", timeout_s=5.0):
    """Return a `RunningRequest`, as the forwarder keeps it for a request."""
    deadline_s = boottime_s() + timeout_s
    key = RequestKey("booking", 1, request_id)
    return RunningRequest(1, key, "attempt", Right(deadline_s=deadline_s), deadline_s)


def forward_request(method="GET", path="/look", request_id="id"):
    """Return a request for the owner."""
    return ForwardRequest(
        request_id=request_id,
        service_name="booking",
        key=b"vesta",
        method=method,
        path=path,
        headers=[],
        body=b"",
        remaining_ms=1000,
        ingress_node_id="",
        retries_left=0,
        event_clock=0,
        first_sent_ago_ms=0,
        priority=0,
        repeatable=False,
        target_ms=0,
    )
