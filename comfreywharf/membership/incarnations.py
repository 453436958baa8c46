"""The identity of one incarnation of a backend server."""

import attrs

__all__ = ["ServerIncarnation"]


@attrs.frozen
class ServerIncarnation:
    """One incarnation of a backend server: its id, and when it started.

    A server may restart under the same id. The new incarnation doesn't know what the
    earlier one held or ran. If incarnations were compared by their ids alone, reports
    of the earlier one would be attributed to the current one: a late report that it
    leaves would take the current one out of service, and the current one's low
    sequence numbers would be considered late reports.

    ``started_ms`` is the start as a Unix time in milliseconds, or ``None`` from a
    server that doesn't report it.

    >>> ServerIncarnation("i-7", 1000).started_before(ServerIncarnation("i-7", 2000))
    True
    >>> ServerIncarnation("i-7", 1000).started_before(ServerIncarnation("i-8", 2000))
    False
    """

    instance: str
    started_ms: int | None = None

    def started_before(self, other):
        """Return whether this is an earlier incarnation with the same id.

        Starts of different ids can't be compared: they may come from different
        machines, or from one whose clock was set. Without both starts, the order
        is unknown and the result is false.
        """
        if not self.has_same_id(other) or None in (self.started_ms, other.started_ms):
            return False
        return self.started_ms < other.started_ms

    def has_same_id(self, other):
        """Return whether both incarnations have the same id."""
        return self.instance == other.instance

    def has_id(self, instance):
        """Return whether this incarnation has an id.

        Incarnations with the same id can't be distinguished by it.
        """
        return self.instance == instance

    def may_refer_to(self, other):
        """Return whether a report from this incarnation may be from another one.

        A report without a start may be from any incarnation with its id.
        """
        return self == other or (self.started_ms is None and self.has_same_id(other))
