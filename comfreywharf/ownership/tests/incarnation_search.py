"""The search of all worlds that can be reached by a number of steps."""

import attrs

from comfreywharf.ownership.tests.incarnation_model import World
from comfreywharf.ownership.tests.incarnation_parts import Breach

__all__ = ["Found", "search"]


@attrs.define
class Found:
    """The number of states that a search found, and the shortest path to a breach."""

    states: int = 0
    breach: str = ""
    events: tuple = ()


def search(limits, world_type=World):
    """Search all worlds within the limits; stop at the first breach."""
    found = Found(states=1)
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
                except Breach as breach:
                    found.breach, found.events = str(breach), _listed(further)
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
