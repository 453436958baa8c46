"""Cost of the control plane per node: processor time, memory and network bytes.

Nodes are added in groups to one running cluster, each group with a service of its
own, so that a node owns the same number of slices at every size. No requests are
sent during the measurement. One process acts as the backend servers of a whole group.
"""

import statistics
import tempfile
import time

import attrs
import psutil
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.records import ServiceConfig
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.processes import AuditedCluster, bind_low_port, processor_s
from comfreywharf_dev.bench.slopes import extrapolate, fit_line
from comfreywharf_dev.standins.cluster import NodePlan, wait_listening

__all__ = ["run"]

SIZES = (8, 16, 32, 64, 128)
SLICES_PER_NODE = 4
SETTLE_S = 2.0
WINDOW_S = 5.0
DOMAINS = 6
TARGET_NODES = 640
SEGMENT_HEADER_BYTES = 52
"""Headers of IPv4 and of TCP with timestamps."""

START_TIMEOUT_S = 40.0
MEBIBYTE = 1 << 20


@attrs.frozen(kw_only=True)
class Sample:
    """Means over the nodes at one size; ``worst_core`` is that of the busiest node."""

    nodes: int
    core: float
    worst_core: float
    rss_mib: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float
    log_core: float
    wakeups_per_s: float


class GrowingCluster(AuditedCluster):
    """A cluster to which nodes are added while it runs."""

    def __init__(self, folder):
        super().__init__(folder, [])
        self.group_processes = []

    def grow(self, count):
        """Add a group of nodes with a service of its own; return the service's name."""
        service = f"group-{len(self.group_processes)}"
        first = len(self.plans)
        plans = [
            NodePlan(
                node_id=f"node-{index:03d}",
                service=service,
                failure_domain=f"domain-{index % DOMAINS}",
            )
            for index in range(first, first + count)
        ]
        for plan in plans:
            self.plans[plan.node_id] = plan
            for field in ("caller", "peer", "operator", "backend"):
                setattr(plan, f"{field}_port", self._free_port())
        server_port = self._free_port()
        self._release_ports()
        for plan in plans:
            plan.server_port = server_port
            self.start_node(plan.node_id)
        for plan in plans:
            wait_listening(plan.caller_port, START_TIMEOUT_S)
        self._start_group_server(service, server_port, plans)
        self.submit(
            {service: ServiceConfig(name=service, slices=count * SLICES_PER_NODE)},
            base_version=len(self.group_processes) - 1,
        )
        self.wait_owned(service, START_TIMEOUT_S)
        return service

    def _start_group_server(self, service, port, plans):
        process = self._spawn(
            f"server-{service}",
            "comfreywharf_dev.bench.plain_server",
            *("--port", str(port), "--service", service),
            *("--node-ports", ",".join(str(plan.backend_port) for plan in plans)),
        )
        self.group_processes.append(process)
        wait_listening(port, START_TIMEOUT_S)

    def _free_port(self):
        sock = bind_low_port()
        self._reserved_sockets.append(sock)
        return sock.getsockname()[1]

    def start_server(self, node_id):
        """Do nothing: a group has one server for all of its nodes."""

    def stop(self):
        """Stop every process that this object started."""
        for process in self.group_processes:
            process.kill()
            process.wait()
        super().stop()


def run(sizes=SIZES):
    """Measure at each size and return the figures.

    If a size can't be started in time, the figures of the smaller sizes are still
    returned; ``largest_size`` then breaks its bound.
    """
    samples = []
    with tempfile.TemporaryDirectory() as folder, GrowingCluster(folder) as cluster:
        for size in sizes:
            try:
                samples.append(_grow_and_measure(cluster, size))
            except TimeoutError as error:
                logging.error(
                    "cluster of %d nodes not started in time: %s", size, error
                )
                break
    yield from _figures(samples)


def _grow_and_measure(cluster, size):
    cluster.grow(size - len(cluster.plans))
    time.sleep(SETTLE_S)
    return measure(cluster)


