"""The failure domains that the operator evacuates, as far as a node knows.

Once a domain has been evacuated for a bounded time, its backend servers get nothing
new until the evacuation ends. Their keys are moved to other domains before.
"""

import attrs

__all__ = [
    "NO_VERSION",
    "EvacuationChange",
    "Evacuations",
    "evacuated_members",
    "evacuated_slices",
]

NO_VERSION = -1
"""The version while nothing is known of evacuations."""

CLOSE_MARGIN_S = 0.6
"""How long before the end of the bound a domain is closed. A request that was admitted
just before still has to reach its server."""

MIN_MOVE_S = 0.5
"""How long a domain stays open after the order was received, for its keys to move. The
bound may nearly be over if the order was received late."""


@attrs.frozen
class EvacuationChange:
    """The domains whose evacuations began and ended with one version."""

    began: frozenset
    ended: frozenset


class Evacuations:
    """Keep the newest known evacuations, and when each domain is closed.

    A version that isn't higher than the known one changes nothing, whoever sent it.
    ``bound_s`` is the time in which a domain has to be closed after its order.

    >>> evacuations = Evacuations(bound_s=5.0)
    >>> change = evacuations.apply(3, {"teika"}, current_s=9.5, now_s=10.0)
    >>> sorted(change.began), evacuations.is_closed("teika", 10.0)
    (['teika'], False)
    >>> evacuations.is_closed("teika", 14.0)
    True
    """

    def __init__(self, bound_s):
        self._bound_s = bound_s
        self._version = NO_VERSION
        self._closes_s = {}
        self._listeners = []

    @property
    def version(self):
        """Return the version of the known evacuations, or `NO_VERSION`."""
        return self._version

    @property
    def is_known(self):
        """Return whether this node knows which domains are evacuated."""
        return self._version > NO_VERSION

    @property
    def domains(self):
        """Return the evacuated domains."""
        return self._closes_s.keys()

    def subscribe(self, listener):
        """Call ``listener(change)`` after each new version."""
        self._listeners.append(listener)

    def apply(self, version, domains, current_s, now_s):
        """Apply a version if it is newer; return the `EvacuationChange` or ``None``.

        ``current_s`` is when the evacuations known until now were the newest. An order
        that they lack may be as old as that, so that its bound is counted from then.
        """
        if version <= self._version:
            return None
        before = set(self._closes_s)
        domains = frozenset(domains)
        closes_s = max(
            current_s + self._bound_s - CLOSE_MARGIN_S,
            now_s + MIN_MOVE_S if self.is_known else now_s,
        )
        self._version = version
        for domain in before - domains:
            del self._closes_s[domain]
        for domain in sorted(domains - before):
            self._closes_s[domain] = closes_s
        change = EvacuationChange(domains - before, frozenset(before - domains))
        for listener in self._listeners:
            listener(change)
        return change

    def closes_in_s(self, domain, now_s):
        """Return in how many seconds an evacuated domain is closed; 0 if it is."""
        return max(0.0, self._closes_s[domain] - now_s)

    def is_closed(self, domain, now_s):
        """Return whether the servers of a domain may get nothing new."""
        closes_s = self._closes_s.get(domain)
        return closes_s is not None and now_s >= closes_s


def evacuated_members(state, domains):
    """Return the ids of the members in some domains."""
    return {
        member.node_id
        for member in state.members.values()
        if member.failure_domain in domains
    }


def evacuated_slices(state, domains):
    """Return the slices that members in some domains own or haven't released."""
    if not domains:
        return []
    left = evacuated_members(state, domains)
    return [
        slice_
        for slice_map in state.slices.values()
        for slice_ in slice_map.slices
        if slice_.owner in left or slice_.previous in left
    ]
