"""Mark the calls that the backend server beside this node makes while it runs requests.

The decisions are those of `comfreywharf.load.callroutes`, which does no I/O.
"""

from comfreywharf.load.callroutes import (
    CallRoutes,
    inherited_rank,
    possible_runs,
)

__all__ = ["NestedCallMarker"]


class NestedCallMarker:
    """Mark nested calls, which then have the rank of the runs that may make them.

    ``runs_in_progress`` is a function that returns the
    `comfreywharf.load.callroutes.Run` of each request at the backend server.
    """

    def __init__(self, node, runs_in_progress):
        self._node = node
        self._runs_in_progress = runs_in_progress
        self._routes = CallRoutes()
        node.routes.subscribe(
            lambda table: self._routes.keep(route.name for route in table.routes)
        )

    def mark(self, call):
        """Mark a `Call` if it is nested; return the runs that may have made it.

        The result is passed to `observe_end` once the call has ended; it is ``None`` if
        the call is known to be a caller's.
        """
        if not call.may_be_nested:
            return None
        runs = possible_runs(self._runs_in_progress(), call.expires_s)
        if runs and self._routes.carries_calls(call.route):
            self._mark(call.request, inherited_rank(runs))
        return runs

    def _mark(self, request, rank):
        """Mark a call of a run of a rank, unless its route is more urgent than that."""
        if rank <= request.priority:
            request.nested = True
            request.priority = rank
            self._node.metrics.nested_call(request.service_name, rank)

    def observe_end(self, call, runs):
        """Learn from a call that has ended whether one of the runs may have made it."""
        if runs is None:
            return
        in_progress = {run.number for run in self._runs_in_progress()}
        outlasted = any(run.number in in_progress for run in runs)
        self._routes.observe(call.route, may_belong_to_run=outlasted)
