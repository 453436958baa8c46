"""The changes of the configuration since a version that a patch was based on."""

import attrs

from comfreywharf.records.services import Configuration, ServiceConfig

__all__ = ["ChangesSince", "ServiceChange", "VersionNote", "changes_since"]


@attrs.frozen(kw_only=True)
class ServiceChange:
    """One service before and after; ``None`` where it wasn't declared."""

    name: str
    before: ServiceConfig | None
    after: ServiceConfig | None

    def fields(self):
        """Return ``{field: (before, after)}`` for each field that differs."""
        if self.before is None or self.after is None:
            return {}
        before, after = attrs.asdict(self.before), attrs.asdict(self.after)
        return {
            field: (before[field], after[field])
            for field in before
            if before[field] != after[field]
        }


@attrs.frozen(kw_only=True)
class VersionNote:
    """The author of a version and the note that was given with it."""

    version: int
    author: str
    note: str


@attrs.frozen(kw_only=True)
class ChangesSince:
    """The difference between an older version and the one in force.

    ``known`` is false if the older version is no longer kept or never existed;
    ``changes`` and ``versions`` are then empty.
    """

    base_version: int
    version: int
    known: bool
    changes: tuple[ServiceChange, ...] = ()
    versions: tuple[VersionNote, ...] = ()


def changes_since(state, version):
    """Return the changes since a version, to show to the author of a stale patch.

    >>> from comfreywharf.records.state import ClusterState
    >>> changes_since(ClusterState(), 3).known
    False
    """
    current = state.config
    kept = {config.version: config for config in state.config_history}
    kept[current.version] = current
    base = kept.get(version)
    if base is None:
        return ChangesSince(base_version=version, version=current.version, known=False)
    return ChangesSince(
        base_version=version,
        version=current.version,
        known=True,
        changes=_compare(base, current),
        versions=tuple(
            VersionNote(version=config.version, author=config.author, note=config.note)
            for config in kept.values()
            if config.version > version
        ),
    )


def _compare(base: Configuration, current: Configuration):
    names = sorted({*base.services, *current.services})
    changes = [
        ServiceChange(
            name=name,
            before=base.services.get(name),
            after=current.services.get(name),
        )
        for name in names
    ]
    return tuple(change for change in changes if change.before != change.after)
