"""What can be done to a cluster from outside, each fault with its end."""

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

STOP_WITHIN_S = 15.0


class Fault(abc.ABC):
    """One fault; it has an effect on a cluster from `begin` to `end`."""

    @property
    @abc.abstractmethod
    def touched(self):
        """Return what no other fault may touch meanwhile."""

    @abc.abstractmethod
    def begin(self, cluster):
        """Inject the fault."""

    @abc.abstractmethod
    def end(self, cluster):
        """Lift it, or start again what it ended."""


@attrs.frozen
class VmFault(Fault):
    """A fault of the processes on one VM."""

    node_id: str

    @property
    def touched(self):
        """Return the VM."""
        return self.node_id


class NodeKilled(VmFault):
    """A node's process is killed; its backend server lives on."""

    def begin(self, cluster):
        """Kill the node."""
        cluster.kill_node(self.node_id)

    def end(self, cluster):
        """Start the node's next process."""
        cluster.start_node(self.node_id)


class NodeStopped(VmFault):
    """A node is asked to stop, and started again once it has."""

    def begin(self, cluster):
        """Ask the node to stop."""
        cluster.terminate_node(self.node_id)

    def end(self, cluster):
        """Wait until it has stopped, and start its next process."""
        process = cluster.plans[self.node_id].node_process
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(STOP_WITHIN_S)
        if process.poll() is None:
            cluster.kill_node(self.node_id)
        cluster.start_node(self.node_id)


class NodeFrozen(VmFault):
    """A node doesn't run for a while and doesn't notice."""

    def begin(self, cluster):
        """Freeze the node."""
        cluster.freeze_node(self.node_id)

    def end(self, cluster):
        """Let it go on."""
        cluster.thaw_node(self.node_id)


class ServerKilled(VmFault):
    """A backend server is killed, and started again."""

    def begin(self, cluster):
        """Kill the server."""
        cluster.kill_server(self.node_id)

    def end(self, cluster):
        """Start its next process."""
        cluster.start_server(self.node_id)


class ServerFrozen(VmFault):
    """A backend server doesn't run for a while and doesn't notice."""

    def begin(self, cluster):
        """Freeze the server."""
        cluster.freeze_server(self.node_id)

    def end(self, cluster):
        """Let it go on."""
        cluster.thaw_server(self.node_id)


class VmKilled(VmFault):
    """A VM is lost, with its node and its backend server, and comes back."""

    def begin(self, cluster):
        """Kill both processes."""
        cluster.kill_vm(self.node_id)

    def end(self, cluster):
        """Start both."""
        cluster.start_node(self.node_id)
        cluster.start_server(self.node_id)


@attrs.frozen
class ClockJumped(VmFault):
    """A node's wall clock is set."""

    offset_s: float

    def begin(self, cluster):
        """Set the clock."""
        cluster.jump_clock(self.node_id, self.offset_s)

    def end(self, cluster):
        """Leave it as it is: nobody sets it back."""


class LinkFault(Fault):
    """A fault of links; they are healed together, so there is one at a time."""

    touched = "links"

    def end(self, cluster):
        """Lift the faults of all links."""
        cluster.faults.heal()


@attrs.frozen
class DomainCut(LinkFault):
    """A failure domain and all others, with the log, don't hear each other."""

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
    """Nobody hears a node that hears all others."""

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
        """Reset them, of each other node."""
        for name in node_ids_except(cluster, self.node_id):
            cluster.faults.reset(name, self.node_id)


@attrs.frozen
class AnswersLost(LinkFault):
    """Answers of a node are lost after it did what it was asked."""

    node_id: str
    count: int

    def begin(self, cluster):
        """Lose the next answers to each other node."""
        for name in node_ids_except(cluster, self.node_id):
            cluster.faults.lose_answers(name, self.node_id, self.count)


@attrs.frozen
class LogFault(Fault):
    """Something is wrong with the log: names and values of its switches."""

    switches: tuple
    healthy: tuple

    touched = "log"

    def begin(self, cluster):
        """Set the switches."""
        cluster.set_log_switches(**dict(self.switches))

    def end(self, cluster):
        """Set them back."""
        cluster.set_log_switches(**dict(self.healthy))
