"""Time and cost to spread a change of configuration: polling, gossip, or both.

Nodes in one process follow a log service in another process, in four variants: all
only poll the log; all poll and also exchange records with peers, as in the product;
a few poll and the others receive records from peers; all nodes but one are cut off
from the log. The third variant is an experiment that exists only here; the others
use the product's own components.
"""

import time

import attrs
import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.follower import Follower
from comfreywharf.transport.sockets import SocketTransport
from comfreywharf_dev.bench.figures import Figure
from comfreywharf_dev.bench.processes import Processes, free_port, processor_s
from comfreywharf_dev.standins.cluster import http_json
from comfreywharf_dev.standins.fleet import (
    CLOSED_PORT,
    FleetNode,
    make_patch,
    wait_for,
)

__all__ = ["run"]

LOG_MODULE = "comfreywharf_dev.standins.logservice"
NODES = 40
READERS = 4
CUT_READERS = 1
CHANGES = 12
CHANGE_INTERVAL_S = 0.5
IDLE_S = 8.0
SPARSE_READ_S = 4.0


@attrs.frozen(kw_only=True)
class Variant:
    """One variant of how records spread.

    With ``sparse``, all nodes but `READERS` rarely read the log; with ``cut``, all but
    `CUT_READERS` can't reach it.
    """

    name: str
    gossip: bool = True
    sparse: bool = False
    cut: bool = False


VARIANTS = (
    Variant(name="polling", gossip=False),
    Variant(name="both"),
    Variant(name="few_readers", sparse=True),
    Variant(name="cut_off", cut=True),
)


@attrs.define
class ByteCounter:
    """Number of bytes that nodes wrote to each other."""

    sent_bytes: int = 0


class SparseFollower(Follower):
    """A follower that rarely reads the log and receives most records from peers."""

    def _read(self):
        super()._read()
        gevent.sleep(SPARSE_READ_S)


class SparseNode(FleetNode):
    """A node that notifies peers of each record and queries peers with more records."""

    def __init__(self, node_id, log_port):
        super().__init__(node_id, log_port)
        self.follower.subscribe(lambda record, result: self.gossip.push_soon())
        answer = self.gossip.answer

        def answer_and_query(request, now_s):
            if request.next_offset > self.state.next_offset:
                client = self.peers.client(request.node_id)
                if client is not None:
                    gevent.spawn(self.gossip._exchange_with_first, [client])
            return answer(request, now_s)

        self.gossip.answer = answer_and_query


def run():
    """Measure each variant and return the figures."""
    figures = []
    for variant in VARIANTS:
        figures += _measure(variant)
    by_name = {figure.name: figure.value for figure in figures}
    figures.append(
        Figure(
            name="few_readers_processor_ratio",
            value=by_name["few_readers_busy_processor"]
            / by_name["both_busy_processor"],
            unit="ratio",
            note="processor time a node, few readers to all, while changes come",
        )
    )
    return figures


def _measure(variant):
    byte_counter = ByteCounter()
    write = SocketTransport.write

    def counting_write(transport, data):
        byte_counter.sent_bytes += len(data)
        return write(transport, data)

    SocketTransport.write = counting_write
    try:
        with Processes() as processes:
            port = free_port()
            log_pid = processes.start(LOG_MODULE, "--port", str(port), port=port)
            return _measure_nodes(variant, port, log_pid, byte_counter)
    finally:
        SocketTransport.write = write


def _measure_nodes(variant, port, log_pid, byte_counter):
    nodes = _start_nodes(variant, port)
    try:
        idle = _cost(nodes, port, log_pid, byte_counter, lambda: gevent.sleep(IDLE_S))
        delays_s = []
        busy = _cost(
            nodes,
            port,
            log_pid,
            byte_counter,
            lambda: delays_s.extend(_change_repeatedly(nodes)),
        )
    finally:
        for node in nodes:
            node.stop()
    delays_s.sort()
    return [
        *_figures(variant, "idle", idle),
        *_figures(variant, "busy", busy),
        Figure(
            name=f"{variant.name}_reach_median",
            value=1000 * delays_s[len(delays_s) // 2],
            unit="ms",
            note=f"a change is in force at {len(nodes)} nodes; {CHANGES} changes",
        ),
        Figure(name=f"{variant.name}_reach_max", value=1000 * delays_s[-1], unit="ms"),
    ]


def _start_nodes(variant, port):
    kind = SparseNode if variant.sparse else FleetNode
    nodes = [kind(f"n{number}", port) for number in range(NODES)]
    for node in nodes:
        node.start(gossip=variant.gossip, snapshots=False)
    for node in nodes:
        wait_for(node.follower.caught_up.is_set)
        node.announce()
    wait_for(lambda: all(len(node.state.members) == NODES for node in nodes), 60)
    for node in nodes[CUT_READERS if variant.cut else READERS :]:
        if variant.sparse:
            node.follower.__class__ = SparseFollower
        if variant.cut:
            node.follower._client.__init__("127.0.0.1", CLOSED_PORT)
    gevent.sleep(6.0)
    return nodes


def _change_repeatedly(nodes):
    """Make the changes, and yield the time until each is in force, in seconds."""
    for version in range(CHANGES):
        began_s = boottime_s()
        nodes[0].follower.append(make_patch(version, queue_length=version))
        wait_for(
            lambda v=version + 1: all(n.state.config.version >= v for n in nodes), 30
        )
        yield boottime_s() - began_s
        gevent.sleep(CHANGE_INTERVAL_S)


def _cost(nodes, port, log_pid, byte_counter, work):
    """Return the cost per second of a mean node and of the log while ``work`` runs."""
    before = _read_counters(port, log_pid, byte_counter)
    began_s = boottime_s()
    work()
    took_s = boottime_s() - began_s
    after = _read_counters(port, log_pid, byte_counter)
    rates = [(b - a) / took_s for a, b in zip(before, after, strict=True)]
    processor, log_processor, reads, sent = rates
    return {
        "processor": 100 * processor / len(nodes),
        "log_processor": 100 * log_processor,
        "log_reads": reads / len(nodes),
        "gossip_bytes": 2 * sent / len(nodes),
    }


def _read_counters(port, log_pid, byte_counter):
    stats = http_json(port, "GET", "/stats")[2]
    own_s = time.process_time()
    return own_s, processor_s(log_pid), stats["reads"], byte_counter.sent_bytes


_UNITS = {
    "processor": "% of a core a node",
    "log_processor": "% of a core at the log",
    "log_reads": "reads/s a node",
    "gossip_bytes": "bytes/s a node, sent and received",
}


def _figures(variant, activity, cost):
    return [
        Figure(name=f"{variant.name}_{activity}_{name}", value=value, unit=_UNITS[name])
        for name, value in cost.items()
    ]
