"""A TCP proxy that injects faults into single links, controlled over HTTP with JSON.

A link is named by the connecting process and its target. Each direction of a link
has a `Flow` of its own, so that one direction can be cut while the other works.
One limit of a proxy remains: it accepts a connection attempt across a cut and then
sends nothing, where a network would leave the attempt itself unanswered.
"""

import struct
from enum import StrEnum
from pathlib import Path

import attrs
import cattrs
import gevent
import orjson
from absl import logging
from cyclopts import App
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from geventhttpclient import HTTPClient

from comfreywharf_dev.standins.socket_owner import holds_inode, inode_of_connection
from comfreywharf_dev.standins.wsgi import Answer, make_server

__all__ = ["Direction", "FaultControl", "FaultProxy", "Flow", "Listener", "Mode"]

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
UNKNOWN_SOURCE = "?"
RESET_LINGER = struct.pack("ii", 1, 0)
"""The SO_LINGER value of 0 seconds, with which closing a socket sends a TCP reset."""


class Mode(StrEnum):
    """What happens to the bytes of one direction.

    ``HOLD`` is a network partition: bytes and the end of a connection are held
    back and arrive late, like retransmissions after the network has recovered.
    ``SWALLOW`` drops bytes; since a TCP stream can't have gaps, its connections
    are reset when the fault is lifted.
    """

    PASS = "pass"
    HOLD = "hold"
    SWALLOW = "swallow"


class Direction(StrEnum):
    """The bytes that the connecting side sends, or those that it receives."""

    THERE = "there"
    BACK = "back"


@attrs.frozen(kw_only=True)
class Listener:
    """One port of the proxy and its target.

    Without ``source`` any process may connect; the source is then the registered
    process that holds the other end of the connection.
    """

    port: int
    target: str
    target_port: int
    source: str = ""


@attrs.define(kw_only=True)
class Flow:
    """The present faults of one direction of a link.

    ``lose_answers`` counts the answers still to be lost: the request arrives, and
    the connection is reset before a byte of the answer is delivered.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    lose_answers: int = 0
    opened: Event = attrs.field(factory=Event, init=False, repr=False)

    def __attrs_post_init__(self):
        self.opened.set()

    def set(self, *, mode, delay_s, bytes_per_s, lose_answers):
        """Replace the faults; held bytes are delivered unless ``mode`` is ``HOLD``."""
        self.mode = mode
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self.lose_answers = lose_answers
        if mode is Mode.HOLD:
            self.opened.clear()
        else:
            self.opened.set()


@attrs.frozen(kw_only=True)
class Fault:
    """A request to the control port to change one direction of a link."""

    source: str
    target: str
    direction: Direction
    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    lose_answers: int = 0


class _Connection:
    """The sockets of one proxied connection: to its source and to its target."""

    def __init__(self, source_sock, target_sock, link):
        self.source_sock = source_sock
        self.target_sock = target_sock
        self.link = link
        self.bytes_lost = False
        self.target_closed = False

    def reset(self):
        """Close both sides with a TCP reset."""
        for sock in (self.source_sock, self.target_sock):
            _reset(sock)

    def close_target(self):
        """Reset the connection to the target and keep the source's open."""
        self.target_closed = True
        _reset(self.target_sock)


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock.close()
    except OSError:
        pass


