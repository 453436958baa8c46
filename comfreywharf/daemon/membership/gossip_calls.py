"""Handlers of the calls between nodes for gossip and load reports."""

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.ownership.load_reports import node_report
from comfreywharf.transport.gen.ttypes import LoadReportReply

__all__ = ["GossipCalls"]


class GossipCalls:
    """Implement the calls of the thrift interface ``Node`` for gossip and load."""

    def __init__(self, node):
        self._node = node

    def exchange(self, request):
        """Receive a peer's news and return this node's."""
        return self._node.gossip.answer(request, boottime_s())

    def report_load(self, report):
        """Receive a node's load; reply whether this node is the planner."""
        node = self._node
        planning = node.planner.receive_report(node_report(report), boottime_s())
        return LoadReportReply(
            planning=planning,
            term=node.follower.state.planner_term,
            event_clock=0,
        )