def measure(cluster, window_s=WINDOW_S):
    """Return the `Sample` of a cluster over ``window_s`` seconds.

    Traffic is measured only at some of the nodes, evenly spaced.
    """
    audited = list(cluster.plans)[:: max(1, len(cluster.plans) // 8)]
    pids = [plan.node_process.pid for plan in cluster.plans.values()]
    traffic_before = {
        node_id: _connection_traffic(cluster, node_id) for node_id in audited
    }
    log_before_s = processor_s(cluster.log_process.pid)
    before_s = [processor_s(pid) for pid in pids]
    wakeups_before = sum(map(_wakeups, pids))
    start_s = boottime_s()
    time.sleep(window_s)
    used_s = [
        processor_s(pid) - earlier for pid, earlier in zip(pids, before_s, strict=True)
    ]
    elapsed_s = boottime_s() - start_s
    log_used_s = processor_s(cluster.log_process.pid) - log_before_s
    wakeups = sum(map(_wakeups, pids)) - wakeups_before
    traffic = [
        _difference(traffic_before[node_id], _connection_traffic(cluster, node_id))
        for node_id in audited
    ]
    return Sample(
        nodes=len(pids),
        core=statistics.fmean(used_s) / elapsed_s,
        worst_core=max(used_s) / elapsed_s,
        rss_mib=statistics.fmean(_rss_mib(pid) for pid in pids),
        payload_bytes_per_s=statistics.fmean(p for p, _ in traffic) / elapsed_s,
        wire_bytes_per_s=statistics.fmean(w for _, w in traffic) / elapsed_s,
        log_core=log_used_s / elapsed_s,
        wakeups_per_s=wakeups / len(pids) / elapsed_s,
    )


def _wakeups(pid):
    """Return how often a process has waited so far."""
    return psutil.Process(pid).num_ctx_switches().voluntary


def _rss_mib(pid):
    return psutil.Process(pid).memory_info().rss / MEBIBYTE


def _connection_traffic(cluster, node_id):
    """Return the traffic so far of a node's connections to other nodes and the log."""
    plan = cluster.plans[node_id]
    own = {plan.backend_port, plan.server_port, plan.operator_port}
    return {
        (one["local"], one["peer"]): one
        for one in cluster.audit(node_id)
        if own.isdisjoint({_port(one["local"]), _port(one["peer"])})
    }


def _port(address):
    return int(address.rpartition(":")[2])


def _difference(before, after):
    """Return the payload and the wire bytes between two counts of traffic."""
    payload, segments = 0, 0
    for name, one in after.items():
        earlier = before.get(name, {})
        for field in ("sent_bytes", "received_bytes"):
            payload += one[field] - earlier.get(field, 0)
        segments += one["segments"] - earlier.get("segments", 0)
    return payload, payload + segments * SEGMENT_HEADER_BYTES


_FIELDS = {
    "core": "cores",
    "worst_core": "cores",
    "rss_mib": "MiB",
    "payload_bytes_per_s": "bytes/s",
    "wire_bytes_per_s": "bytes/s",
    "log_core": "cores",
    "wakeups_per_s": "1/s",
}


def _figures(samples):
    yield Figure(name="largest_size", value=samples[-1].nodes, unit="nodes")
    for field, unit in _FIELDS.items():
        points = tuple((one.nodes, getattr(one, field)) for one in samples)
        line = fit_line(points)
        yield Figure(
            name=f"{field}_at_largest",
            value=points[-1][1],
            unit=unit,
            points=points,
        )
        yield Figure(name=f"{field}_slope", value=line.slope, unit=f"{unit}/node")
        yield Figure(
            name=f"{field}_at_{TARGET_NODES}",
            value=extrapolate(points, TARGET_NODES),
            unit=unit,
            note=f"line through {len(points)} sizes, or the largest of them; residual "
            f"{line.residual:.3g}",
        )
