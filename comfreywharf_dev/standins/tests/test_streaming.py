"""Large bodies through two nodes: complete, with bounded memory and backpressure."""

import hashlib
import os
import signal
import socket

import pytest

from comfreywharf_dev.standins.cluster import Cluster, wait_until
from comfreywharf_dev.standins.deployments import riga_plans, riga_services

pytestmark = pytest.mark.processes

MB = 1 << 20
SIZE_BYTES = 200 * MB
MAX_GROWTH_MB = 8
NODES = ("booking-1", "files-1")
PART = bytes(range(256)) * 4096


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(
        tmp_path_factory.mktemp("s"), riga_plans(booking=1, files=1)
    ) as running:
        running.submit(riga_services())
        wait_until(
            lambda: running.call("booking-1", "/files/look", method="GET")[0] == 200, 20
        )
        yield running


class PeakMemory:
    """The growth of the nodes' peak resident memory, in MB."""

    def __init__(self, cluster):
        self._processes = [cluster.plans[name].node_process.pid for name in NODES]
        for pid in self._processes:
            with open(f"/proc/{pid}/clear_refs", "w") as file:
                file.write("5")
        self._before = [self._read(pid) for pid in self._processes]

    def growth_mb(self):
        now = [self._read(pid) for pid in self._processes]
        return max(a - b for a, b in zip(now, self._before, strict=True)) / 1024

    @staticmethod
    def _read(pid):
        with open(f"/proc/{pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        return int(fields["VmHWM"].split()[0])


def open_request(cluster, head):
    port = cluster.plans[NODES[0]].caller_port
    sock = socket.create_connection(("127.0.0.1", port), timeout=60)
    lines = [head, "Host: x", "Connection: close", "Comfreywharf-Timeout-Ms: 60000"]
    sock.sendall("\r\n".join(lines).encode() + b"\r\n")
    return sock


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_upload_is_forwarded_in_parts(cluster, chunked):
    """An upload of 200 MB doesn't raise the nodes' memory by its size.

    Guards against a node that keeps whole bodies, or that accepts parts faster than
    the next hop does, and so runs out of memory.
    """
    peak = PeakMemory(cluster)
    with open_request(cluster, "POST /files/upload HTTP/1.1") as sock:
        if chunked:
            sock.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
        else:
            sock.sendall(b"Content-Length: %d\r\n\r\n" % SIZE_BYTES)
        part = b"%x\r\n%s\r\n" % (len(PART), PART) if chunked else PART
        for _ in range(SIZE_BYTES // len(PART)):
            sock.sendall(part)
        if chunked:
            sock.sendall(b"0\r\n\r\n")
        answer = sock.makefile("rb").read()
    digest = hashlib.sha256(PART * (SIZE_BYTES // len(PART))).hexdigest()
    assert answer.startswith(b"HTTP/1.1 200") and digest.encode() in answer
    assert peak.growth_mb() <= MAX_GROWTH_MB


def test_a_large_download_is_forwarded_in_parts(cluster):
    """A download of 200 MB doesn't raise the nodes' memory by its size."""
    peak = PeakMemory(cluster)
    received = 0
    head = f"GET /files/download?bytes={SIZE_BYTES} HTTP/1.1"
    with open_request(cluster, head) as sock:
        sock.sendall(b"\r\n")
        while part := sock.recv(MB):
            received += len(part)
    assert SIZE_BYTES < received < SIZE_BYTES + 1000
    assert peak.growth_mb() <= MAX_GROWTH_MB


def test_a_frozen_server_blocks_its_caller(cluster):
    """A caller can't send on while the server doesn't read.

    Guards against a node that accepts parts which the next hop can't take, so that its
    memory grows. The server freezes in the middle of an upload while the caller keeps
    sending.
    """
    peak = PeakMemory(cluster)
    server = cluster.plans["files-1"].server_process
    with open_request(cluster, "POST /files/upload HTTP/1.1") as sock:
        sock.sendall(b"Content-Length: %d\r\n\r\n" % SIZE_BYTES)
        os.kill(server.pid, signal.SIGSTOP)
        sock.settimeout(1.0)
        try:
            sent = send_until_blocked(sock)
        finally:
            os.kill(server.pid, signal.SIGCONT)
        sock.settimeout(60)
        while sent < SIZE_BYTES:
            sent += sock.send(PART[: SIZE_BYTES - sent])
        assert sock.makefile("rb").read().startswith(b"HTTP/1.1 200")
    assert peak.growth_mb() <= MAX_GROWTH_MB


def send_until_blocked(sock):
    """Return how many bytes were sent before a send timed out."""
    sent = 0
    with pytest.raises(TimeoutError):
        while sent < SIZE_BYTES:
            sent += sock.send(PART[: SIZE_BYTES - sent])
    return sent