class FaultProxy:
    """The listeners, the links' flows, and the open connections."""

    def __init__(self):
        self._flows = {}
        self._connections = set()
        self._pids = {}
        self._servers = []

    def flow(self, source, target, direction):
        """Return the flow of one direction of a link."""
        return self._flows.setdefault((source, target, direction), Flow())

    def listen(self, listener):
        """Open a listener."""
        server = StreamServer(
            ("127.0.0.1", listener.port),
            lambda sock, address: self._serve(listener, sock, address),
            backlog=1024,
        )
        server.start()
        self._servers.append(server)

    def control(self, request):
        """Answer one request at the control port."""
        handler = {
            "/faults": self._set_faults,
            "/heal": self._heal,
            "/reset": self._reset_link,
            "/half-open": self._half_open,
            "/sources": self._set_sources,
        }.get(request.path)
        if handler is None:
            return Answer(404, {"error": f"unknown path {request.path}"})
        return Answer(200, handler(orjson.loads(request.read_body() or b"{}")))

    def _set_faults(self, documents):
        for fault in cattrs.structure(documents, list[Fault]):
            flow = self.flow(fault.source, fault.target, fault.direction)
            self._set_flow(flow, fault)
        return {"faults": len(documents)}

    def _set_flow(self, flow, fault):
        flow.set(
            mode=fault.mode,
            delay_s=fault.delay_s,
            bytes_per_s=fault.bytes_per_s,
            lose_answers=fault.lose_answers,
        )
        if fault.mode is Mode.SWALLOW:
            return
        for connection in list(self._connections):
            if connection.bytes_lost and flow in self._flows_of(connection.link):
                connection.reset()

    def _heal(self, _document):
        for (source, target, direction), flow in self._flows.items():
            fault = Fault(source=source, target=target, direction=direction)
            self._set_flow(flow, fault)
        return {"healed": True}

    def _reset_link(self, document):
        chosen = self._connections_of(document)
        for connection in chosen:
            connection.reset()
        return {"connections": len(chosen)}

    def _half_open(self, document):
        chosen = self._connections_of(document)
        for connection in chosen:
            connection.close_target()
        return {"connections": len(chosen)}

    def _connections_of(self, document):
        link = (document["source"], document["target"])
        return [one for one in self._connections if one.link == link]

    def _set_sources(self, document):
        self._pids.update({name: int(pid) for name, pid in document.items()})
        return {"sources": len(self._pids)}

    def _flows_of(self, link):
        return [self.flow(*link, direction) for direction in Direction]

    def _serve(self, listener, source_sock, address):
        source_sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        source = listener.source or self._source_of(address[1], listener.port)
        link = (source, listener.target)
        there, back = self._flows_of(link)
        # A cut also delays the packets that open the connection to the target.
        there.opened.wait()
        try:
            target_sock = socket.create_connection(
                ("127.0.0.1", listener.target_port), CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset(source_sock)
            return
        target_sock.settimeout(None)
        target_sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(source_sock, target_sock, link)
        self._connections.add(connection)
        pumps = [
            gevent.spawn(_pump, connection, source_sock, target_sock, there),
            gevent.spawn(_pump, connection, target_sock, source_sock, back),
        ]
        gevent.joinall(pumps)
        self._connections.discard(connection)
        source_sock.close()
        target_sock.close()

    def _source_of(self, port, listener_port):
        """Return the registered process that holds a local port."""
        inode = inode_of_connection(port, listener_port)
        for name, pid in self._pids.items():
            if inode and holds_inode(pid, inode):
                return name
        return UNKNOWN_SOURCE


def _pump(connection, reader, writer, flow):
    """Forward the bytes of one direction and apply its faults."""
    try:
        while data := reader.recv(CHUNK_BYTES):
            flow.opened.wait()
            if flow.mode is Mode.SWALLOW:
                connection.bytes_lost = True
                continue
            if flow.lose_answers > 0:
                flow.lose_answers -= 1
                connection.reset()
                return
            gevent.sleep(flow.delay_s + _transfer_s(len(data), flow))
            flow.opened.wait()
            writer.sendall(data)
        flow.opened.wait()
        if flow.mode is not Mode.SWALLOW and not connection.target_closed:
            writer.shutdown(socket.SHUT_WR)
    except OSError:
        _propagate_failure(connection, flow)


def _propagate_failure(connection, flow):
    """Reset both sides, after any hold, unless the connection is half open."""
    flow.opened.wait()
    if not connection.target_closed:
        connection.reset()
        return
    # The source of a half-open connection may still write: discard its bytes.
    try:
        while connection.source_sock.recv(CHUNK_BYTES):
            pass
    except OSError:
        pass


def _transfer_s(length, flow):
    return length / flow.bytes_per_s if flow.bytes_per_s else 0.0


class FaultControl:
    """A client of the control port, for tests and benchmarks."""

    def __init__(self, port):
        self._port = port

    def cut(self, source, target, mode=Mode.HOLD):
        """Cut both directions of a link."""
        self.cut_pairs([(source, target)], mode)

    def cut_pairs(self, pairs, mode=Mode.HOLD):
        """Cut both directions of several links in one request."""
        self._post_faults(
            [
                (*pair, direction, {"mode": mode})
                for pair in pairs
                for direction in Direction
            ]
        )

    def cut_group(self, group, others, mode=Mode.HOLD):
        """Cut all links between two groups, whichever side connects."""
        pairs = [(one, other) for one in group for other in others]
        self.cut_pairs(pairs + [(other, one) for one, other in pairs], mode)

    def cut_outgoing(self, source, targets, mode=Mode.HOLD):
        """Cut what a process sends to the targets, but not what it receives.

        Neither its requests nor its answers to the targets' requests arrive.
        """
        there = [(source, one, Direction.THERE, {"mode": mode}) for one in targets]
        back = [(one, source, Direction.BACK, {"mode": mode}) for one in targets]
        self._post_faults(there + back)

    def set_flow(self, source, target, direction, **fields):
        """Set fields of one direction's `Flow`; the others get their defaults."""
        self._post_faults([(source, target, direction, fields)])

    def lose_answers(self, source, target, count):
        """Lose the next ``count`` answers of a link after their requests arrived."""
        self.set_flow(source, target, Direction.BACK, lose_answers=count)

    def heal(self):
        """Lift every fault."""
        self._post("/heal", {})

    def reset(self, source, target):
        """Reset a link's open connections; return how many there were."""
        document = {"source": source, "target": target}
        return self._post("/reset", document)["connections"]

    def half_open(self, source, target):
        """Reset only the target's side of a link's connections; return how many."""
        document = {"source": source, "target": target}
        return self._post("/half-open", document)["connections"]

    def set_sources(self, pids):
        """Register the process ids of named processes."""
        self._post("/sources", pids)

    def _post_faults(self, changes):
        documents = [
            {"source": source, "target": target, "direction": direction, **fields}
            for source, target, direction, fields in changes
        ]
        self._post("/faults", documents)

    def _post(self, path, document):
        client = HTTPClient("127.0.0.1", self._port, network_timeout=5.0)
        try:
            response = client.post(path, orjson.dumps(document))
            data = response.read()
        finally:
            client.close()
        if response.status_code != 200:
            raise ValueError(f"{path}: status {response.status_code}: {data!r}")
        return orjson.loads(data)


app = App(name="standin-faultproxy", help="A TCP proxy that injects faults.")


@app.default
def run(*, control_port: int, listeners: Path):
    """Serve the listeners in a JSON file until the process is stopped."""
    proxy = FaultProxy()
    for listener in cattrs.structure(
        orjson.loads(listeners.read_bytes()), list[Listener]
    ):
        proxy.listen(listener)
    logging.info("control port %d", control_port)
    make_server("127.0.0.1", control_port, proxy.control).serve_forever()


if __name__ == "__main__":
    app()
