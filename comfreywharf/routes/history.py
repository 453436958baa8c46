"""The newest tables of a node, and the update that a peer gets for its own version."""

from enum import IntEnum

from comfreywharf.routes.updates import EMPTY_TABLE, diff_tables, encode_update

__all__ = ["TableHistory", "UpdateForm"]

KEPT_TABLES = 8
"""The number of versions for which peers get only what changed since. Tables share the
routes that they have in common."""


class UpdateForm(IntEnum):
    """What a peer can read: uncompressed tables only, whole updates, or also deltas."""

    NONE = 0
    WHOLE = 1
    DELTA = 2

    @classmethod
    def named(cls, number):
        """Return the form that a peer names; a later build may name a higher one."""
        return cls(min(max(number or 0, cls.NONE), cls.DELTA))


class TableHistory:
    """Keep the newest tables, and encode each update once for all peers.

    >>> from comfreywharf.routes.model import RouteTable
    >>> history = TableHistory()
    >>> history.add(RouteTable(version=3))
    >>> history.update_for(3, UpdateForm.DELTA)
    b''
    >>> history.table(3).table.version, history.table(2)
    (3, None)
    """

    def __init__(self):
        self._kept = {}
        self._newest = EMPTY_TABLE
        self._encoded = {}

    def add(self, table):
        """Add a table that is newer than all others."""
        self._newest = self._newest.followed_by(table)
        self._kept[table.version] = self._newest
        self._encoded.clear()
        while len(self._kept) > KEPT_TABLES:
            del self._kept[min(self._kept)]

    def table(self, version):
        """Return the `DigestedTable` of a version, or ``None`` if it isn't kept."""
        return self._kept.get(version)

    def update_for(self, version, form):
        """Return the update for a peer that has ``version``; ``b""`` if it needs none.

        It is a whole table if the peer's version isn't kept here, if the peer reads no
        deltas, or if nearly everything has changed.
        """
        if version >= self._newest.table.version or form is UpdateForm.NONE:
            return b""
        base = self._kept.get(version)
        if form is UpdateForm.WHOLE or base is None:
            base = EMPTY_TABLE
        base_version = base.table.version
        if base_version not in self._encoded:
            self._encoded[base_version] = self._encode_from(base)
        return self._encoded[base_version]

    def _encode_from(self, base):
        update = diff_tables(base, self._newest)
        if update.size >= len(self._newest.table.routes):
            update = diff_tables(EMPTY_TABLE, self._newest)
        return encode_update(update)
