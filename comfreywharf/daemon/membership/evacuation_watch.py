"""Apply evacuations to a node: report them, and give up keys that weren't moved."""

from comfreywharf.clock import boottime_s

__all__ = ["EvacuationWatch"]


class EvacuationWatch:
    """Apply what a node learns of evacuations, and follow that of its own domain."""

    def __init__(self, node):
        self._node = node
        self._followed = False

    def apply(self, version, domains, source):
        """Apply evacuations that were read from the log or received from a peer."""
        node, now_s = self._node, boottime_s()
        change = node.evacuations.apply(
            version, domains, node.routes.confirmed_s, now_s
        )
        if change is None:
            return
        for domain in sorted(change.began):
            closes_in_s = node.evacuations.closes_in_s(domain, now_s)
            node.report(
                "evacuation_began",
                domain=domain,
                version=version,
                source=source,
                closes_in_ms=int(closes_in_s * 1000),
            )
        for domain in sorted(change.ended):
            node.report(
                "evacuation_ended", domain=domain, version=version, source=source
            )

    def is_closed(self, now_s):
        """Return whether the backend server beside the node may get nothing new."""
        node = self._node
        return node.evacuations.is_closed(node.settings.failure_domain, now_s)

    def follow(self, now_s):
        """Give up keys that weren't moved in time; return once the domain is open.

        Standbys in other domains take over what the planner couldn't move, for instance
        while the log is down.
        """
        is_closed = self.is_closed(now_s)
        if is_closed == self._followed:
            return
        self._followed = is_closed
        node = self._node
        if is_closed:
            owned = sum(1 for _ in node.follower.state.owned_by(node.settings.node_id))
            node.report("evacuation_closed", owned=owned)
            node.leases.surrender("evacuated", node.grants.held_until_s(now_s))
        elif node.may_recover_lease:
            node.leases.recover()
