"""Start the project's nodes as processes, with a stand-in store and upstreams."""

import contextlib
import os
import random
import signal
import socket as std_socket
import subprocess
import tempfile
import time
from pathlib import Path

import gevent

from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = ["Deployment", "Record", "route", "service"]

ROOT = Path(__file__).parents[2]

SETTINGS = """\
grants=direct
self.node={name}
self.role=node
self.machineClass=sidecar
self.serves=sidecar
self.ip=127.0.0.1
self.zone={zone}
self.region=riga
self.lossCounts=false
self.bootstrap={bootstrap}
self.limits.cpuShare=0.86
self.limits.cpuCores=1
self.limits.memoryMb=300
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
self.appAddress=127.0.0.1:{app}
self.service={service}
network.listen.inbound=127.0.0.1:{p[0]}
network.listen.outbound=127.0.0.1:{p[1]}
network.listen.ready=127.0.0.1:{p[2]}
network.listen.control=127.0.0.1:{p[3]}
network.internalPorts={p[4]},{p[5]}
network.seedNodes=
network.zones.agenskalns=riga
network.zones.teika=riga
network.zones.purvciems=riga
platform.discovery=static
platform.entry=static
platform.heartbeat=870ms
platform.platform.address=127.0.0.1:{store}
platform.platform.form=log
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.parts=12
platform.platform.append=2ms
platform.platform.partitionMbS=20.0
platform.platform.readMbS=80.0
platform.platform.recordBytes=262144
platform.platform.callBytes=2097152
platform.platform.keep=20s
platform.platform.partMb=200
platform.platform.ttlMin=1000ms
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.faultTolerance.machines=1
terms.faultTolerance.zones=0
terms.faultTolerance.regions=0
terms.bounds.seedLag=3s
terms.bounds.reuseAfter=2s
terms.bounds.contact=3000ms
terms.bounds.ack=4000ms
terms.bounds.catchUp=4s
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.lossSlack=200ms
terms.bounds.configApply=2000ms
terms.bounds.rollbackSlack=250ms
terms.bounds.outer=5000ms
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetExtra=58
terms.bounds.recovery=15s
terms.bounds.maxHold=10000ms
terms.bounds.thawSlack=300ms
"""

ZONES = ("agenskalns", "teika", "purvciems")


class Record:
    """What was sent, answered and run, with times since the start, in a file."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self.began_s = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def line(self, text):
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line, and print it."""
        self.line(text)
        print(text, flush=True)


def route(host, prefix, kind, service_name, timeout_ms, target_ms, attempts=2):
    """Return a route of a configuration."""
    return {
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service_name,
        "timeout": f"{timeout_ms}ms",
        "targetLatency": f"{target_ms}ms",
        "priority": 1,
        "maxAttempts": attempts,
    }


def service(sharded=False):
    """Return a service of a configuration."""
    fields = {"healthPath": "/health", "maxConnections": 110}
    if sharded:
        fields["sharded"] = True
    return fields


class Deployment:
    """Nodes with their upstreams and one store, on loopback addresses.

    The store and the upstreams run in this process, the nodes as processes of their
    own. All of them end when the context exits.
    """

    def __init__(self, record, routes, services, store=None):
        self.record = record
        self.store = store or PlatformStore()
        self.store.era = None
        self.upstreams = {}
        self.ports = {}
        self._processes = {}
        self._configuration = {
            "version": 3,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4 << 20,
                "headerTimeout": "3000ms",
                "idleTimeout": "15s",
            },
        }
        self._bootstrap = True
        self._folder = None
        self._stack = contextlib.ExitStack()
        self._random = random.Random()

    def __enter__(self):
        self._folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        gevent.signal_handler(signal.SIGTERM, self._end_early)
        self.store.start()
        self.store.put("keyed.op", "config", self._configuration)
        return self

    def _end_early(self):
        """End all processes when the script takes too long."""
        for process in self._processes.values():
            process.kill()
        os._exit(2)

    def __exit__(self, *error):
        for name in list(self._processes):
            self.kill(name)
        for upstream in self.upstreams.values():
            upstream.stop()
        self.store.stop()
        self._stack.close()

    def add(self, name, upstream):
        """Start a node, and the upstream beside it."""
        number = len(self.ports)
        self.ports[name] = self._free_ports()
        self.upstreams[name] = upstream
        upstream.start(self.ports[name][3], ZONES[number % 3])
        path = self._folder / f"{name}.conf"
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=ZONES[number % 3],
                service=upstream.service,
                bootstrap="true",
                app=upstream.port,
                p=self.ports[name],
                store=self.store.port,
            )
        )
        self.start(name)

    def start(self, name):
        """Start a node's process with the command of the deploy file."""
        environment = {
            **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
            "COMFREYWHARF_BOOT": str(self._folder / f"{name}.conf"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = (self._folder / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            ["python3", "-OO", "deploy/node.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.line(f"node {name} started")

    def kill(self, name):
        """Kill a node's process; its upstream goes on."""
        process = self._processes.pop(name, None)
        if process is None:
            return
        process.kill()
        process.wait()
        self.record.line(f"node {name} killed")

    def send_signal(self, name, number):
        """Send a signal to a node's process."""
        self._processes[name].send_signal(number)
        self.record.line(f"node {name} got {signal.Signals(number).name}")

    def exit_status(self, name):
        """Return the exit status of a node's process, ``None`` while it runs."""
        return self._processes[name].poll()

    def log(self, name):
        """Return what a node has written to its log."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def ready(self, name):
        """Return whether a node answers 200 to the readiness check."""
        with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(1.0):
            address = ("127.0.0.1", self.ports[name][2])
            with gevent.socket.create_connection(address) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).split()[1:2] == [b"200"]
        return False

    def wait_for(self, condition, timeout_s, what, pause_s=0.05):
        """Wait for a condition; raises `TimeoutError`."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise TimeoutError(f"not within {timeout_s} s: {what}")
            gevent.sleep(pause_s)
        self.record.line(f"reached: {what}")

    def outbound(self, name):
        """Return the address for the consumers of a node's machine."""
        return "127.0.0.1", self.ports[name][1]

    def _free_ports(self):
        taken = {port for ports in self.ports.values() for port in ports}
        for _ in range(1000):
            first = self._random.randrange(20_000, 30_000)
            ports = tuple(range(first, first + 6))
            if taken.isdisjoint(ports) and all(map(_is_free, ports)):
                return ports
        raise RuntimeError("no six free ports in a row")


def _is_free(port):
    with std_socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
