"""Processor time and memory of a node's process from its start until it is ready.

The node starts as on the platform, without docstrings, with stand-ins for the store
and for a backend server. The time in which the same interpreter imports only the
libraries is measured in the same run, so that the ratio doesn't depend on the
machine's speed.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import gevent
import psutil
from gevent import socket

from comfreywharf.platform.tests.builders import boot_text, configuration, free_ports
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.processes import processor_s
from comfreywharf_dev.standins.platform_server import PlatformServer
from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = ["run"]

ROOT = Path(__file__).parents[2]
STARTS = 5
POLL_S = 0.005
READY_TIMEOUT_S = 30.0

LIBRARIES = "gevent geventhttpclient httptools thrift.Thrift absl.logging attrs cattrs "
LIBRARIES += "orjson returns.result aioprometheus xxhash transitions"
IMPORT = "import " + ", ".join(LIBRARIES.split())


def _is_ready(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in sock.recv(100)
    except OSError:
        return False


def _wait_ready(process, port):
    with gevent.Timeout(READY_TIMEOUT_S):
        while not _is_ready(port):
            if process.poll() is not None:
                raise RuntimeError(
                    f"the node exited before it was ready, status {process.returncode}"
                )
            gevent.sleep(POLL_S)


def _start_node(folder, store, index):
    """Start a node; return ``(processor_s, rss_mib)`` when it becomes ready."""
    ports = free_ports()
    name = f"n{index}"
    path = Path(folder) / f"{name}.conf"
    path.write_text(boot_text(name, "z0", "booking", ports, store.port))
    environment = os.environ | {
        "COMFREYWHARF_BOOT": str(path),
        "PYTHONPATH": str(ROOT),
    }
    server = PlatformServer(f"i-{name}", "booking", [])
    server.start(ports[3])
    process = subprocess.Popen(
        [sys.executable, "-OO", "deploy/node.py"],
        cwd=ROOT,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _wait_ready(process, ports[2])
        used_s = processor_s(process.pid)
        rss_mib = psutil.Process(process.pid).memory_info().rss / 2**20
        return used_s, rss_mib
    finally:
        process.kill()
        process.wait()
        server.stop()


def _import_s():
    """Return the processor time in which an interpreter imports the libraries."""
    code = f"{IMPORT}\nimport time\nprint(time.process_time())"
    command = [sys.executable, "-OO", "-c", code]
    result = subprocess.run(command, capture_output=True, check=True, text=True)
    return float(result.stdout)


def run():
    """Measure and return the figures, each the smallest of several starts."""
    store = PlatformStore()
    store.start()
    store.put("keyed.op", "config", configuration())
    with tempfile.TemporaryDirectory(dir=ROOT / "run") as folder:
        _start_node(folder, store, 0)
        starts = [_start_node(folder, store, index) for index in range(1, STARTS + 1)]
    store.stop()
    imports_s = min(_import_s() for _ in range(STARTS))
    ready_s = min(used_s for used_s, _ in starts)
    rss_mib = min(rss for _, rss in starts)
    note = f"smallest of {STARTS} starts, docstrings left out"
    return [
        Figure(name="ready_processor", value=ready_s, unit="s", note=note),
        Figure(name="ready_ratio", value=ready_s / imports_s, unit="ratio", note=note),
        Figure(name="rss_ready", value=rss_mib, unit="MiB", note=note),
    ]
