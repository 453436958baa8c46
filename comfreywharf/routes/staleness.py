"""What a node may conclude from routes that may be outdated.

A change of the routes has to be in force at all nodes within a bounded time. A node
that received nothing for longer may lack a change without knowing it. It continues to
use the routes that it has, since most of them don't change, but it doesn't report an
unknown route as absent. See docs/design/configuration.md.
"""

__all__ = ["RELAY_DELAY_S", "is_absence_certain", "max_relayed_age_s"]

RELAY_DELAY_S = 0.7
"""The time in seconds until a node that receives from a relay has read the routes
itself: the relay's next answer, and one read."""


def is_absence_certain(age_s, apply_s):
    """Return whether a route that isn't known is certainly absent.

    ``age_s`` is for how long the routes may have been outdated, ``apply_s`` within
    which time a change has to be in force, both in seconds.

    >>> is_absence_certain(0.4, 2.0), is_absence_certain(2.3, 2.0)
    (True, False)
    """
    return age_s < apply_s


def max_relayed_age_s(apply_s):
    """Return the maximum age in seconds at which a relay's routes may be used.

    >>> max_relayed_age_s(2.5)
    1.8
    """
    return max(0.0, apply_s - RELAY_DELAY_S)
