"""Cost of the parts of a request's path, and of cheaper experimental replacements.

``pywsgi_us`` is a request that the WSGI server reads and answers; ``lean_headers_us``
the same without the e-mail parser of the standard library; ``stream_us`` the lower
limit, one receive and one send on a gevent socket. ``forward_us`` is a call between
nodes, client and server together; ``forward_batch_us`` the same in batches of 16 calls.
"""

import time

from gevent import socket

from comfreywharf.transport import PeerClient
from comfreywharf.transport.gen import Node
from comfreywharf.transport.gen.ttypes import ForwardRequest, Header
from comfreywharf.transport.sockets import protocol_over
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.generator import Load
from comfreywharf_dev.bench.processes import (
    Processes,
    free_port,
    generate_load,
    processor_s,
)

__all__ = ["run"]

ROUNDS = 3
SECONDS = 1.5
CONCURRENCY = 8
CALLS = 4_000
BATCH = 16
HEADERS = (("Host", "10.0.0.1:8000"), ("User-Agent", "bench"), ("Accept", "*/*"))


def run():
    """Measure the variants alternately and return the figures."""
    with Processes() as processes:
        servers = {
            kind: _start(processes, kind)
            for kind in ("wsgi", "lean", "stream", "thrift")
        }
        names = {"wsgi": "pywsgi_us", "lean": "lean_headers_us", "stream": "stream_us"}
        costs = {name: [] for name in names.values()}
        costs |= {"forward_us": [], "forward_batch_us": []}
        for _ in range(ROUNDS):
            for kind, name in names.items():
                costs[name].append(_http_us(*servers[kind]))
            costs["forward_us"].append(_forward_us(*servers["thrift"], batch=1))
            costs["forward_batch_us"].append(
                _forward_us(*servers["thrift"], batch=BATCH)
            )
    for name, values in costs.items():
        yield Figure(
            name=name,
            value=sorted(values)[ROUNDS // 2],
            unit="us/request",
            note=f"of processor time; median of {ROUNDS} rounds",
            points=tuple(enumerate(values)),
        )


def _start(processes, kind):
    port = free_port()
    module = "comfreywharf_dev.bench.server_loop_servers"
    return port, processes.start(module, kind, "--port", str(port), port=port)


def _http_us(port, pid):
    load = Load(
        port=port,
        path="/book",
        keys=("key",),
        concurrency=CONCURRENCY,
        seconds=SECONDS,
    )
    before_s = processor_s(pid)
    (document,) = generate_load(load)
    return (processor_s(pid) - before_s) / document["statuses"]["200"] * 1e6


def _forward_us(port, pid, batch):
    before_s = processor_s(pid) + time.process_time()
    if batch == 1:
        _call_singly(port)
    else:
        _call_in_batches(port, batch)
    return (processor_s(pid) + time.process_time() - before_s) / CALLS * 1e6


def _call_singly(port):
    client = PeerClient("127.0.0.1", port)
    for _ in range(CALLS):
        client.call("forward", _request(), timeout_s=5.0)
    client.close()


def _call_in_batches(port, batch):
    sock = _BatchingSocket(socket.create_connection(("127.0.0.1", port)))
    client = Node.Client(protocol_over(sock))
    for _ in range(CALLS // batch):
        for _ in range(batch):
            client.send_forward(_request())
        sock.send_batch()
        for _ in range(batch):
            client.recv_forward()
    sock.close()


class _BatchingSocket:
    """Buffer what is sent until ``send_batch()`` sends it at once."""

    def __init__(self, sock):
        self._sock = sock
        self._unsent = []
        self.setsockopt = sock.setsockopt
        self.recv = sock.recv
        self.close = sock.close

    def sendall(self, data):
        self._unsent.append(data)

    def send_batch(self):
        data, self._unsent = b"".join(self._unsent), []
        self._sock.sendall(data)


def _request():
    return ForwardRequest(
        request_id="0123456789abcdef0123456789abcdef",
        service_name="booking",
        key=b"key-17",
        method="POST",
        path="/book",
        headers=[Header(name=name, value=value) for name, value in HEADERS],
        body=b"b" * 256,
        remaining_ms=800,
        ingress_node_id="booking-1",
        retries_left=2,
        event_clock=0,
        first_sent_ago_ms=0,
        priority=0,
        repeatable=False,
        target_ms=0,
    )
