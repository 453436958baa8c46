"""Decide whether the earlier process of a node has certainly ended."""

__all__ = ["has_predecessor_ended"]


def has_predecessor_ended(member, host, peer_port):
    """Return whether the process that held a node's last lease has ended.

    ``member`` is the node as the log describes it before this process is announced,
    and ``host`` and ``peer_port`` are where this process listens. Peers reach a node
    at that address only, and one process at a time can listen there. If the last
    lease is that of an earlier process than the last one announced, it may have been
    at another address, on a machine that is frozen.
    """
    if member is None or member.lease_incarnation != member.incarnation:
        return False
    return (member.host, member.peer_port) == (host, peer_port)
