"""Wait until a configuration version is in force on all nodes and slices are served."""

from collections import Counter

import attrs
import gevent

from comfreywharf.cli.client import other_nodes, query_all
from comfreywharf.cli.exits import CommandError
from comfreywharf.daemon.operating.documents import ServiceDocument, StatusDocument

__all__ = ["Rollout", "wait_for_rollout"]

POLL_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class Rollout:
    """The progress of a version's rollout.

    ``behind`` has the ids of nodes where the version isn't in force yet, or that
    didn't answer; ``unserved_slices`` counts the slices without a serving owner.
    """

    version: int
    nodes: int
    behind: tuple[str, ...]
    unserved_slices: int

    @property
    def done(self):
        """Return whether all nodes have the version and all slices are served."""
        return not self.behind and not self.unserved_slices

    @property
    def text(self):
        """Return the progress as a line of text for people."""
        up_to_date = self.nodes - len(self.behind)
        line = (
            f"version {self.version} is in force on {up_to_date} of {self.nodes} nodes"
        )
        if self.behind:
            line += f", not yet on {', '.join(self.behind)}"
        if self.unserved_slices:
            line += f"; {self.unserved_slices} slices aren't served"
        return line


def wait_for_rollout(client, version, wait_s):
    """Poll all nodes until the rollout of a version is done; return the `Rollout`.

    After about ``wait_s`` seconds, the result is returned even if it isn't done.
    """
    for _ in range(int(wait_s / POLL_INTERVAL_S) + 1):
        rollout = _check_rollout(client, version)
        if rollout.done:
            break
        gevent.sleep(POLL_INTERVAL_S)
    return rollout


def _check_rollout(client, version):
    answers = query_all(
        other_nodes(client), lambda node: node.get("/status", StatusDocument)
    )
    behind = tuple(
        node_id
        for node_id, answer in answers
        if isinstance(answer, CommandError) or answer.config_version < version
    )
    services = client.get("/services", list[ServiceDocument])
    served = Counter()
    for _, answer in answers:
        if isinstance(answer, StatusDocument):
            served.update(answer.serving)
    return Rollout(
        version=version,
        nodes=len(answers),
        behind=behind,
        unserved_slices=sum(
            max(service.slices - served[service.name], service.unowned_slices)
            for service in services
        ),
    )
