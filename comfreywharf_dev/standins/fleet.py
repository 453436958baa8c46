"""The followers and gossip of many nodes in one process, over real sockets.

All other parts of a node are left out, so that tests and benchmarks of the log
and of gossip can run many nodes.
"""

import random
import time

import attrs
import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.membership.evacuation_watch import EvacuationWatch
from comfreywharf.daemon.membership.gossip import Gossip
from comfreywharf.daemon.membership.gossip_calls import GossipCalls
from comfreywharf.daemon.membership.notices import Notices
from comfreywharf.daemon.membership.peers import Peers
from comfreywharf.daemon.operating.reporter import Reporter
from comfreywharf.daemon.records.follower import Follower, new_record_id
from comfreywharf.daemon.records.logclient import LogClient
from comfreywharf.daemon.records.snapshots import SnapshotWriter
from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.membership.evacuations import Evacuations
from comfreywharf.metrics import Metrics
from comfreywharf.records import ConfigPatched, NodeAnnounced, ServiceConfig
from comfreywharf.settings.model import Address
from comfreywharf.transport import PeerServer
from comfreywharf_dev.standins.logservice import LogService
from comfreywharf_dev.standins.wsgi import make_server

__all__ = ["FleetNode", "LogFleet", "make_patch", "wait_for"]

STREAM = "comfreywharf"
EVACUATE_S = 5.0
CLOSED_PORT = 1
"""A port without a listener, given as the log's port to nodes that are cut off."""


def wait_for(condition, timeout_s=10.0):
    """Let greenlets run until a condition holds.

    Raises `TimeoutError` after ``timeout_s`` seconds.
    """
    end_s = boottime_s() + timeout_s
    while not condition():
        if boottime_s() > end_s:
            raise TimeoutError(f"condition did not hold within {timeout_s} s")
        gevent.sleep(0.01)


def make_patch(base_version, record_id=None, **fields):
    """Return a patch that declares the service ``booking``."""
    return ConfigPatched(
        record_id=record_id or new_record_id(),
        base_version=base_version,
        services={"booking": ServiceConfig(name="booking", **{"slices": 2, **fields})},
        author="operator",
    )


@attrs.frozen(kw_only=True)
class FleetSettings:
    """The settings of a node that its follower and gossip read."""

    node_id: str
    seeds: tuple[Address, ...]
    failure_domain: str = "teika"
    host: str = "127.0.0.1"
    peer_port: int = 0
    advertised_peer_port: int = 0


class FleetNode:
    """The parts of a node that handle the log and gossip."""

    def __init__(self, node_id, log_port, seeds=(), port=0):
        self.settings = FleetSettings(node_id=node_id, seeds=tuple(seeds))
        self.incarnation = time.time_ns() // 1_000_000
        self.reporter = Reporter(node_id, self.incarnation)
        self.report = self.reporter.report
        rng = random.Random(node_id)
        client = LogClient("127.0.0.1", log_port)
        self.follower = Follower(client, STREAM, self.report, node_id, rng)
        self.peers = Peers(self.follower, self.reporter, self.settings.failure_domain)
        self.notices = Notices()
        self.routes = Routes()
        self.evacuations = Evacuations(EVACUATE_S)
        self.evacuation_watch = EvacuationWatch(self)
        self.metrics = Metrics()
        self.gossip = Gossip(self, rng)
        self.snapshots = SnapshotWriter(node_id, self.follower, self.report)
        self.server = PeerServer(
            "127.0.0.1", port, GossipCalls(self), lambda *error: None, self.reporter
        )
        self._greenlets = []

    @property
    def state(self):
        """Return the folded state."""
        return self.follower.state

    def start(self, *, gossip=True, snapshots=True):
        """Listen and start the greenlets."""
        self.server.start()
        self._greenlets.append(gevent.spawn(self.follower.run))
        if gossip:
            self._greenlets.append(gevent.spawn(self.gossip.run))
        if snapshots:
            self.write_snapshots()

    def write_snapshots(self):
        """Start the greenlet that writes snapshots when it is this node's turn."""
        self._greenlets.append(gevent.spawn(self.snapshots.run))

    def stop(self):
        """Stop the greenlets and close the port."""
        gevent.killall(self._greenlets)
        self.server.stop()

    def announce(self):
        """Append this node's announcement."""
        record = NodeAnnounced(
            record_id=new_record_id(),
            node_id=self.settings.node_id,
            incarnation=self.incarnation,
            host="127.0.0.1",
            caller_port=1,
            peer_port=self.server.port,
            operator_port=1,
            failure_domain="teika",
            region="riga",
        )
        return self.follower.append(record)

    def events_named(self, name):
        """Return this node's events of a name."""
        return [event for event in self.reporter.events.since(0) if event.name == name]


class LogFleet:
    """A log service and nodes, all in this process."""

    def __init__(self, **switches):
        self.log = LogService()
        for name, value in switches.items():
            setattr(self.log.switches, name, value)
        self._server = make_server("127.0.0.1", 0, self.log)
        self.nodes = {}

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *error):
        for node in self.nodes.values():
            node.stop()
        self._server.stop(timeout=0)

    @property
    def log_port(self):
        """Return the port of the log service."""
        return self._server.server_port

    def start(self, node_id, *, cut=False, seeds=(), announce=True, **parts):
        """Start a node; with ``cut`` it can't reach the log.

        ``parts`` selects the greenlets, as in `FleetNode.start`.
        """
        port = CLOSED_PORT if cut else self.log_port
        addresses = [Address("127.0.0.1", node.server.port) for node in seeds]
        node = FleetNode(node_id, port, addresses)
        node.start(**parts)
        self.nodes[node_id] = node
        if announce and not cut:
            wait_for(node.follower.caught_up.is_set)
            node.announce()
        return node

    def replace(self, node_id):
        """Stop a node and start one of the same name with empty state."""
        self.nodes.pop(node_id).stop()
        return self.start(node_id)
