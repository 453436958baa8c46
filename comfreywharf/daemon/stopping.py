"""A planned stop: hand over every key, finish every request, then shut down."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.servers.draining import record_draining

__all__ = ["stop_gracefully", "stop_within"]

DRAIN_LIMIT_S = 20.0
WITNESS_LIMIT_S = 5.0
FINISH_LIMIT_S = 10.0
POLL_S = 0.02

RETIRE_AFTER_S = 1.5
"""How long after the start of a bounded stop callers are disconnected. The platform
sends them elsewhere after two failed readiness probes; callers that are disconnected
earlier would only connect here again."""

FINISH_RESERVE_S = 2.0
"""The last part of a bounded stop, in which no new requests are accepted. It is
reserved for running requests."""


def stop_gracefully(node):
    """Drain a node through the log, or through its standbys if the log is down."""
    if _announce_drain(node):
        _wait_until(lambda: not _has_slices(node), DRAIN_LIMIT_S)
        _wait_until(lambda: not _is_witness(node), WITNESS_LIMIT_S)
    node.leases.surrender("stopping")
    _wait_until(lambda: not _is_busy(node), FINISH_LIMIT_S)


def stop_within(node, caller_server, end_s):
    """Drain a node until ``end_s``, even if requests or slices remain by then.

    Each answer from `RETIRE_AFTER_S` on announces that its connection is closed, and
    callers are served until they have disconnected: a caller that sends a request on a
    kept-alive connection just as it is closed would lose the request.
    """
    start_s = boottime_s()
    draining = gevent.spawn(_drain_until, node, end_s - FINISH_RESERVE_S)
    gevent.sleep(min(RETIRE_AFTER_S, max(0.0, end_s - start_s)))
    caller_server.retire()
    _wait_until(lambda: boottime_s() >= end_s - FINISH_RESERVE_S, end_s - start_s)
    caller_server.refuse_new()
    # Peers continue to forward requests of services without owners to this node. It
    # refuses them from now on.
    node.finishing = True
    draining.join(max(0.0, end_s - boottime_s()))
    _wait_until(
        lambda: not _is_busy(node) and not caller_server.busy_count,
        end_s - boottime_s(),
    )


def _drain_until(node, end_s):
    if node.backend is not None and _announce_drain(node):
        _wait_until(lambda: not _has_slices(node), end_s - boottime_s())
    node.leases.surrender("stopping", node.grants.held_until_s(boottime_s()))


def _announce_drain(node):
    if node.settings.node_id not in node.follower.state.members:
        return False
    return record_draining(node, True).accepted


def _has_slices(node):
    node_id = node.settings.node_id
    return any(
        node_id in (slice_.owner, slice_.previous)
        for slice_map in node.follower.state.slices.values()
        for slice_ in slice_map.slices
    )


def _is_witness(node):
    """Return whether other nodes' leases still depend on this one as a witness.

    If it stopped before they have another witness, each of them would be one loss
    away from having no majority. When the next node stopped, their keys would be
    unavailable.
    """
    node_id = node.settings.node_id
    return any(
        node_id in group
        for member in node.follower.state.members.values()
        for group in member.witness_groups
    )


def _is_busy(node):
    forwarded = len(node.leases.inflight) > 0 or node.forwarder.running > 0
    return forwarded or node.ingress.running > 0


def _wait_until(condition, limit_s):
    end_s = boottime_s() + limit_s
    while not condition() and boottime_s() < end_s:
        gevent.sleep(POLL_S)
