"""The search of all worlds that can be reached by a number of steps."""

import attrs

from comfreywharf.ownership.tests.incarnation_model import World
from comfreywharf.ownership.tests.incarnation_parts import Violation

__all__ = ["SearchResult", "search"]


@attrs.define
class SearchResult:
    """The number of states that a search found, and the events of a violation.

    ``events`` is the shortest sequence that leads to the violation, if there is one.
    """

    states: int = 0
    violation: str = ""
    events: tuple = ()


def search(limits, world_type=World):
    """Search all worlds within the limits; stop at the first violation."""
    found = SearchResult(states=1)
    first = world_type()
    seen = {first.key()}
    layer = [(first, None)]
    for _ in range(limits.steps):
        following = []
        for world, path in layer:
            for event in world.events(limits):
                further = (path, event.text)
                try:
                    after = world.after(event)
                except Violation as violation:
                    found.violation, found.events = str(violation), _listed(further)
                    return found
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    found.states += 1
                    following.append((after, further))
        layer = following
    return found


def _listed(path):
    events = []
    while path:
        path, text = path
        events.append(text)
    return tuple(reversed(events))
