"""The differences between two configurations, and the patch from one to the other."""

from enum import Enum

import attrs

from comfreywharf.declarations.fields import service_to_fields

__all__ = ["Change", "ServiceDifference", "differences", "make_patch"]


class Change(Enum):
    """The kind of change of a service."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen(kw_only=True)
class ServiceDifference:
    """The change of one service: its texts before and after, by key."""

    name: str
    change: Change
    before: dict[str, str] = attrs.Factory(dict)
    after: dict[str, str] = attrs.Factory(dict)

    def lines(self):
        """Yield the difference as lines that begin with a sign, to be displayed."""
        signs = {Change.ADDED: "+", Change.REMOVED: "-", Change.CHANGED: " "}
        yield f"{signs[self.change]} [service {self.name}]"
        for key in self.before | self.after:
            if key in self.before:
                yield f"-   {key} = {self.before[key]}"
            if key in self.after:
                yield f"+   {key} = {self.after[key]}"


def differences(before, after):
    """Return a `ServiceDifference` for each service that differs, by name."""
    found = []
    for name in sorted(before.keys() | after.keys()):
        earlier, later = _fields(before.get(name)), _fields(after.get(name))
        if earlier == later:
            continue
        changed = [key for key in earlier | later if earlier.get(key) != later.get(key)]
        found.append(
            ServiceDifference(
                name=name,
                change=_change(earlier, later),
                before={key: earlier[key] for key in changed if key in earlier},
                after={key: later[key] for key in changed if key in later},
            )
        )
    return found


def make_patch(before, after):
    """Return the services of a patch by name; ``None`` for a removed service."""
    return {
        difference.name: after.get(difference.name)
        for difference in differences(before, after)
    }


def _fields(service):
    return service_to_fields(service) if service else {}


def _change(earlier, later):
    if not earlier:
        return Change.ADDED
    return Change.CHANGED if later else Change.REMOVED
