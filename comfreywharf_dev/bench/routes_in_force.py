"""Time until a change of the routes is in force on all nodes.

The nodes are idle processes as on the platform, with stand-ins for the store and
for their backend servers. A figure is the time taken as a fraction of `APPLY_S`.
"""

import os
import re
import signal
import statistics
import sys
import tempfile
from collections import Counter
from pathlib import Path

import gevent
from gevent import subprocess

from comfreywharf.clock import boottime_s
from comfreywharf.platform.tests.builders import boot_text, configuration, free_ports
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.standins.platform_server import PlatformServer
from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = ["run"]

ROOT = Path(__file__).parents[2]
SIZES = (10, 30, 80)
CHANGES = 10
ZONES = 3
APPLY_S = 2.0
"""The time limit for a change, in seconds, as in the settings from `boot_text`."""

START_TIMEOUT_S = 120.0
CHANGE_TIMEOUT_S = 30.0
SETTLE_S = 3.0
POLL_S = 0.005

_IN_FORCE = re.compile(rb' routes_in_force .* version=(\d+) source="?([^"\s]+)')


class NodeProcess:
    """A node, its backend server, and the time of each version of its routes."""

    def __init__(self, name, folder, store_port):
        self.ports = free_ports()
        self.in_force_s = {}
        self.source = ""
        self.server = PlatformServer(f"i-{name}", "booking", [])
        self.server.start(self.ports[3])
        self._process = self._start(name, Path(folder) / f"{name}.conf", store_port)
        self._reader = gevent.spawn(self._read)

    @property
    def peer_address(self):
        """Return the address at which peers query this node."""
        return f"127.0.0.1:{self.ports[4]}"

    def freeze(self):
        """Suspend the process; its connections stay open."""
        self._process.send_signal(signal.SIGSTOP)

    def kill(self):
        """Kill the process and stop its backend server."""
        self._process.kill()
        self._process.wait()
        self._reader.join()
        self.server.stop()

    def _start(self, name, path, store_port):
        zone = f"z{int(name[1:]) % ZONES}"
        path.write_text(boot_text(name, zone, "booking", self.ports, store_port))
        environment = {"COMFREYWHARF_BOOT": str(path), "PYTHONPATH": str(ROOT)}
        return subprocess.Popen(
            [sys.executable, "-OO", "deploy/node.py"],
            cwd=ROOT,
            env=os.environ | environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )

    def _read(self):
        for line in self._process.stderr:
            found = _IN_FORCE.search(line)
            if found is not None:
                self.source = found[2].decode()
                self.in_force_s.setdefault(int(found[1]), boottime_s())


class Fleet:
    """Nodes that get the routes from one store."""

    def __init__(self, folder):
        self._folder = folder
        self._store = PlatformStore()
        self._version = 0
        self.nodes = []
        self._frozen = []

    def __enter__(self):
        self._store.start()
        return self

    def __exit__(self, *error):
        for node in self.nodes + self._frozen:
            node.kill()
        self._store.stop()

    def start_nodes(self, size):
        """Start nodes up to ``size``, and wait until new routes are in force on all."""
        while len(self.nodes) < size:
            name = f"n{len(self.nodes)}"
            self.nodes.append(NodeProcess(name, self._folder, self._store.port))
        self._wait_in_force(self._put_configuration(), START_TIMEOUT_S)
        gevent.sleep(SETTLE_S)

    def measure_change_s(self):
        """Change the routes; return the time until the last node applies them, in s."""
        began_s = boottime_s()
        version = self._put_configuration()
        self._wait_in_force(version, CHANGE_TIMEOUT_S)
        return max(node.in_force_s[version] for node in self.nodes) - began_s

    def freeze_relay(self):
        """Freeze the node from which most others received their last routes."""
        sources = Counter(node.source for node in self.nodes)
        relays = [node for node in self.nodes if node.peer_address in sources]
        frozen = max(relays, key=lambda node: sources[node.peer_address])
        self.nodes.remove(frozen)
        self._frozen.append(frozen)
        frozen.freeze()

    def _put_configuration(self):
        self._version += 1
        self._store.put("keyed.op", "config", configuration(self._version))
        return self._version

    def _wait_in_force(self, version, limit_s):
        with gevent.Timeout(limit_s):
            while any(version not in node.in_force_s for node in self.nodes):
                gevent.sleep(POLL_S)


def run(sizes=SIZES):
    """Measure at each size, and then once more after a relay is frozen."""
    figures = []
    (ROOT / "run").mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir=ROOT / "run") as folder:
        with Fleet(folder) as fleet:
            for size in sizes:
                fleet.start_nodes(size)
                taken_s = [fleet.measure_change_s() for _ in range(CHANGES)]
                figures += _figures(size, taken_s)
                fleet.freeze_relay()
                figures.append(
                    _figure(f"relay_frozen_{size}", fleet.measure_change_s())
                )
    return figures


def _figures(size, taken_s):
    yield _figure(f"median_{size}", statistics.median(taken_s))
    yield _figure(f"longest_{size}", max(taken_s))


def _figure(name, taken_s):
    note = f"{taken_s:.3f} s of {APPLY_S} s"
    return Figure(name=name, value=taken_s / APPLY_S, unit="ratio", note=note)
