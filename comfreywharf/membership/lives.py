"""The identity of one incarnation of a backend server."""

import attrs

__all__ = ["Life"]


@attrs.frozen
class Life:
    """One incarnation of a backend server: its id, and when it started.

    A server may restart under the same id. The new incarnation doesn't know what the
    earlier one held or ran. If incarnations were compared by their ids alone, reports
    of the earlier one would be attributed to the current one: a late report that it
    leaves would take the current one out of service, and the current one's low
    sequence numbers would be considered late reports.

    ``born_ms`` is the start as a Unix time in milliseconds, or ``None`` from a server
    that doesn't report it.

    >>> Life("i-7", 1000).began_before(Life("i-7", 2000))
    True
    >>> Life("i-7", 1000).began_before(Life("i-8", 2000))
    False
    """

    instance: str
    born_ms: int | None = None

    def began_before(self, other):
        """Return whether this is an earlier incarnation with the same id.

        Starts of different ids can't be compared: they may come from different
        machines, or from one whose clock was set. Without both starts, the order
        is unknown and the result is false.
        """
        if not self.shares_id(other) or None in (self.born_ms, other.born_ms):
            return False
        return self.born_ms < other.born_ms

    def shares_id(self, other):
        """Return whether both incarnations have the same id."""
        return self.instance == other.instance

    def is_named(self, instance):
        """Return whether this incarnation has an id.

        Incarnations with the same id can't be distinguished by it.
        """
        return self.instance == instance

    def may_be(self, other):
        """Return whether a report from this incarnation may be from another one.

        A report without a start may be from any incarnation with its id.
        """
        return self == other or (self.born_ms is None and self.shares_id(other))
