"""Add the services named by the routes to the log's configuration."""

import attrs
import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.records.follower import NotAcknowledged, new_record_id
from comfreywharf.records import ConfigPatched
from comfreywharf.ticks import sleep_to_tick

__all__ = ["ServiceDeclarer"]

CHECK_INTERVAL_S = 0.2
SLICES_PER_SERVER = 10
MIN_SLICES = 16
MAX_SLICES = 640


class ServiceDeclarer:
    """Keep the configuration in the log in step with the routes' services.

    Only services in the configuration get slices. The planner adds them, since
    it plans from that configuration. A second planner does no harm, because a
    patch based on a stale version is refused.
    """

    def __init__(self, node):
        self._node = node
        self._planning_since_s = None

    def run(self):
        """Declare missing or changed services until the greenlet is killed."""
        while True:
            sleep_to_tick(CHECK_INTERVAL_S)
            if not self._node.planner.is_planning:
                self._planning_since_s = None
                continue
            if self._planning_since_s is None:
                self._planning_since_s = boottime_s()
            to_declare = self._services_to_declare(boottime_s())
            if to_declare:
                self._declare(to_declare)

    def _services_to_declare(self, now_s):
        """Return the services to declare, by name.

        A new service is declared only once its servers had ``first_nodes_wait_s``
        to announce themselves, since the number of slices depends on the number of
        servers. With a single server announced, a service gets 16 slices, a few
        of which can exceed the load of one server.
        """
        state = self._node.follower.state
        first_nodes_wait_s = self._node.ports.placement.first_nodes_wait_s
        awaiting_servers = now_s - self._planning_since_s < first_nodes_wait_s
        to_declare = {}
        for name, service in self._node.routes.services.items():
            declared = state.config.services.get(name)
            if declared is None and awaiting_servers:
                continue
            slices = (
                declared.slices if declared else self._initial_slice_count(state, name)
            )
            service = attrs.evolve(
                service,
                slices=slices,
                longest_lease_ms=_longest_lease_ms(service, declared),
            )
            if declared != service:
                to_declare[name] = service
        return to_declare

    @staticmethod
    def _initial_slice_count(state, name):
        """Return the initial number of slices of a service.

        Each slice is granted and renewed separately. The planner splits hot
        slices later.
        """
        servers = sum(member.service == name for member in state.members.values())
        return min(max(SLICES_PER_SERVER * servers, MIN_SLICES), MAX_SLICES)

    def _declare(self, services):
        record = ConfigPatched(
            record_id=new_record_id(),
            base_version=self._node.follower.state.config.version,
            services=services,
            author=self._node.settings.node_id,
            note="services of the routes",
        )
        try:
            self._node.follower.append(record)
        except NotAcknowledged as error:
            # The next check compares again, whether or not it took effect.
            gevent.sleep(error.retry_after_s)


def _longest_lease_ms(service, declared):
    """Return the bound to declare, which is never lowered.

    A witness that restarts is silent for as long as the bound in its fold. Leases that
    were granted under a higher one may still last.
    """
    known_ms = declared.longest_lease_ms if declared else 0
    return max(known_ms, service.longest_lease_ms)
