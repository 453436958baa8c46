"""A node in a process of its own, with its server and the store in this one."""

import contextlib
import resource
import signal
import subprocess
import sys
from pathlib import Path

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
from comfreywharf_dev.standins.crowd import Crowd, peak_memory_mb
from comfreywharf_dev.standins.platform_server import PlatformServer
from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = ["NodeProcess", "make_request"]

SCRIPT = Path(__file__).parents[3] / "deploy/node.py"

BLOCK_BYTES = 64 * 1024
START_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 60.0


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
    isn't divided by key, whose only server is beside this node. Two other nodes are its
    witnesses: without a lease, it would be removed as lost.
    """

    def __init__(self, path, memory_mb, max_descriptors, **limits):
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.ports = free_ports()
        self._path = path
        self._limits = limits
        self._store = PlatformStore()
        self.server = PlatformServer("i-n1", "stock", [])
        self._process = None
        self._crowd = None
        self._stack = contextlib.ExitStack()
        self._requests = 0

    def __enter__(self):
        with self._stack:
            self._store.start()
            self._stack.callback(self._store.stop)
            self._configure()
            self._process = self._start("n1", "z1", self.server, self.ports)
            for name, zone in (("n2", "z2"), ("n3", "z0")):
                server = PlatformServer(f"i-{name}", "booking", [])
                self._start(name, zone, server, free_ports())
            self._crowd = self._stack.enter_context(Crowd(self._process))
            limit = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limit)
            wait_for(self._is_serving, START_TIMEOUT_S)
            self._stack = self._stack.pop_all()
        return self

    def _start(self, name, zone, server, ports):
        """Start a node and its server; return the node's process."""
        boot_path = self._path / f"{name}.conf"
        text = boot_text(name, zone, server.service, ports, self._store.port)
        boot_path.write_text(
            f"{text}self.limits.memoryMb={self.memory_mb}\n"
            f"self.limits.maxFds={self.max_descriptors}\n"
        )
        lines = self._stack.enter_context((self._path / f"{name}.log").open("wb"))
        process = subprocess.Popen(
            [sys.executable, str(SCRIPT)],
            env={"COMFREYWHARF_BOOT": str(boot_path)},
            stdout=lines,
        )
        self._stack.callback(_kill, process)
        server.start(ports[3])
        self._stack.callback(server.stop)
        return process

    def _configure(self):
        document = configuration(1)
        for route in document["routes"].values():
            route.pop("trafficSplit", None)
            route.update(service="stock", timeout=f"{LONG_TIMEOUT_MS}ms")
        document["limits"].update(self._limits)
        self._store.put("keyed.op", "config", document)

    def __exit__(self, *error):
        self._stack.close()

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
        return peak_memory_mb(self._process)

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

    def hold(self, data, count, port=None, **options):
        """Open connections that send ``data``; see `Crowd.hold`."""
        self._crowd.hold(port or self.ports[1], data, count, **options)

    def flood(self, start, block, count, size_bytes, port=None):
        """Return a context with endless senders; see `Crowd.flood`."""
        port = port or self.ports[1]
        return self._crowd.flood(port, start, block, count, size_bytes)


def _kill(process):
    process.send_signal(signal.SIGKILL)
    process.wait()
