"""A node in a process of its own, and callers that send, hold and leave unread.

Its backend server and the store run in the test's process.
"""

import contextlib
import resource
import signal
import socket as std_socket
import subprocess
import sys
import threading
from pathlib import Path

import gevent
import psutil
from gevent import socket

from comfreywharf.platform.tests.builders import (
    LONG_TIMEOUT_MS,
    ReceivedAnswer,
    boot_text,
    configuration,
    free_ports,
    wait_for,
)
from comfreywharf_dev.standins.platform_server import PlatformServer
from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = ["NodeProcess", "make_request"]

SCRIPT = Path(__file__).parents[3] / "deploy/node.py"

BLOCK_BYTES = 64 * 1024
START_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 60.0
SETTLED_SAMPLES = 20
RECEIVE_BUFFER_BYTES = 4096
SAMPLE_INTERVAL_S = 0.1


def make_request(method="GET", path="/look/1", body=b"", **headers):
    """Return the bytes of a request; ``body`` may be sent in part."""
    lines = {
        "Host": "a.example",
        "X-Attempt-Id": "id-1",
        "X-Deadline-Ms": str(LONG_TIMEOUT_MS),
    }
    lines.update({name.replace("_", "-"): value for name, value in headers.items()})
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body


class NodeProcess:
    """A node whose process has the platform's limits of memory and descriptors.

    ``limits`` replace limits of the configuration. All routes lead to one service that
    isn't divided by key.
    """

    def __init__(self, path, memory_mb, max_descriptors, **limits):
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.ports = free_ports()
        self._boot_path = path / "node.conf"
        self._lines_path = path / "lines.log"
        self._limits = limits
        self._store = PlatformStore()
        self.server = PlatformServer("i-1", "stock", [])
        self._process = None
        self._stack = contextlib.ExitStack()
        self._requests = 0

    def __enter__(self):
        self._store.start()
        self._configure()
        text = boot_text("n1", "z1", "stock", self.ports, self._store.port)
        self._boot_path.write_text(
            f"{text}self.limits.memoryMb={self.memory_mb}\n"
            f"self.limits.maxFds={self.max_descriptors}\n"
        )
        self._process = subprocess.Popen(
            [sys.executable, str(SCRIPT)],
            env={"COMFREYWHARF_BOOT": str(self._boot_path)},
            stdout=self._stack.enter_context(self._lines_path.open("wb")),
        )
        limit = (self.max_descriptors, self.max_descriptors)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limit)
        self.server.start(self.ports[3])
        wait_for(self._is_serving, START_TIMEOUT_S)
        return self

    def _configure(self):
        document = configuration(1)
        for route in document["routes"].values():
            route.pop("trafficSplit", None)
            route.update(service="stock", timeout=f"{LONG_TIMEOUT_MS}ms")
        document["limits"].update(self._limits)
        self._store.put("keyed.op", "config", document)

    def __exit__(self, *error):
        self._stack.close()
        self._process.send_signal(signal.SIGKILL)
        self._process.wait()
        self.server.stop()
        self._store.stop()

    def _is_serving(self):
        try:
            return self.send_request().status == 200
        except OSError:
            return False

    @property
    def alive(self):
        """Return whether the process runs."""
        return self._process.poll() is None

    @property
    def peak_memory_mb(self):
        """Return the largest resident memory that the process has had, in MB."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    @property
    def descriptors(self):
        """Return how many descriptors the process has open."""
        return psutil.Process(self._process.pid).num_fds()

    def send_request(self, **options):
        """Send an ordinary request on a new connection; return its `ReceivedAnswer`.

        Raises `OSError` if the connection can't be opened or breaks.
        """
        self._requests += 1
        headers = {"X_Attempt_Id": f"own-{self._requests}", "Connection": "close"}
        data = make_request(**headers, **options)
        address = ("127.0.0.1", self.ports[1])
        parts = []
        sock = socket.create_connection(address, ANSWER_TIMEOUT_S)
        with contextlib.closing(sock):
            sock.sendall(data)
            while part := sock.recv(BLOCK_BYTES):
                parts.append(part)
        return ReceivedAnswer(b"".join(parts))

    def connect(self, port=None):
        """Return a caller's connection that stays open until the process is ended."""
        sock = self._stack.enter_context(contextlib.closing(std_socket.socket()))
        # Answers that aren't read stay in the process instead of the socket.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(ANSWER_TIMEOUT_S)
        sock.connect(("127.0.0.1", port or self.ports[1]))
        return sock

    def hold(self, data, count, port=None):
        """Open connections that send ``data``, and then neither send nor read.

        Return once the process takes no more memory for them.
        """
        socks = [self.connect(port) for _ in range(count)]
        left = dict.fromkeys(socks, data)
        for sock in socks:
            sock.setblocking(False)
        last_mb, unchanged = 0, 0
        while self.alive and unchanged < SETTLED_SAMPLES:
            for sock, unsent in left.items():
                with contextlib.suppress(OSError):
                    left[sock] = unsent[sock.send(unsent) :]
            gevent.sleep(SAMPLE_INTERVAL_S)
            peak_mb = self.peak_memory_mb
            unchanged = unchanged + 1 if peak_mb == last_mb else 0
            last_mb = peak_mb

    @contextlib.contextmanager
    def flood(self, start, block, count, size_bytes, port=None):
        """Send ``start``, and ``block`` again and again, on each of some connections.

        The context begins once each has sent ``size_bytes``, was closed or can't send
        more. They go on until it ends.
        """
        stopping = threading.Event()
        senders = [
            _EndlessSender(self.connect(port), start, block, stopping)
            for _ in range(count)
        ]
        for sender in senders:
            sender.start()
        try:
            while any(sender.sends_on(size_bytes) for sender in senders):
                gevent.sleep(SAMPLE_INTERVAL_S)
            yield
        finally:
            stopping.set()
            for sender in senders:
                sender.join()


class _EndlessSender(threading.Thread):
    """A caller with a thread of its own, which the loop under test can't slow down."""

    def __init__(self, sock, start, block, stopping):
        super().__init__(daemon=True)
        self.sent_bytes = 0
        self._sock = sock
        self._start_data = start
        self._block = block * max(1, BLOCK_BYTES // len(block))
        self._stopping = stopping
        self._refused_sends = 0
        sock.settimeout(SAMPLE_INTERVAL_S)

    def sends_on(self, size_bytes):
        """Return whether it still sends, and hasn't sent a number of bytes yet."""
        stuck = self._refused_sends >= SETTLED_SAMPLES
        return self.is_alive() and not stuck and self.sent_bytes < size_bytes

    def run(self):
        """Send until the connection is closed, or the flood is stopped."""
        unsent = self._start_data
        while not self._stopping.is_set():
            try:
                sent_bytes = self._sock.send(unsent or self._block)
            except TimeoutError:
                self._refused_sends += 1
                continue
            except OSError:
                return
            self._refused_sends = 0
            self.sent_bytes += sent_bytes
            # A block may have been sent in part: the next one completes it.
            unsent = (unsent or self._block)[sent_bytes:]
