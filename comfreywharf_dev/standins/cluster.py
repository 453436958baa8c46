"""Start and stop the processes of a small deployment on loopback.

This is scaffolding for the demo, tests and benchmarks; the product's own
processes start no other processes.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import attrs
import orjson
from geventhttpclient import HTTPClient

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.follower import new_record_id
from comfreywharf.records import (
    ConfigPatched,
    DrainChanged,
    encode_record,
    key_hash,
)
from comfreywharf_dev.standins.faultproxy import FaultControl, Listener

__all__ = ["LOG", "Cluster", "NodePlan", "http_json", "wait_listening", "wait_until"]

START_TIMEOUT_S = 60.0
PORT_RANGE = (12_000, 32_000)
PORTS_PER_BLOCK = 100
LOG = "log"
"""The name of the log service in the links of the fault proxy."""


@attrs.define(kw_only=True)
class NodePlan:
    """A node and the backend server beside it: names, ports, processes.

    The ``proxied`` ports are those of the fault proxy, and 0 without one. A node whose
    ``wall_offset_s`` isn't 0 runs with a wall clock that is shifted by this offset.
    """

    node_id: str
    service: str
    failure_domain: str
    region: str = "riga"
    checks_fences: bool = False
    slots: int = 12
    connections: int = 110
    work_ms: float = 2.0
    wall_offset_s: float = 0.0
    caller_port: int = 0
    peer_port: int = 0
    operator_port: int = 0
    backend_port: int = 0
    server_port: int = 0
    proxied_peer_port: int = 0
    proxied_server_port: int = 0
    proxied_log_port: int = 0
    node_process: subprocess.Popen | None = None
    server_process: subprocess.Popen | None = None

    @property
    def server_name(self):
        """Return the name of the backend server in the ledger."""
        return f"server-{self.node_id}"


def http_json(port, method, path, document=None, headers=None, timeout_s=10.0):
    """Send one request to a port on loopback; return status, headers, document."""
    client = HTTPClient(
        "127.0.0.1", port, network_timeout=timeout_s, connection_timeout=timeout_s
    )
    body = orjson.dumps(document) if document is not None else b""
    try:
        response = client.request(method, path, body, headers or {})
        data = response.read()
    finally:
        client.close()
    try:
        document = orjson.loads(data) if data else None
    except orjson.JSONDecodeError:
        document = data.decode("utf-8", "replace")
    return response.status_code, dict(response.items()), document


class Cluster:
    """A log service, nodes and backend servers as processes.

    >>> with Cluster(folder, plans) as cluster:  # doctest: +SKIP
    ...     cluster.submit({"booking": ServiceConfig(name="booking")})
    ...     cluster.wait_owned("booking")

    With ``proxied``, traffic between nodes, to the log and to the backend
    servers goes through a fault proxy, and ``faults`` is its `FaultControl`. The
    ends of its links are named by node ids, `LOG`, and the plans' ``server_name``.
    """

    def __init__(self, folder, plans, lease_ms=1000, proxied=False):
        self.folder = Path(folder)
        self.plans = {plan.node_id: plan for plan in plans}
        self.lease_ms = lease_ms
        self.ledger = self.folder / "ledger.jsonl"
        self.log_port = 0
        self.log_process = None
        self.grants_ledger = self.folder / "grants.jsonl"
        self.faults = None
        self._proxied = proxied
        self._proxy_port = 0
        self._proxy_process = None
        self._reserved_sockets = []
        self._block_sockets = []
        self._ports_left = []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            # Python doesn't call __exit__ if __enter__ raises; without this call
            # the processes would keep running and load the machine.
            self.stop()
            raise
        return self

    def __exit__(self, *error):
        self.stop()

    def start(self):
        """Start every process and wait until each listens."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.log_port = self._free_port()
        for plan in self.plans.values():
            for field in ("caller", "peer", "operator", "backend", "server"):
                setattr(plan, f"{field}_port", self._free_port())
        if self._proxied:
            self._plan_proxy()
        self._release_ports()
        if self._proxied:
            self._start_proxy()
        self.start_log()
        for plan in self.plans.values():
            self.start_node(plan.node_id)
            self.start_server(plan.node_id)
        for plan in self.plans.values():
            wait_listening(plan.caller_port)
            wait_listening(plan.operator_port)
            wait_listening(plan.server_port)

    def join(self, plan):
        """Add a node and its backend server to the running cluster."""
        for field in ("caller", "peer", "operator", "backend", "server"):
            setattr(plan, f"{field}_port", self._free_port())
        self._release_ports()
        self.plans[plan.node_id] = plan
        self.start_node(plan.node_id)
        self.start_server(plan.node_id)
        wait_listening(plan.caller_port)

    def append(self, record):
        """Append a record to the log, as an operator's tool would."""
        client = HTTPClient("127.0.0.1", self.log_port)
        response = client.post("/streams/comfreywharf", encode_record(record))
        return orjson.loads(response.read())["offset"]

    def _plan_proxy(self):
        self._proxy_port = self._free_port()
        listeners = []
        for plan in self.plans.values():
            for field in ("peer", "server", "log"):
                setattr(plan, f"proxied_{field}_port", self._free_port())
            listeners += self._listeners(plan)
        path = self.folder / "listeners.json"
        path.write_bytes(orjson.dumps([attrs.asdict(one) for one in listeners]))

    def _listeners(self, plan):
        return (
            Listener(
                port=plan.proxied_peer_port,
                target=plan.node_id,
                target_port=plan.peer_port,
            ),
            Listener(
                port=plan.proxied_server_port,
                target=plan.server_name,
                target_port=plan.server_port,
                source=plan.node_id,
            ),
            Listener(
                port=plan.proxied_log_port,
                target=LOG,
                target_port=self.log_port,
                source=plan.node_id,
            ),
        )

    def _start_proxy(self):
        self._proxy_process = self._spawn(
            "proxy",
            "comfreywharf_dev.standins.faultproxy",
            "--control-port",
            str(self._proxy_port),
            "--listeners",
            str(self.folder / "listeners.json"),
        )
        wait_listening(self._proxy_port)
        self.faults = FaultControl(self._proxy_port)

    def remove_stopped_node(self, node_id):
        """Wait for a node's process to exit, kill its server, and drop its plan."""
        plan = self.plans.pop(node_id)
        plan.node_process.wait(START_TIMEOUT_S)
        _kill(plan.server_process)

    def start_log(self):
        """Start the stand-in log service."""
        self.log_process = self._spawn(
            "log", "comfreywharf_dev.standins.logservice", "--port", str(self.log_port)
        )
        wait_listening(self.log_port)

    def start_node(self, node_id):
        """Write a node's settings and start its process."""
        plan = self.plans[node_id]
        path = self.folder / f"{node_id}.ini"
        path.write_text(self._settings(plan), encoding="utf-8")
        arguments = ["comfreywharf.daemon.main", "--settings", str(path)]
        if plan.wall_offset_s:
            offset_path = self.folder / f"{node_id}.offset"
            offset_path.write_text(str(plan.wall_offset_s), encoding="ascii")
            arguments[0] = "comfreywharf_dev.standins.jumping_clock"
            arguments.insert(1, str(offset_path))
        plan.node_process = self._spawn(node_id, *arguments)
        if self.faults:
            self.faults.set_sources({node_id: plan.node_process.pid})

    def start_server(self, node_id):
        """Start the backend server beside a node."""
        plan = self.plans[node_id]
        flags = {
            "name": plan.server_name,
            "service": plan.service,
            "port": plan.server_port,
            "announced-port": plan.proxied_server_port,
            "node-port": plan.backend_port,
            "slots": plan.slots,
            "connections": plan.connections,
            "work-ms": plan.work_ms,
            "ledger": self.ledger,
            "grants-ledger": self.grants_ledger,
        }
        arguments = [
            text for key, value in flags.items() for text in (f"--{key}", str(value))
        ]
        if plan.checks_fences:
            arguments.append("--checks-fences")
        plan.server_process = self._spawn(
            plan.server_name, "comfreywharf_dev.standins.backend", *arguments
        )

    def stop(self):
        """Kill every process that this object started."""
        processes = [self.log_process, self._proxy_process]
        for plan in self.plans.values():
            processes += [plan.node_process, plan.server_process]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()
        while self._block_sockets:
            self._block_sockets.pop().close()

    def submit(self, services, base_version=0, author="operator"):
        """Append a configuration patch, as an operator's tool would."""
        record = ConfigPatched(
            record_id=new_record_id(),
            base_version=base_version,
            services=services,
            author=author,
        )
        return self.append(record)

    def drain(self, node_id, draining=True, author="operator"):
        """Append a record that starts a node's drain, or ends it."""
        return self.append(
            DrainChanged(
                record_id=new_record_id(),
                node_id=node_id,
                draining=draining,
                author=author,
            )
        )

    def jump_clock(self, node_id, wall_offset_s):
        """Set the offset of a node's wall clock, in seconds.

        The node must have been started with an offset other than 0.
        """
        path = self.folder / f"{node_id}.offset"
        path.write_text(str(wall_offset_s), encoding="ascii")

    def set_log_switches(self, **switches):
        """Set the fault switches of the log service."""
        http_json(self.log_port, "POST", "/switches", switches)

    def set_server_switches(self, node_id, **switches):
        """Set the fault switches of a backend server."""
        http_json(self.plans[node_id].server_port, "POST", "/switches", switches)

    def running_requests(self, node_id):
        """Return the ids of the requests that a backend server runs."""
        return http_json(self.plans[node_id].server_port, "GET", "/running")[2]

    def kill_node(self, node_id):
        """Kill a node's process; the backend server beside it keeps running."""
        _kill(self.plans[node_id].node_process)

    def terminate_node(self, node_id):
        """Send SIGTERM to a node, as a planned stop of its VM does."""
        self.plans[node_id].node_process.send_signal(signal.SIGTERM)

    def freeze_node(self, node_id):
        """Suspend a node's process with SIGSTOP."""
        self.plans[node_id].node_process.send_signal(signal.SIGSTOP)

    def resume_node(self, node_id):
        """Resume a frozen node."""
        self.plans[node_id].node_process.send_signal(signal.SIGCONT)

    def freeze_server(self, node_id):
        """Suspend the backend server beside a node with SIGSTOP."""
        self.plans[node_id].server_process.send_signal(signal.SIGSTOP)

    def resume_server(self, node_id):
        """Resume a frozen backend server."""
        self.plans[node_id].server_process.send_signal(signal.SIGCONT)

    def kill_server(self, node_id):
        """Kill the backend server beside a node."""
        _kill(self.plans[node_id].server_process)

    def kill_vm(self, node_id):
        """Kill a node and its backend server, as the loss of their VM does."""
        self.kill_node(node_id)
        self.kill_server(node_id)

    def status(self, node_id):
        """Return a node's status document."""
        return http_json(self.plans[node_id].operator_port, "GET", "/status")[2]

    def state(self, node_id):
        """Return the state that a node folded from the log, as a document."""
        return http_json(self.plans[node_id].operator_port, "GET", "/state")[2]

    def call(self, node_id, path, key=None, method="POST", **headers):
        """Send a caller's request to a node."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            fields["Comfreywharf-Key"] = key
        port = self.plans[node_id].caller_port
        return http_json(port, method, path, headers=fields)

    def effects(self):
        """Return the ledger: every effect that a backend server applied."""
        return _read_lines(self.ledger)

    def grants(self):
        """Return every grant that a backend server accepted, in that order."""
        return _read_lines(self.grants_ledger)

    def owner_of(self, seen_by, service, key):
        """Return the node that owns a key in the state of the node ``seen_by``."""
        return self.slice_of(seen_by, service, key)["owner"]

    def slice_of(self, seen_by, service, key):
        """Return the slice that contains a key in the state of the node ``seen_by``.

        Raises `KeyError` if no slice contains it.
        """
        value = key_hash(key.encode())
        for slice_ in self.state(seen_by)["slices"][service]["slices"]:
            if slice_["start"] <= value < slice_["end"]:
                return slice_
        raise KeyError(key)

    def wait_owned(self, service, timeout_s=START_TIMEOUT_S):
        """Wait until each slice of a service has an owner that serves it.

        Every node then has the owners in its state, and each owner holds its lease.
        """
        wait_until(lambda: self._all_owned(service), timeout_s)
        wait_until(lambda: self._all_served(service), timeout_s)

    def wait_members(self, service, count, timeout_s=START_TIMEOUT_S):
        """Wait until every running node's state has ``count`` members of a service."""
        wait_until(
            lambda: all(
                self._member_count(node_id, service) >= count
                for node_id in self._running_node_ids()
            ),
            timeout_s,
        )

    def _member_count(self, node_id, service):
        members = self.state(node_id)["members"]
        return sum(member["service"] == service for member in members.values())

    def wait_standbys_ready(self, service, timeout_s=START_TIMEOUT_S):
        """Wait until a service is owned and each slice has a standby with a lease.

        Slices are assigned as soon as some nodes have their leases. A standby without
        a lease can't take over, and gets none while the log is down.
        """
        self.wait_owned(service, timeout_s)
        wait_until(lambda: self._all_standbys_ready(service), timeout_s)

    def wait_witnesses_spread(self, timeout_s=START_TIMEOUT_S):
        """Wait until no failure domain has most of the witnesses of any node.

        Nodes that started early chose their witnesses among few members, and move
        them when they know more. Every running node has the moves in its state then.
        """
        wait_until(
            lambda: all(
                _are_witnesses_spread(self.state(node_id)["members"])
                for node_id in self._running_node_ids()
            ),
            timeout_s,
        )

    def _all_standbys_ready(self, service):
        running = self._running_node_ids()
        slices = self.state(running[0])["slices"][service]["slices"]
        return all(slice_["standby"] for slice_ in slices) and all(
            self.status(node_id)["lease"] == "held" for node_id in running
        )

    def _running_node_ids(self):
        """Return the ids of the nodes whose processes are running."""
        return [
            plan.node_id
            for plan in self.plans.values()
            if plan.node_process is not None and plan.node_process.poll() is None
        ]

    def _all_served(self, service):
        running = self._running_node_ids()
        served = sum(
            self.status(node_id)["serving"].get(service, 0) for node_id in running
        )
        return served == len(self.state(running[0])["slices"][service]["slices"])

    def _all_owned(self, service):
        for node_id in self.plans:
            slice_map = self.state(node_id)["slices"].get(service)
            if not slice_map or not all(
                slice_["owner"] for slice_ in slice_map["slices"]
            ):
                return False
        return True

    def _settings(self, plan):
        seeds = " ".join(
            f"127.0.0.1:{other.proxied_peer_port or other.peer_port}"
            for other in list(self.plans.values())[:3]
            if other is not plan
        )
        advertised = ""
        if plan.proxied_peer_port:
            advertised = f"advertised_peer_port = {plan.proxied_peer_port}\n"
        return (
            f"[node]\nid = {plan.node_id}\nhost = 127.0.0.1\n"
            f"caller_port = {plan.caller_port}\npeer_port = {plan.peer_port}\n"
            f"operator_port = {plan.operator_port}\n"
            f"backend_port = {plan.backend_port}\n"
            f"failure_domain = {plan.failure_domain}\nregion = {plan.region}\n"
            f"{advertised}"
            f"\n[log]\naddress = 127.0.0.1:{plan.proxied_log_port or self.log_port}\n"
            f"\n[cluster]\nseeds = {seeds}\nlease_ms = {self.lease_ms}\n"
        )

    def _spawn(self, name, module, *arguments):
        with open(self.folder / f"{name}.log", "ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def _free_port(self):
        """Return an unused port of this cluster's own block.

        Without blocks, another cluster, or the kernel for an outgoing connection,
        could take the port before the process binds it. The process would then exit
        with "address already in use", and the test would wait until its timeout.
        Blocks are outside the ephemeral range, and the first port of each stays
        bound while its cluster exists.
        """
        while True:
            if not self._ports_left:
                self._reserve_block()
            port = self._ports_left.pop(0)
            sock = _bind(port)
            if sock is not None:
                self._reserved_sockets.append(sock)
                return port

    def _reserve_block(self):
        while True:
            first = random.randrange(*PORT_RANGE, PORTS_PER_BLOCK)
            sock = _bind(first)
            if sock is not None:
                self._block_sockets.append(sock)
                self._ports_left = list(range(first + 1, first + PORTS_PER_BLOCK))
                return

    def _release_ports(self):
        while self._reserved_sockets:
            self._reserved_sockets.pop().close()


def _are_witnesses_spread(members):
    for member in members.values():
        group = member["witnesses"]
        domains = Counter(members[one]["failure_domain"] for one in group)
        if not group or member["earlier_witnesses"]:
            return False
        if 2 * max(domains.values()) > len(group):
            return False
    return True


def _bind(port):
    """Return a socket bound to a port on loopback, or ``None`` if it is in use."""
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return None
    return sock


def _kill(process):
    process.send_signal(signal.SIGKILL)
    process.wait()


def _read_lines(path):
    if not path.exists():
        return []
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


def wait_until(condition, timeout_s):
    """Wait until a condition holds.

    Raises `TimeoutError` after ``timeout_s`` seconds. The timeout only ends a wait
    that has failed: no check depends on how soon the condition holds.
    """
    end_s = boottime_s() + timeout_s
    while boottime_s() < end_s:
        try:
            if condition():
                return
        except (OSError, TypeError):
            # A process that is starting or stopping refuses connections, or gives an
            # answer without the document that the condition indexes.
            pass
        time.sleep(0.05)
    raise TimeoutError(f"condition did not hold within {timeout_s} s")


def wait_listening(port, timeout_s=START_TIMEOUT_S):
    """Wait until a port on loopback accepts connections."""

    def listens():
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            return True

    wait_until(listens, timeout_s)
