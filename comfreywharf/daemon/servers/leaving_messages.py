"""Tell between nodes that a backend server leaves, with requests and their replies."""

from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.membership.leaving import LeavingServer
from comfreywharf.transport.gen import ttypes

__all__ = ["from_message", "to_message"]


def to_message(server, now_s):
    """Return the message of a `LeavingServer`, or ``None`` for ``None``."""
    if server is None:
        return None
    return ttypes.LeavingServer(
        instance=server.incarnation.instance,
        started_ms=server.incarnation.started_ms,
        since_ms=max(0, int((now_s - server.since_s) * 1000)),
    )


def from_message(message, now_s):
    """Return the `LeavingServer` of a message that was received now."""
    return LeavingServer(
        ServerIncarnation(message.instance, message.started_ms),
        now_s - message.since_ms / 1000,
    )
