"""Faults that can be injected into a cluster, and how each is lifted."""

import abc
import contextlib
import subprocess

import attrs

from comfreywharf_dev.failures.tests.builders import node_ids_except
from comfreywharf_dev.standins.cluster import LOG

__all__ = [
    "AnswersLost",
    "ClockJumped",
    "DomainCut",
    "Fault",
    "LinksReset",
    "LogFault",
    "NodeFrozen",
    "NodeKilled",
    "NodeSilenced",
    "NodeStopped",
    "ServerFrozen",
    "ServerKilled",
    "VmKilled",
]

STOP_TIMEOUT_S = 15.0


class Fault(abc.ABC):
    """One fault of a cluster, from `begin` to `end`."""

    @property
    @abc.abstractmethod
    def resource(self):
        """Return the name of the resource that no other fault may use meanwhile."""

    @abc.abstractmethod
    def begin(self, cluster):
        """Inject the fault."""

    @abc.abstractmethod
    def end(self, cluster):
        """Lift the fault, or restart the processes that it stopped."""


@attrs.frozen
class VmFault(Fault):
    """A fault of the processes on one VM."""

    node_id: str

    @property
    def resource(self):
        """Return the node id, which identifies the VM."""
        return self.node_id


class NodeKilled(VmFault):
    """A node's process is killed; its backend server keeps running."""

    def begin(self, cluster):
        """Kill the node."""
        cluster.kill_node(self.node_id)

    def end(self, cluster):
        """Start the node's next process."""
        cluster.start_node(self.node_id)


class NodeStopped(VmFault):
    """A node gets SIGTERM, and is started again once it has stopped."""

    def begin(self, cluster):
        """Send SIGTERM to the node."""
        cluster.terminate_node(self.node_id)

    def end(self, cluster):
        """Wait until it has stopped, and start its next process.

        The node is killed if it doesn't stop within `STOP_TIMEOUT_S`.
        """
        process = cluster.plans[self.node_id].node_process
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(STOP_TIMEOUT_S)
        if process.poll() is None:
            cluster.kill_node(self.node_id)
        cluster.start_node(self.node_id)


class NodeFrozen(VmFault):
    """A node's process is suspended."""

    def begin(self, cluster):
        """Freeze the node."""
        cluster.freeze_node(self.node_id)

    def end(self, cluster):
        """Resume the process."""
        cluster.resume_node(self.node_id)


class ServerKilled(VmFault):
    """A backend server is killed, and started again."""

    def begin(self, cluster):
        """Kill the server."""
        cluster.kill_server(self.node_id)

    def end(self, cluster):
        """Start its next process."""
        cluster.start_server(self.node_id)


class ServerFrozen(VmFault):
    """A backend server's process is suspended."""

    def begin(self, cluster):
        """Freeze the server."""
        cluster.freeze_server(self.node_id)

    def end(self, cluster):
        """Resume the process."""
        cluster.resume_server(self.node_id)


class VmKilled(VmFault):
    """A VM is lost with its node and its backend server, and both restart."""

    def begin(self, cluster):
        """Kill both processes."""
        cluster.kill_vm(self.node_id)

    def end(self, cluster):
        """Start both."""
        cluster.start_node(self.node_id)
        cluster.start_server(self.node_id)


@attrs.frozen
class ClockJumped(VmFault):
    """The wall clock of a node is set to another offset."""

    offset_s: float

    def begin(self, cluster):
        """Set the clock."""
        cluster.jump_clock(self.node_id, self.offset_s)

    def end(self, cluster):
        """Do nothing: the clock isn't set back."""


class LinkFault(Fault):
    """A fault of links; only one at a time, since `end` lifts those of all links."""

    resource = "links"

    def end(self, cluster):
        """Lift the faults of all links."""
        cluster.faults.heal()


@attrs.frozen
class DomainCut(LinkFault):
    """A failure domain is partitioned from the other nodes and the log."""

    domain: str

    def begin(self, cluster):
        """Cut the domain off."""
        inside = [
            n for n, p in cluster.plans.items() if p.failure_domain == self.domain
        ]
        outside = node_ids_except(cluster, *inside)
        cluster.faults.cut_group(inside, [*outside, LOG])


@attrs.frozen
class NodeSilenced(LinkFault):
    """A node receives from all others, but what it sends is held back."""

    node_id: str

    def begin(self, cluster):
        """Hold back what the node sends."""
        others = node_ids_except(cluster, self.node_id)
        cluster.faults.cut_outgoing(self.node_id, [*others, LOG])


@attrs.frozen
class LinksReset(LinkFault):
    """The connections to a node are reset."""

    node_id: str

    def begin(self, cluster):
        """Reset the connections of each other node."""
        for name in node_ids_except(cluster, self.node_id):
            cluster.faults.reset(name, self.node_id)


@attrs.frozen
class AnswersLost(LinkFault):
    """Answers of a node are lost after it carried out the requests."""

    node_id: str
    count: int

    def begin(self, cluster):
        """Lose the next answers to each other node."""
        for name in node_ids_except(cluster, self.node_id):
            cluster.faults.lose_answers(name, self.node_id, self.count)


@attrs.frozen
class LogFault(Fault):
    """A fault of the log service: the switches to set, and those that lift it.

    Both are pairs of a switch's name and value.
    """

    switches: tuple
    healthy: tuple

    resource = "log"

    def begin(self, cluster):
        """Set the switches to ``switches``."""
        cluster.set_log_switches(**dict(self.switches))

    def end(self, cluster):
        """Set the switches to ``healthy``."""
        cluster.set_log_switches(**dict(self.healthy))
