"""What names one life of a backend server."""

import attrs

__all__ = ["Life"]


@attrs.frozen
class Life:
    """One life of a backend server: its id, and when it began.

    A server may begin again under the id that it had. The new life knows nothing of
    what the one before held or ran. Compared by their ids alone, the dead life's word
    would count for the living one: a late "I leave" would take it out of service, and
    its own low numbers would be taken for late reports.

    ``born_ms`` is the start as a Unix time in milliseconds, or ``None`` from a server
    that doesn't say.

    >>> Life("i-7", 1000).began_before(Life("i-7", 2000))
    True
    >>> Life("i-7", 1000).began_before(Life("i-8", 2000))
    False
    """

    instance: str
    born_ms: int | None = None

    def began_before(self, other):
        """Return whether this is an earlier life under the same id.

        Of different ids, clocks say nothing: they are those of different machines,
        or of one whose clock was set. Without a start it can't be told.
        """
        if not self.shares_id(other) or None in (self.born_ms, other.born_ms):
            return False
        return self.born_ms < other.born_ms

    def shares_id(self, other):
        """Return whether both lives go by one id."""
        return self.instance == other.instance

    def is_named(self, instance):
        """Return whether an id is this life's; lives that share it answer alike."""
        return self.instance == instance

    def may_be(self, other):
        """Return whether a word that names this life may be another's.

        Without a start it is of whichever life has the id.
        """
        return self == other or (self.born_ms is None and self.shares_id(other))
