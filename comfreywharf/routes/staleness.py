"""What a node may conclude from routes that may be out of date.

A change of the routes is to be in force at all nodes within a bounded time. A node that
heard from nobody for longer may lack it, and can't know. It goes on serving by the
routes that it has, since most of them stay as they are; what it doesn't know it leaves
open instead of denying it. See docs/design/configuration.md.
"""

__all__ = ["REACTION_S", "is_absence_certain", "longest_relayed_age_s"]

REACTION_S = 0.7
"""Until a node that hears from a relay has read the routes itself: the relay's next
answer, and one read."""


def is_absence_certain(age_s, apply_s):
    """Return whether a route that isn't known can be told to be absent.

    ``age_s`` is for how long the routes may have been out of date, ``apply_s`` how long
    a change may take to be in force.

    >>> is_absence_certain(0.4, 2.0), is_absence_certain(2.3, 2.0)
    (True, False)
    """
    return age_s < apply_s


def longest_relayed_age_s(apply_s):
    """Return how old the routes of a relay may be for others to rely on them.

    >>> longest_relayed_age_s(2.5)
    1.8
    """
    return max(0.0, apply_s - REACTION_S)
