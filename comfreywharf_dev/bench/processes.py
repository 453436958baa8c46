"""Start, measure and stop the processes of a benchmark, each by its process id."""

import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import attrs
import orjson
import psutil

from comfreywharf_dev.bench.generator import Load
from comfreywharf_dev.standins.cluster import Cluster, wait_listening, wait_until

__all__ = [
    "AuditedCluster",
    "PlainCluster",
    "bind_low_port",
    "Processes",
    "free_port",
    "generate_load",
    "processor_s",
]

GENERATOR_GRACE_S = 60.0
OUTPUT = Path("run/bench/processes.log")
"""The file that collects the output of the processes."""

LOW_PORTS = (12_000, 32_000)
BIND_TRIES = 200

_rng = random.Random(os.getpid())


def processor_s(pid):
    """Return the user and system time that a process has used, in seconds."""
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def bind_low_port():
    """Return a socket bound to a port below the range of ephemeral ports.

    An ephemeral port may be reused for an outgoing connection of any process, between
    its release here and its use by a new process. The new process then fails to start;
    this happens more often the more processes run.

    Raises `OSError` if no port was free in `BIND_TRIES` tries.
    """
    for _ in range(BIND_TRIES):
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", _rng.randrange(*LOW_PORTS)))
            return sock
        except OSError:
            sock.close()
    raise OSError(f"no free port in {LOW_PORTS} after {BIND_TRIES} tries")


def free_port():
    """Return a port on loopback that was free when checked."""
    with bind_low_port() as sock:
        return sock.getsockname()[1]


class Processes:
    """Python modules run as processes, which are killed together on exit."""

    def __init__(self):
        self._started = []

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in self._started:
            process.kill()
        for process in self._started:
            process.wait()

    def start(self, module, *arguments, port=None):
        """Start a module, wait until it listens, and return its process id."""
        command = [sys.executable, "-m", module, *arguments]
        OUTPUT.parent.mkdir(parents=True, exist_ok=True)
        with OUTPUT.open("ab") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        self._started.append(process)
        if port is not None:
            wait_listening(port)
        return process.pid


def generate_load(load, processes=1):
    """Run a load with one or several generator processes; return their documents.

    The processes share the load: each has its part of the rate and of the
    concurrency, and its own seed.
    """
    command = [sys.executable, "-m", "comfreywharf_dev.bench.generator"]
    running = [
        subprocess.Popen(
            [*command, orjson.dumps(attrs.asdict(part)).decode()],
            stdout=subprocess.PIPE,
        )
        for part in _split_load(load, processes)
    ]
    documents = []
    for process in running:
        try:
            output, _ = process.communicate(timeout=load.seconds + GENERATOR_GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            raise
        documents.append(orjson.loads(output))
    return documents


def _split_load(load, processes) -> list[Load]:
    return [
        attrs.evolve(
            load,
            rate_per_s=load.rate_per_s / processes,
            concurrency=max(1, load.concurrency // processes),
            seed=load.seed + index,
        )
        for index in range(processes)
    ]


class PlainCluster(Cluster):
    """A cluster whose backend servers only answer and do no work."""

    def start_server(self, node_id):
        """Start the plain server beside a node."""
        plan = self.plans[node_id]
        plan.server_process = self._spawn(
            f"server-{node_id}",
            "comfreywharf_dev.bench.plain_server",
            *("--port", str(plan.server_port)),
            *("--node-ports", str(plan.backend_port)),
            *("--name", f"server-{node_id}"),
            *("--service", plan.service),
            *("--slots", str(plan.slots)),
            *("--connections", str(plan.connections)),
        )


class AuditedCluster(PlainCluster):
    """A cluster whose nodes list their TCP connections on request."""

    def _spawn(self, name, module, *arguments):
        if module != "comfreywharf.daemon.main":
            return super()._spawn(name, module, *arguments)
        path = str(self.folder / f"{name}.audit")
        audit = "comfreywharf_dev.bench.socket_audit"
        return super()._spawn(name, audit, path, module, *arguments)

    def audit(self, node_id):
        """Return a node's TCP connections as documents."""
        path = self.folder / f"{node_id}.audit"
        path.unlink(missing_ok=True)
        self.plans[node_id].node_process.send_signal(signal.SIGUSR1)
        wait_until(path.exists, 10.0)
        return orjson.loads(path.read_bytes())
