"""A planned stop: hand over every key, finish every request, then end."""

import gevent

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.servers.draining import tell_draining

__all__ = ["stop_gracefully", "stop_within"]

DRAIN_LIMIT_S = 20.0
WITNESS_LIMIT_S = 5.0
FINISH_LIMIT_S = 10.0
POLL_S = 0.02

RETIRE_AFTER_S = 1.5
"""The platform sees two questions unanswered before it sends callers elsewhere;
until then they would only connect here again."""

FINISH_RESERVE_S = 2.0
"""What is left of a bounded stop for requests that were begun."""


def stop_gracefully(node):
    """Drain a node through the log, or by its standbys while the log is down."""
    if _announce_drain(node):
        _wait_until(lambda: not _has_slices(node), DRAIN_LIMIT_S)
        _wait_until(lambda: not _is_witness(node), WITNESS_LIMIT_S)
    node.leases.surrender("stopping")
    _wait_until(lambda: not _is_busy(node), FINISH_LIMIT_S)


def stop_within(node, front, end_s):
    """Drain a node by a time, whatever still holds on to it then.

    Callers are told with each answer to go elsewhere, and go on being served
    until they have: one that sends on a kept connection in the moment of its
    closing would lose its request.
    """
    begun_s = boottime_s()
    drained = gevent.spawn(_drain_until, node, end_s - FINISH_RESERVE_S)
    gevent.sleep(min(RETIRE_AFTER_S, max(0.0, end_s - begun_s)))
    front.retire()
    _wait_until(lambda: boottime_s() >= end_s - FINISH_RESERVE_S, end_s - begun_s)
    front.refuse_new()
    # Peers go on passing requests of services that have no owners to this node.
    node.finishing = True
    drained.join(max(0.0, end_s - boottime_s()))
    _wait_until(lambda: not _is_busy(node) and not front.busy, end_s - boottime_s())


def _drain_until(node, end_s):
    if node.backend is not None and _announce_drain(node):
        _wait_until(lambda: not _has_slices(node), end_s - boottime_s())
    node.leases.surrender("stopping", node.grants.held_until_s(boottime_s()))


def _announce_drain(node):
    if node.settings.node_id not in node.follower.state.members:
        return False
    return tell_draining(node, True)


def _has_slices(node):
    me = node.settings.node_id
    return any(
        me in (piece.owner, piece.previous)
        for pieces in node.follower.state.slices.values()
        for piece in pieces.slices
    )


def _is_witness(node):
    """Return whether other nodes' leases still need this one's grants.

    Were it gone before they have another witness, each would be one loss away
    from having no majority; with the next node that stops, keys go dark.
    """
    me = node.settings.node_id
    return any(
        me in group
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
